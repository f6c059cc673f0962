/**
 * Permission to retry a request that a member refused because of load, within the retry budget of its group.
 *
 * @packageDocumentation
 */
import { delay } from '../common/signal.js';
import type { MemberGroup } from '../topology/member-group.js';
import type { RelayContext } from './relay-context.js';

/** Interval at which a withheld retry checks for a token, in milliseconds. */
const TOKEN_POLL_MS = 25;

/**
 * Waits until the request may be sent again: with a token of the group's budget, or because the state of the
 * group has changed. Returns false if neither happens until `untilMs`, in monotonic milliseconds.
 */
export async function awaitRetryPermit(
  context: RelayContext,
  group: MemberGroup,
  untilMs: number,
): Promise<boolean> {
  const { retries } = group;
  const isImmediate = retries.tryTake();
  context.observer.retryDecided(isImmediate ? 'sent' : 'withheld');
  if (isImmediate) return true;
  // Longer than the loop below, so that only a change of state ends this wait while the loop runs.
  const changed = group.changed.wait(untilMs - context.now() + TOKEN_POLL_MS).then(() => true);
  while (context.now() < untilMs) {
    const waitMs = Math.min(TOKEN_POLL_MS, untilMs - context.now());
    // Taken after the race: a poll that loses against a change would take a token that no retry uses.
    if ((await Promise.race([changed, delay(waitMs).then(() => false)])) || retries.tryTake()) return true;
  }
  return false;
}
