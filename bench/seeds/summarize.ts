/**
 * What several plays of the same days say: mean and spread by day, and the difference of two versions. Pure.
 *
 * @packageDocumentation
 */

/** One play of one day. */
export interface Play {
  readonly day: string;
  readonly seed: number;
  /** `null` when the day was not played to its end. */
  readonly worth: number | null;
  /** Rules that it broke, by their names. */
  readonly brokenRules: readonly string[];
}

/** A mean with its spread. */
export interface Estimate {
  readonly mean: number;
  /** Standard deviation over the plays. */
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

/** Reads the report of one play. */
export function readPlay(day: string, seed: number, report: string): Play {
  const worth = WORTH.exec(report);
  const brokenRules = RULES.filter((rule) => new RegExp(`\\b${rule}\\b`).test(report));
  return { day, seed, worth: worth === null ? null : Number(worth[1]), brokenRules };
}

/** Mean and standard deviation. */
export function estimate(values: readonly number[]): Estimate {
  const count = values.length;
  const mean = values.reduce((sum, value) => sum + value, 0) / Math.max(1, count);
  const squares = values.reduce((sum, value) => sum + (value - mean) ** 2, 0);
  return { mean, deviation: Math.sqrt(squares / Math.max(1, count - 1)), count };
}

/** The differences of the plays that both versions have, as one estimate. */
export function compare(before: readonly Play[], after: readonly Play[]): Estimate {
  const differences = after.flatMap(({ day, seed, worth }) => {
    const other = before.find((play) => play.day === day && play.seed === seed);
    return worth === null || other === undefined || other.worth === null ? [] : [worth - other.worth];
  });
  return estimate(differences);
}

/** A table of the plays by day, and of the difference to an earlier version. */
export function formatPlays(plays: readonly Play[], before: readonly Play[] | null): string {
  const days = [...new Set(plays.map(({ day }) => day))].sort();
  const lines = days.map((day) => {
    const { mean, deviation, count } = estimate(worths(plays, day));
    const earlier = before === null ? '' : `  before ${estimate(worths(before, day)).mean.toFixed(3)}`;
    return `${day.padEnd(12)} ${mean.toFixed(3)} +- ${deviation.toFixed(3)} (${count})${earlier}`;
  });
  const means = days.map((day) => estimate(worths(plays, day)).mean);
  lines.push(`${'all days'.padEnd(12)} ${estimate(means).mean.toFixed(4)}`);
  if (before !== null) {
    const { mean, deviation, count } = compare(before, plays);
    const error = deviation / Math.sqrt(Math.max(1, count));
    lines.push(`difference of ${count} pairs: ${mean.toFixed(4)} +- ${error.toFixed(4)}`);
  }
  for (const { day, seed, brokenRules } of plays)
    if (brokenRules.length > 0) lines.push(`BROKEN in ${day}, seed ${seed}: ${brokenRules.join(', ')}`);
  return `${lines.join('\n')}\n`;
}

function worths(plays: readonly Play[], day: string): number[] {
  return plays.flatMap((play) => (play.day === day && play.worth !== null ? [play.worth] : []));
}
