/**
 * Candidate daemons of every database, updated when the set of daemons or databases changes. Pure.
 *
 * @packageDocumentation
 */
import { rankCandidates } from './candidate-ranking.js';

/**
 * Number of candidates per database; other daemons do not try to acquire the database and receive no requests
 * for it.
 */
export const CANDIDATES_PER_DATABASE = 3;

/** Ranked candidates by database. */
export class RankTable {
  #candidates = new Map<string, readonly string[]>();
  #inputSignature = '';

  /** Recomputes the ranking if the databases or daemons have changed; returns whether they had. */
  update(databases: readonly string[], daemonIds: readonly string[]): boolean {
    const signature = `${databases.join(',')} ${[...daemonIds].sort().join(',')}`;
    if (signature === this.#inputSignature) return false;
    this.#inputSignature = signature;
    this.#candidates = new Map(
      databases.map((database) => [database, rankCandidates(database, daemonIds, CANDIDATES_PER_DATABASE)]),
    );
    return true;
  }

  /** Returns the candidates for a database in order of preference. */
  candidates(database: string): readonly string[] {
    return this.#candidates.get(database) ?? [];
  }

  /** Returns the zero-based rank of a daemon among the candidates; `null` when it is not a candidate. */
  rankOf(database: string, daemonId: string): number | null {
    const rank = this.candidates(database).indexOf(daemonId);
    return rank < 0 ? null : rank;
  }
}
