/**
 * Who led a group last, as daemons have heard it. Pure.
 *
 * @packageDocumentation
 */
import type { Incarnation } from '../topology/incarnation.js';

/** A life that led a term. */
export interface LastLed {
  readonly term: number;
  readonly life: Incarnation;
}

/** The youngest life that somebody has heard to lead this very term, or `null`. */
export function lifeThatLed(
  term: number,
  heard: readonly (LastLed | null | undefined)[],
): Incarnation | null {
  let youngest: Incarnation | null = null;
  for (const led of heard) {
    if (led?.term !== term) continue;
    if (youngest === null || (led.life.bornMs ?? 0) > (youngest.bornMs ?? 0)) youngest = led.life;
  }
  return youngest;
}
