/**
 * What a session's own commits require of its reads, for each group at which it has committed: a route may move
 * a database to another group and back while the session is open. Pure: times are passed in.
 *
 * @packageDocumentation
 */
import { laterFloor, type PositionHistory, type ReadFloor } from '../leadership/position-history.js';
import { laterPosition, type Position } from '../position/position.js';

/** What a session's own commits at one group require of a read. */
export type SessionFloor =
  /** The log of the member has to hold the position of the latest of these commits. */
  | { readonly kind: 'position'; readonly floor: ReadFloor }
  /**
   * The positions of these commits are not known, or belong to an earlier group of that name, which may have
   * had another log. The floor of the read has to be a position for which the leader was queried after they
   * were acknowledged; that covers them.
   */
  | { readonly kind: 'since'; readonly acknowledgedAtMs: number };

/** A group. One that is removed from the configuration and added again is another object of that name. */
export interface CommitGroup {
  readonly name: string;
}

/** The commits of a session at one group. */
interface GroupCommits {
  readonly groupName: string;
  /** Weak, so that no session keeps the members of a removed group. */
  readonly group: WeakRef<CommitGroup>;
  /** Position of the latest commit, or a later one; `null` if the member did not tell it. */
  readonly position: Position | null;
  /** When the latest commit was acknowledged, in monotonic milliseconds. */
  readonly acknowledgedAtMs: number;
}

/** Maximum number of groups whose commits a session remembers one by one. */
export const MAX_GROUPS = 8;

/** The commits of one session, by group. */
export class SessionCommits {
  /** Ordered by the time of the latest commit, the oldest first. */
  #groups: readonly GroupCommits[] = [];
  /** Latest commit at a group that is no longer in the list, in monotonic milliseconds. */
  #forgottenUpToMs: number | null = null;

  /**
   * Records a commit that is being acknowledged to the client.
   *
   * @param position - its position in the log of the group, or `null` if the member did not tell it
   */
  record(group: CommitGroup, position: Position | null, nowMs: number): void {
    const previous = this.#find(group);
    const commits = {
      groupName: group.name,
      group: new WeakRef(group),
      position: laterKnown(positionAt(group, previous), position),
      acknowledgedAtMs: nowMs,
    };
    this.#groups = [...this.#groups.filter((other) => other !== previous), commits];
    if (this.#groups.length > MAX_GROUPS) this.#forgetOldest();
  }

  /** What the session's commits require of a read at a group; `null` if nothing. */
  floorFor(group: CommitGroup): SessionFloor | null {
    const commits = this.#find(group);
    const acknowledgedAtMs = commits?.acknowledgedAtMs ?? this.#forgottenUpToMs;
    if (acknowledgedAtMs === null) return null;
    const position = positionAt(group, commits);
    if (position === null) return { kind: 'since', acknowledgedAtMs };
    return { kind: 'position', floor: { position, reachedAtMs: acknowledgedAtMs } };
  }

  #find({ name }: CommitGroup): GroupCommits | undefined {
    return this.#groups.find(({ groupName }) => groupName === name);
  }

  #forgetOldest(): void {
    const [oldest, ...rest] = this.#groups;
    this.#groups = rest;
    if (oldest !== undefined) this.#forgottenUpToMs = oldest.acknowledgedAtMs;
  }
}

/** Position of commits in the log of a group; `null` if it is not known, or was in an earlier group's. */
function positionAt(group: CommitGroup, commits: GroupCommits | undefined): Position | null {
  return commits?.group.deref() === group ? commits.position : null;
}

/** A position that covers the latest commit and those before it; `null` if that commit's is not known. */
function laterKnown(previous: Position | null, latest: Position | null): Position | null {
  return previous === null || latest === null ? latest : laterPosition(previous, latest);
}

/**
 * The floor of a read that may lack only commits acknowledged after `sinceMs`, and none of the session's own;
 * `null` when the leader has not been queried late enough.
 */
export function floorWithOwnCommits(
  positions: PositionHistory,
  sinceMs: number,
  sessionFloor: SessionFloor | null,
): ReadFloor | null {
  switch (sessionFloor?.kind) {
    case undefined:
      return positions.floorSince(sinceMs);
    case 'since':
      return positions.floorSince(Math.max(sinceMs, sessionFloor.acknowledgedAtMs));
    case 'position': {
      const floor = positions.floorSince(sinceMs);
      return floor === null ? null : laterFloor(floor, sessionFloor.floor);
    }
  }
}
