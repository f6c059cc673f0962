/**
 * Selects the daemons that do a task on behalf of all. Pure; every daemon computes the same selection from
 * the same list.
 *
 * @packageDocumentation
 */
import { preferredDaemons } from './rank-by-capacity.js';
import type { DaemonRecord } from './daemon-record.js';

/** Delegated tasks: `witnesses` asks the store and the members for evidence, `store` follows changes in the store. */
export type DelegatedWork = 'witnesses' | 'store';

/** Fleet size up to which every daemon does the task itself. */
const MAX_DAEMONS_WITHOUT_DELEGATES = 12;
/** Number of delegates in each zone of a larger fleet. */
const DELEGATES_PER_ZONE = 2;

/** The daemons that do a task on behalf of all; `null` when every daemon does it. */
export function chooseDelegates(
  work: DelegatedWork,
  daemons: readonly DaemonRecord[],
): readonly DaemonRecord[] | null {
  if (daemons.length <= MAX_DAEMONS_WITHOUT_DELEGATES) return null;
  const zones = new Set(daemons.map(({ zone }) => zone));
  return [...zones].flatMap((zone) => {
    const inZone = daemons.filter((daemon) => daemon.zone === zone);
    return preferredDaemons(work, inZone, DELEGATES_PER_ZONE);
  });
}

/** Caches the delegates until the list of daemons changes. */
export class Delegations {
  readonly #cache = new Map<DelegatedWork, readonly DaemonRecord[] | null>();

  /** @param daemons - the daemons to choose from */
  constructor(private readonly daemons: () => readonly DaemonRecord[]) {}

  /** Clears the cache; to be called when the list of daemons has changed. */
  clear(): void {
    this.#cache.clear();
  }

  /** The daemons that do a task on behalf of all; `null` when every daemon does it. */
  of(work: DelegatedWork): readonly DaemonRecord[] | null {
    let delegates = this.#cache.get(work);
    if (delegates === undefined) {
      delegates = chooseDelegates(work, this.daemons());
      this.#cache.set(work, delegates);
    }
    return delegates;
  }
}
