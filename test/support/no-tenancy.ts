/**
 * A relay whose callers have no keys and no quotas, for tests.
 *
 * @packageDocumentation
 */
import type { OperationQuotas } from '../../src/quota/operation-quotas.js';
import type { RelayContext } from '../../src/relay/relay-context.js';

/** The configuration may always be acted on. */
export const ALWAYS_PROVEN: RelayContext['configurationLease'] = { isProven: () => true };

/** Everything is granted. */
export const NO_QUOTAS: OperationQuotas = {
  charge: () => ({ kind: 'charged', refund: () => undefined }),
};
