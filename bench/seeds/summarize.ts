/**
 * Summarises repeated runs of the same days: mean and deviation by day, and the difference between two
 * versions. Pure.
 *
 * @packageDocumentation
 */

/** One run of one day with one seed. */
export interface SeedRun {
  readonly day: string;
  readonly seed: number;
  /** Score of the run; `null` if the day did not run to its end. */
  readonly worth: number | null;
  /** Names of the rules that the run violated. */
  readonly brokenRules: readonly string[];
}

/** A mean with its standard deviation. */
export interface Estimate {
  readonly mean: number;
  /** Standard deviation over the runs. */
  readonly deviation: number;
  readonly count: number;
}

const RULES = [
  'UNASKED',
  'ROUTE',
  'DRAIN',
  'LOST',
  'CONFIG',
  'RECOVER',
  'MIXED',
  'PINNED',
  'TWICE',
  'REFUSED',
  'STALE',
  'ONE',
];
const WORTH = /^worth ([\d.]+) = /m;

/** Parses the report of one run. */
export function parseRunReport(day: string, seed: number, report: string): SeedRun {
  const worth = WORTH.exec(report);
  const brokenRules = RULES.filter((rule) => new RegExp(`\\b${rule}\\b`).test(report));
  return { day, seed, worth: worth === null ? null : Number(worth[1]), brokenRules };
}

/** Calculates the mean and the sample standard deviation. */
export function estimate(values: readonly number[]): Estimate {
  const count = values.length;
  const mean = values.reduce((sum, value) => sum + value, 0) / Math.max(1, count);
  const squares = values.reduce((sum, value) => sum + (value - mean) ** 2, 0);
  return { mean, deviation: Math.sqrt(squares / Math.max(1, count - 1)), count };
}

/** Estimates the difference of two versions over the runs that both have. */
export function compare(before: readonly SeedRun[], after: readonly SeedRun[]): Estimate {
  const differences = after.flatMap(({ day, seed, worth }) => {
    const other = before.find((run) => run.day === day && run.seed === seed);
    return worth === null || other === undefined || other.worth === null ? [] : [worth - other.worth];
  });
  return estimate(differences);
}

/** Formats the runs by day as a table, with the difference to an earlier version if given. */
export function formatRuns(runs: readonly SeedRun[], before: readonly SeedRun[] | null): string {
  const days = [...new Set(runs.map(({ day }) => day))].sort();
  const lines = days.map((day) => {
    const { mean, deviation, count } = estimate(worthsOfDay(runs, day));
    const earlier = before === null ? '' : `  before ${estimate(worthsOfDay(before, day)).mean.toFixed(3)}`;
    return `${day.padEnd(12)} ${mean.toFixed(3)} +- ${deviation.toFixed(3)} (${count})${earlier}`;
  });
  const means = days.map((day) => estimate(worthsOfDay(runs, day)).mean);
  lines.push(`${'all days'.padEnd(12)} ${estimate(means).mean.toFixed(4)}`);
  if (before !== null) {
    const { mean, deviation, count } = compare(before, runs);
    const error = deviation / Math.sqrt(Math.max(1, count));
    lines.push(`difference of ${count} pairs: ${mean.toFixed(4)} +- ${error.toFixed(4)}`);
  }
  for (const { day, seed, brokenRules } of runs)
    if (brokenRules.length > 0) lines.push(`BROKEN in ${day}, seed ${seed}: ${brokenRules.join(', ')}`);
  return `${lines.join('\n')}\n`;
}

function worthsOfDay(runs: readonly SeedRun[], day: string): number[] {
  return runs.flatMap((run) => (run.day === day && run.worth !== null ? [run.worth] : []));
}
