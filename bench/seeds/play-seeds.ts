/**
 * Plays a list of days with a list of seeds by the users' bench, several at once.
 *
 * @packageDocumentation
 */
import { execFile } from 'node:child_process';
import { readPlay, type Play } from './summarize.js';

/** What is played. */
export interface SeedPlan {
  /** The users' bench program. */
  readonly bench: string;
  /** Site file. */
  readonly site: string;
  /** Folder of the version that is played. */
  readonly repository: string;
  readonly days: readonly string[];
  readonly seeds: readonly number[];
  /** Days that are played at once. */
  readonly jobs: number;
  /** Why, for the journal. */
  readonly why: string;
}

/** Largest report that is read, in bytes. */
const MAX_REPORT_BYTES = 16 * 1024 * 1024;

/** Plays all days with all seeds; told of each when it ends. */
export async function playSeeds(plan: SeedPlan, onPlayed: (play: Play) => void): Promise<readonly Play[]> {
  const queue = plan.seeds.flatMap((seed) => plan.days.map((day) => ({ day, seed })));
  const plays: Play[] = [];
  const work = async (): Promise<void> => {
    for (let next = queue.shift(); next !== undefined; next = queue.shift()) {
      const play = await playOne(plan, next.day, next.seed);
      plays.push(play);
      onPlayed(play);
    }
  };
  await Promise.all(Array.from({ length: plan.jobs }, work));
  return plays;
}

function playOne({ bench, site, repository, why }: SeedPlan, day: string, seed: number): Promise<Play> {
  const words = ['run', site, day, '--seed', String(seed), '--why', `${why} (${day}, seed ${seed})`];
  return new Promise((resolve) => {
    execFile(bench, words, { cwd: repository, maxBuffer: MAX_REPORT_BYTES }, (error, report) => {
      const play = readPlay(day, seed, report);
      if (error !== null && play.worth === null) process.stderr.write(`${day} ${seed}: ${error.message}\n`);
      resolve(play);
    });
  });
}
