/**
 * Which daemons do something on behalf of all. Pure; the same everywhere for the same daemons.
 *
 * @packageDocumentation
 */
import { preferredDaemons } from './rank-by-capacity.js';
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
    return preferredDaemons(work, inZone, DELEGATES_PER_ZONE);
  });
}

/** Who works on behalf of all, as long as the daemons stay the same. */
export class Delegations {
  readonly #known = new Map<DelegatedWork, readonly DaemonRecord[] | null>();

  /** @param daemons - those that take part in the work */
  constructor(private readonly daemons: () => readonly DaemonRecord[]) {}

  /** Chooses anew: the daemons have changed. */
  clear(): void {
    this.#known.clear();
  }

  /** The daemons that do a work on behalf of all; `null` when everybody does it. */
  of(work: DelegatedWork): readonly DaemonRecord[] | null {
    let delegates = this.#known.get(work);
    if (delegates === undefined) {
      delegates = chooseDelegates(work, this.daemons());
      this.#known.set(work, delegates);
    }
    return delegates;
  }
}
