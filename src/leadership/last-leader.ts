/**
 * The last leader of a group, as known to daemons. Pure.
 *
 * @packageDocumentation
 */
import type { Incarnation } from '../topology/incarnation.js';

/** An incarnation of a member that led a term. */
export interface LastLeader {
  readonly term: number;
  readonly life: Incarnation;
}

/** The latest incarnation reported as the leader of exactly this term, or `null`. */
export function findLeaderOfTerm(
  term: number,
  reported: readonly (LastLeader | null | undefined)[],
): Incarnation | null {
  let latest: Incarnation | null = null;
  for (const led of reported) {
    if (led?.term !== term) continue;
    if (latest === null || (led.life.bornMs ?? 0) > (latest.bornMs ?? 0)) latest = led.life;
  }
  return latest;
}
