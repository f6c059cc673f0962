/**
 * Parts of a relay context without tenants and quotas, for tests.
 *
 * @packageDocumentation
 */
import type { OperationQuotas } from '../../src/quota/operation-quotas.js';
import type { RelayContext } from '../../src/relay/relay-context.js';

/** A configuration lease that is always proven. */
export const ALWAYS_PROVEN: RelayContext['configurationLease'] = { isProven: () => true };

/** Quotas that grant every operation. */
export const NO_QUOTAS: OperationQuotas = {
  charge: () => ({ kind: 'charged', refund: () => undefined }),
};
