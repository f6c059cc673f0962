/**
 * The candidates of every database, brought up to date when daemons or databases change. Pure.
 *
 * @packageDocumentation
 */
import { rankCandidates } from './candidate-ranking.js';

/** Candidates for each database; the others neither try to own it nor are asked for it. */
export const CANDIDATES_PER_DATABASE = 3;

/** Candidates by database. */
export class RankTable {
  #candidates = new Map<string, readonly string[]>();
  #signature = '';

  /** Ranks anew if anything has changed; true when it had. */
  update(databases: readonly string[], daemonIds: readonly string[]): boolean {
    const signature = `${databases.join(',')} ${[...daemonIds].sort().join(',')}`;
    if (signature === this.#signature) return false;
    this.#signature = signature;
    this.#candidates = new Map(
      databases.map((database) => [database, rankCandidates(database, daemonIds, CANDIDATES_PER_DATABASE)]),
    );
    return true;
  }

  /** Candidates for a database, best first. */
  candidates(database: string): readonly string[] {
    return this.#candidates.get(database) ?? [];
  }

  /** Place of a daemon among the candidates, from 0; `null` when it is none. */
  rankOf(database: string, daemonId: string): number | null {
    const rank = this.candidates(database).indexOf(daemonId);
    return rank < 0 ? null : rank;
  }
}
