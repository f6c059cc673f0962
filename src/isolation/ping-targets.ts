/**
 * Selects the daemons to ping when the path to other zones is in doubt. Pure.
 *
 * @packageDocumentation
 */
import type { DaemonRecord } from '../cluster/daemon-record.js';
import { shuffle } from '../common/shuffle.js';

/** Daemons that are pinged at a time: a single silent one may only have failed itself. */
const MAX_PING_TARGETS = 3;

/** Selects daemons of other zones at random, in as many zones as possible. */
export function choosePingTargets(
  outsideDaemons: readonly DaemonRecord[],
  random: () => number,
): readonly DaemonRecord[] {
  const remaining = shuffle(outsideDaemons, random);
  const targets: DaemonRecord[] = [];
  while (targets.length < MAX_PING_TARGETS && remaining.length > 0) {
    const usedZones = new Set(targets.map(({ zone }) => zone));
    const inNewZone = remaining.findIndex(({ zone }) => !usedZones.has(zone));
    targets.push(...remaining.splice(Math.max(0, inNewZone), 1));
  }
  return targets;
}
