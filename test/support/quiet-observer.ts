/**
 * An observer of decisions that keeps nothing, for tests.
 *
 * @packageDocumentation
 */
import type { RelayObserver } from '../../src/relay/relay-context.js';

/** Keeps nothing. */
export const QUIET_OBSERVER: RelayObserver = {
  routine: () => undefined,
  notable: () => undefined,
  memberAnswered: () => undefined,
  requestEnded: () => undefined,
};
