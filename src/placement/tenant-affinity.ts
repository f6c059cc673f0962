/**
 * Keeps the reads of a tenant at one replica of a group. Pure; every daemon prefers the same replica.
 *
 * A connection belongs to one tenant, and opening one occupies a slot of the member. If the reads of all
 * tenants were spread over all replicas, each replica would need connections of every tenant.
 *
 * @packageDocumentation
 */
import { rendezvousWeight } from '../common/rendezvous.js';

/** A member that can serve a read, with what the preference depends on. */
export interface AffinityCandidate {
  readonly memberId: string;
  readonly isLeader: boolean;
  /** True if requests should rather go to other members: it does not answer, or fails requests. */
  readonly isImpaired: boolean;
  /** Expected response time, in milliseconds, including {@link AffinityCandidate.distanceCostMs}. */
  readonly costMs: number;
  /** Cost of its distance, in milliseconds; 0 in the daemon's own zone. */
  readonly distanceCostMs: number;
}

/** Assumed time in which a member opens a connection, in milliseconds. */
const CONNECTION_OPENING_MS = 12;

/**
 * How much longer than at the best member the response may take at the tenant's replica, in milliseconds. Twice
 * the time of opening a connection: all requests share the member's slots, so opening one also delays the
 * requests that wait behind it.
 */
export const MAX_AFFINITY_EXCESS_MS = 2 * CONNECTION_OPENING_MS;

/**
 * The replica that ranks first for a tenant among those that are not impaired (rendezvous hashing), or `null`
 * if its expected response time exceeds that of the best member by too much.
 *
 * A replica in another zone replaces a best member in the own zone only if it costs less than its distance more.
 */
export function preferredReplica<Candidate extends AffinityCandidate>(
  tenantName: string,
  best: AffinityCandidate,
  candidates: readonly Candidate[],
): Candidate | null {
  const first = firstRanked(tenantName, candidates);
  if (first === null) return null;
  const excessMs = first.costMs - best.costMs;
  if (excessMs > MAX_AFFINITY_EXCESS_MS) return null;
  const isFarther = best.distanceCostMs === 0 && first.distanceCostMs > 0;
  return isFarther && excessMs >= first.distanceCostMs ? null : first;
}

/** The hashes of names are cached, so a ranking costs a few multiplications for each replica. */
function firstRanked<Candidate extends AffinityCandidate>(
  tenantName: string,
  candidates: readonly Candidate[],
): Candidate | null {
  let first: Candidate | null = null;
  let highest = -1;
  for (const candidate of candidates) {
    if (candidate.isLeader || candidate.isImpaired) continue;
    const weight = rendezvousWeight(tenantName, candidate.memberId);
    if (weight <= highest) continue;
    first = candidate;
    highest = weight;
  }
  return first;
}
