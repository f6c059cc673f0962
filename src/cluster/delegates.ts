/**
 * Which daemons do something on behalf of all. Pure; the same everywhere for the same daemons.
 *
 * @packageDocumentation
 */
import { rankByCapacity } from './rank-by-capacity.js';
import type { DaemonRecord } from './daemon-record.js';

/** What is done for all: asking witnesses for evidence, or following the store. */
export type DelegatedWork = 'witnesses' | 'store';

/** Number of daemons up to which every one works for itself. */
const SMALL_FLEET = 12;
/** Daemons of each zone that work for the others in a larger one. */
const DELEGATES_PER_ZONE = 2;

/** The daemons that do a work on behalf of all; `null` when everybody does it. */
export function chooseDelegates(
  work: DelegatedWork,
  daemons: readonly DaemonRecord[],
): readonly DaemonRecord[] | null {
  if (daemons.length <= SMALL_FLEET) return null;
  const zones = new Set(daemons.map(({ zone }) => zone));
  return [...zones].flatMap((zone) => {
    const inZone = daemons.filter((daemon) => daemon.zone === zone);
    return rankByCapacity(work, inZone).slice(0, DELEGATES_PER_ZONE);
  });
}
