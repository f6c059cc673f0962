/**
 * What the outcomes of an order say of the daemons that were given it. Pure.
 *
 * @packageDocumentation
 */
import type { OrderOutcome } from '../cluster/peer-mesh.js';
import { laterPosition, ZERO_POSITION, type Position } from '../position/position.js';
import type { Acknowledged } from './acknowledged.js';

/** True when a daemon has not answered: it may still hold evidence. */
export function hasSilent(outcomes: ReadonlyMap<string, OrderOutcome>): boolean {
  return [...outcomes.values()].some((outcome) => outcome.kind === 'silent');
}

/** Names of the daemons that did not say what they have acknowledged. */
export function unheard(outcomes: ReadonlyMap<string, OrderOutcome>): string {
  const names = [...outcomes].filter(([, { kind }]) => kind !== 'answered').map(([name]) => name);
  return names.join(',');
}

/** What a daemon has acknowledged that was not heard. */
const UNHEARD: Acknowledged = { latest: ZERO_POSITION, limit: null };

/**
 * What a daemon has acknowledged, as far as it was heard. An earlier process of it acknowledged nothing after the present one began to count, so
 * a position of the leader since then is a limit, also where that daemon itself has seen no leader.
 *
 * @param heardAtMs - when its answer was there at the latest, in monotonic milliseconds
 * @param ledSince - a position of the leader that holds all that was acknowledged before a time, or `null` where none is known
 */
export function acknowledgedBy(
  outcome: OrderOutcome,
  heardAtMs: number,
  ledSince: (ms: number) => Position | null,
): Acknowledged {
  if (outcome.kind !== 'answered') return UNHEARD;
  const { latest, limit, countedMs } = outcome.answer;
  if (limit !== null || countedMs === undefined) return { latest, limit };
  const led = ledSince(heardAtMs - countedMs);
  return { latest, limit: led === null ? null : laterPosition(latest, led) };
}
