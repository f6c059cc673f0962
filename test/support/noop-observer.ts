/**
 * A relay observer without effect, for tests.
 *
 * @packageDocumentation
 */
import type { RelayObserver } from '../../src/relay/relay-context.js';

/** Ignores all notifications. */
export const NOOP_OBSERVER: RelayObserver = {
  routine: () => undefined,
  notable: () => undefined,
  memberAnswered: () => undefined,
  requestEnded: () => undefined,
  admissionDecided: () => undefined,
  waitMeasured: () => undefined,
  retryDecided: () => undefined,
};
