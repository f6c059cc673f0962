/**
 * What the outcomes of an order say of the daemons that were given it. Pure.
 *
 * @packageDocumentation
 */
import type { OrderOutcome } from '../cluster/peer-mesh.js';
import { ZERO_POSITION } from '../position/position.js';
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

/** What a daemon has acknowledged, as far as it was heard. */
export function acknowledgedBy(outcome: OrderOutcome): Acknowledged {
  return outcome.kind === 'answered' ? outcome.answer : UNHEARD;
}
