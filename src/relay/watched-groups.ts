/**
 * The groups that a daemon watches: exactly those that a route of the configuration refers to.
 *
 * @packageDocumentation
 */
import { EVIDENCE_VALIDITY_MS } from '../leadership/leadership-evidence.js';
import type { LeadershipWatcher } from '../leadership/leadership-watcher.js';
import type { LogPositionQuery } from '../leadership/log-position-query.js';
import type { MemberGroup } from '../topology/member-group.js';
import { RevokedTerms } from './revoked-terms.js';

/** A group and what keeps this daemon's knowledge of it. */
export interface WatchedGroup {
  readonly group: MemberGroup;
  readonly watcher: LeadershipWatcher;
  readonly logPosition: LogPositionQuery;
}

/** Dependencies of {@link WatchedGroups}. */
export interface WatchedGroupsPorts {
  create(name: string): WatchedGroup;
  /** Called when a group has been added. */
  opened(watched: WatchedGroup): void;
  /** Called when a group has been removed. */
  closed(watched: WatchedGroup): void;
}

/** A group that is no longer watched. */
interface RemovedGroup {
  readonly group: MemberGroup;
  /** In monotonic milliseconds. */
  readonly removedAtMs: number;
}

/** The watched groups, by name. */
export class WatchedGroups {
  readonly #watched = new Map<string, WatchedGroup>();
  readonly #dropped = new Set<string>();
  #removed: readonly RemovedGroup[] = [];
  /** Applied to a group when it is added. */
  readonly revokedTerms = new RevokedTerms();

  constructor(private readonly ports: WatchedGroupsPorts) {}

  /** All watched groups. */
  get all(): readonly WatchedGroup[] {
    return [...this.#watched.values()];
  }

  get groups(): readonly MemberGroup[] {
    return this.all.map(({ group }) => group);
  }

  find(name: string): WatchedGroup | null {
    return this.#watched.get(name) ?? null;
  }

  /** The group of a name; `null` if it is not watched. */
  group(name: string): MemberGroup | null {
    return this.find(name)?.group ?? null;
  }

  /** Starts a new round of a group's watcher, after a change of the group. */
  wake(name: string): void {
    this.find(name)?.watcher.wake();
  }

  /** True if a group was watched earlier: the record of commits acknowledged for it has been discarded. */
  wasDropped(name: string): boolean {
    return this.#dropped.has(name);
  }

  /**
   * The removed groups of a name whose evidence may still be valid: requests that were under way when the group
   * was removed rely on it.
   */
  removedLately(name: string, nowMs: number): readonly MemberGroup[] {
    return this.#removedLately(nowMs).flatMap(({ group }) => (group.name === name ? [group] : []));
  }

  /** Watches exactly the groups of these names. */
  sync(names: ReadonlySet<string>, nowMs: number): void {
    for (const name of names) if (!this.#watched.has(name)) this.#open(name, nowMs);
    for (const [name, watched] of this.#watched) {
      if (names.has(name)) continue;
      this.#watched.delete(name);
      this.#dropped.add(name);
      this.revokedTerms.retain(watched.group, nowMs);
      this.#removed = [...this.#removedLately(nowMs), { group: watched.group, removedAtMs: nowMs }];
      this.ports.closed(watched);
    }
  }

  /** Calls `closed` for every group; the daemon stops. */
  closeAll(): void {
    for (const watched of this.#watched.values()) this.ports.closed(watched);
  }

  #removedLately(nowMs: number): readonly RemovedGroup[] {
    return this.#removed.filter(({ removedAtMs }) => nowMs < removedAtMs + EVIDENCE_VALIDITY_MS);
  }

  #open(name: string, nowMs: number): void {
    const watched = this.ports.create(name);
    this.revokedTerms.applyTo(watched.group, nowMs);
    this.#watched.set(name, watched);
    this.ports.opened(watched);
  }
}
