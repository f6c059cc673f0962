/**
 * What the outcomes of an order say of the daemons that were given it. Pure.
 *
 * @packageDocumentation
 */
import { endedBefore, type Absence } from '../cluster/daemon-ends.js';
import type { OrderOutcome } from '../cluster/peer-mesh.js';
import { comparePositions, laterPosition, ZERO_POSITION, type Position } from '../position/position.js';
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

/** A position of the leader that holds all that was acknowledged before a time, or `null` where none is known. */
export type LedSince = (ms: number) => Position | null;

/**
 * What a daemon has acknowledged, as far as it was heard. An earlier process of it acknowledged nothing after the present one began to count, nor
 * after it was seen to have ended, so a position of the leader since then is a limit, also where that daemon itself has seen no leader.
 *
 * @param heardAtMs - when its answer was there at the latest, in monotonic milliseconds
 */
export function acknowledgedBy(outcome: OrderOutcome, heardAtMs: number, ledSince: LedSince): Acknowledged {
  switch (outcome.kind) {
    case 'silent':
      return UNHEARD;
    case 'gone': {
      const { absence } = outcome;
      return absence === undefined ? UNHEARD : { latest: ZERO_POSITION, limit: ledSince(absence.sinceMs) };
    }
    case 'answered': {
      const { latest, limit, countedMs } = outcome.answer;
      if (limit !== null || countedMs === undefined) return { latest, limit };
      const led = ledSince(formerEnd(outcome, heardAtMs - countedMs));
      return { latest, limit: led === null ? null : laterPosition(latest, led) };
    }
  }
}

/** When the former processes of a daemon had ended at the latest. */
function formerEnd({ absence }: { readonly absence?: Absence }, countsFromMs: number): number {
  const ended = absence === undefined ? null : endedBefore(absence, countsFromMs);
  return ended === null ? countsFromMs : Math.min(ended, countsFromMs);
}

/**
 * Positions of the leader as this daemon and those that were asked know them.
 *
 * @param askedAtMs - when those were asked, in monotonic milliseconds
 */
export function ledSinceOf(own: LedSince, outcomes: Iterable<OrderOutcome>, askedAtMs: number): LedSince {
  const told = [...outcomes].flatMap((outcome) =>
    outcome.kind === 'answered' && outcome.answer.led !== undefined ? [outcome.answer.led] : [],
  );
  return (ms) => {
    const since = told.filter(({ ageMs }) => askedAtMs - ageMs >= ms).map(({ position }) => position);
    const ownSince = own(ms);
    if (ownSince !== null) since.push(ownSince);
    return since.reduce<Position | null>(
      (lowest, position) => (lowest === null || comparePositions(position, lowest) < 0 ? position : lowest),
      null,
    );
  };
}
