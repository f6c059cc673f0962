/**
 * Runs a list of test days with a list of seeds on the users' bench, several runs at a time.
 *
 * @packageDocumentation
 */
import { execFile } from 'node:child_process';
import { parseRunReport, type SeedRun } from './summarize.js';

/** Parameters of the runs. */
export interface SeedPlan {
  /** Path of the users' bench program. */
  readonly bench: string;
  /** Path of the site file. */
  readonly site: string;
  /** Folder of the version under test. */
  readonly repository: string;
  readonly days: readonly string[];
  readonly seeds: readonly number[];
  /** Maximum number of concurrent runs. */
  readonly jobs: number;
  /** Reason for the runs, recorded in the bench's journal. */
  readonly why: string;
}

/** Maximum size of a report, in bytes. */
const MAX_REPORT_BYTES = 16 * 1024 * 1024;

/** Runs all days with all seeds; calls `onRunFinished` after each run. */
export async function runSeeds(
  plan: SeedPlan,
  onRunFinished: (run: SeedRun) => void,
): Promise<readonly SeedRun[]> {
  const queue = plan.seeds.flatMap((seed) => plan.days.map((day) => ({ day, seed })));
  const runs: SeedRun[] = [];
  const runQueue = async (): Promise<void> => {
    for (let next = queue.shift(); next !== undefined; next = queue.shift()) {
      const run = await runOne(plan, next.day, next.seed);
      runs.push(run);
      onRunFinished(run);
    }
  };
  await Promise.all(Array.from({ length: plan.jobs }, runQueue));
  return runs;
}

function runOne({ bench, site, repository, why }: SeedPlan, day: string, seed: number): Promise<SeedRun> {
  const args = ['run', site, day, '--seed', String(seed), '--why', `${why} (${day}, seed ${seed})`];
  return new Promise((resolve) => {
    execFile(bench, args, { cwd: repository, maxBuffer: MAX_REPORT_BYTES }, (error, report) => {
      const run = parseRunReport(day, seed, report);
      if (error !== null && run.worth === null) process.stderr.write(`${day} ${seed}: ${error.message}\n`);
      resolve(run);
    });
  });
}
