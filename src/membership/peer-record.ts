/**
 * What daemons tell each other about themselves and others.
 *
 * @packageDocumentation
 */

/** State of a daemon: `suspect` has missed a probe, `leaving` drains, `dead` is believed gone. */
export type PeerState = 'alive' | 'suspect' | 'leaving' | 'dead';

/** One daemon's record, as spread by gossip. @public */
export interface PeerRecord {
  readonly daemonId: string;
  readonly zone: string;
  readonly host: string;
  readonly port: number;
  /** Start time of the process, in milliseconds since the epoch: a restarted daemon supersedes itself. */
  readonly incarnation: number;
  /** Raised by the daemon itself with every change, and to refute a suspicion. */
  readonly sequence: number;
  readonly state: PeerState;
  /** Databases whose lease the daemon holds. */
  readonly ownedDatabases: readonly string[];
}

const STATE_RANK: Readonly<Record<PeerState, number>> = { alive: 0, leaving: 0, suspect: 1, dead: 2 };

/** True when `candidate` is news over `known`. */
export function supersedes(candidate: PeerRecord, known: PeerRecord): boolean {
  if (candidate.incarnation !== known.incarnation) return candidate.incarnation > known.incarnation;
  if (candidate.sequence !== known.sequence) return candidate.sequence > known.sequence;
  return STATE_RANK[candidate.state] > STATE_RANK[known.state];
}

/** True when the daemon can be asked to do something. */
export function isReachableState(state: PeerState): boolean {
  return state === 'alive' || state === 'suspect' || state === 'leaving';
}
