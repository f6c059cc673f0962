/**
 * Membership records that daemons exchange.
 *
 * @packageDocumentation
 */

/**
 * State of a daemon: a `suspect` one did not acknowledge a probe, a `leaving` one drains, a `dead` one stayed
 * suspect for the suspicion timeout.
 */
export type PeerState = 'alive' | 'suspect' | 'leaving' | 'dead';

/** Record of one daemon, disseminated by gossip. @public */
export interface PeerRecord {
  readonly daemonId: string;
  readonly zone: string;
  readonly host: string;
  readonly port: number;
  /** Start time of the process, in milliseconds since the epoch: a restarted daemon supersedes itself. */
  readonly incarnation: number;
  /** Incremented by the daemon itself with every change, and to refute a suspicion or death. */
  readonly sequence: number;
  readonly state: PeerState;
  /** Databases whose lease the daemon holds. */
  readonly ownedDatabases: readonly string[];
}

const STATE_RANK: Readonly<Record<PeerState, number>> = { alive: 0, leaving: 0, suspect: 1, dead: 2 };

/** True when `candidate` is newer than `known`. */
export function supersedes(candidate: PeerRecord, known: PeerRecord): boolean {
  if (candidate.incarnation !== known.incarnation) return candidate.incarnation > known.incarnation;
  if (candidate.sequence !== known.sequence) return candidate.sequence > known.sequence;
  return STATE_RANK[candidate.state] > STATE_RANK[known.state];
}

/** True when messages may be sent to the daemon. */
export function isReachableState(state: PeerState): boolean {
  return state === 'alive' || state === 'suspect' || state === 'leaving';
}
