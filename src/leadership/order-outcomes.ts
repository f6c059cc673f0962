/**
 * Evaluates the answers of daemons to an order. Pure.
 *
 * @packageDocumentation
 */
import type { OrderOutcome } from '../cluster/peer-mesh.js';
import { comparePositions, laterPosition, ZERO_POSITION, type Position } from '../position/position.js';
import type { Acknowledged } from './acknowledged.js';

/** True when a daemon has not answered: it may still hold evidence. */
export function hasUnanswered(outcomes: ReadonlyMap<string, OrderOutcome>): boolean {
  return [...outcomes.values()].some((outcome) => outcome.kind === 'silent');
}

/** Names of the daemons that did not report what they have acknowledged. */
export function namesWithoutAnswer(outcomes: ReadonlyMap<string, OrderOutcome>): string {
  const names = [...outcomes].filter(([, { kind }]) => kind !== 'answered').map(([name]) => name);
  return names.join(',');
}

/** Names of the daemons whose process is known to have ended. */
export function namesOfEnded(outcomes: ReadonlyMap<string, OrderOutcome>): string {
  const names = [...outcomes].filter(([, { kind }]) => kind === 'gone').map(([name]) => name);
  return names.join(',');
}

/** What a daemon has acknowledged that did not answer. */
const UNKNOWN: Acknowledged = { latest: ZERO_POSITION, limit: null };

/**
 * Returns a position of the leader that covers all that was acknowledged before a time, or `null` if none is
 * known.
 */
export type LeaderPositionSince = (ms: number) => Position | null;

/**
 * What a daemon has acknowledged, as far as its answer shows. Earlier processes of the daemon acknowledged
 * nothing after the present one began to accept orders at their address, nor after the last of them was known to
 * have ended. So a leader position from after that time is a limit, even if the present process has no limit of
 * its own because it has not seen a leader yet.
 *
 * @param answeredAtMs - time by which the answer had arrived, in monotonic milliseconds
 */
export function acknowledgedBy(
  outcome: OrderOutcome,
  answeredAtMs: number,
  leaderPositionSince: LeaderPositionSince,
): Acknowledged {
  switch (outcome.kind) {
    case 'silent':
      return UNKNOWN;
    case 'gone': {
      const { endedAtMs } = outcome;
      return endedAtMs === undefined
        ? UNKNOWN
        : { latest: ZERO_POSITION, limit: leaderPositionSince(endedAtMs) };
    }
    case 'answered': {
      const { latest, limit, countedMs } = outcome.answer;
      if (limit !== null || countedMs === undefined) return { latest, limit };
      const beganMs = answeredAtMs - countedMs;
      const earlierEndedMs = Math.min(beganMs, outcome.endedAtMs ?? beganMs);
      const leaderPosition = leaderPositionSince(earlierEndedMs);
      return { latest, limit: leaderPosition === null ? null : laterPosition(latest, leaderPosition) };
    }
  }
}

/**
 * Combines the leader positions known to this daemon with those reported by the daemons that were asked. The
 * lowest position asked for at or after the given time is used.
 *
 * @param askedAtMs - when those daemons were asked, in monotonic milliseconds
 */
export function mergeLeaderPositions(
  own: LeaderPositionSince,
  outcomes: Iterable<OrderOutcome>,
  askedAtMs: number,
): LeaderPositionSince {
  const reported = [...outcomes].flatMap((outcome) =>
    outcome.kind === 'answered' && outcome.answer.led !== undefined ? [outcome.answer.led] : [],
  );
  return (ms) => {
    const since = reported.filter(({ ageMs }) => askedAtMs - ageMs >= ms).map(({ position }) => position);
    const ownSince = own(ms);
    if (ownSince !== null) since.push(ownSince);
    return since.reduce<Position | null>(
      (lowest, position) => (lowest === null || comparePositions(position, lowest) < 0 ? position : lowest),
      null,
    );
  };
}
