/**
 * Formats results as a comparison table or as a self-contained HTML page with bar charts.
 *
 * @packageDocumentation
 */
import type { RunResult } from './run-scenario.js';

interface Figure {
  readonly name: string;
  readonly unit: string;
  read(result: RunResult): number;
}

const FIGURES: readonly Figure[] = [
  { name: 'share of reads served by replicas', unit: '%', read: (r) => r.replicaShare * 100 },
  { name: 'the same under a stay-on-the-primary rule', unit: '%', read: (r) => r.stickyShare * 100 },
  { name: 'failover gap', unit: 'ms', read: (r) => r.failover?.gapMs ?? 0 },
  { name: 'of it the election of the group', unit: 'ms', read: (r) => r.failover?.electionMs ?? 0 },
  { name: 'read p50', unit: 'ms', read: (r) => r.load.read.p50 },
  { name: 'read p99', unit: 'ms', read: (r) => r.load.read.p99 },
  { name: 'write p50', unit: 'ms', read: (r) => r.load.write.p50 },
  { name: 'write p99', unit: 'ms', read: (r) => r.load.write.p99 },
  { name: 'read p50 straight to the primary', unit: 'ms', read: (r) => r.baselines.primaryOnly.read.p50 },
  { name: 'write p50 straight to the primary', unit: 'ms', read: (r) => r.baselines.primaryOnly.write.p50 },
  { name: 'stale reads of round robin', unit: '', read: (r) => r.baselines.roundRobin.staleReads },
  { name: 'violations', unit: '', read: (r) => Object.values(r.violations).reduce((sum, n) => sum + n, 0) },
];

/** Formats two results as a text table. */
export function formatComparison(before: RunResult, after: RunResult): string {
  const rows = FIGURES.map(({ name, unit, read }) => {
    const [left, right] = [read(before), read(after)];
    const ratio = left === 0 ? '-' : (right / left).toFixed(2);
    return `${name.padEnd(45)}${left.toFixed(1).padStart(12)}${right.toFixed(1).padStart(12)} ${unit.padEnd(3)} x${ratio}`;
  });
  return `${''.padEnd(45)}${before.scenario.padStart(12)}${after.scenario.padStart(12)}\n${rows.join('\n')}\n`;
}

const BAR_WIDTH = 420;
const ROW_HEIGHT = 22;
const LABEL_WIDTH = 230;

/** Renders an HTML page with one bar chart per figure. */
export function renderReport(results: readonly RunResult[]): string {
  const charts = FIGURES.map((figure) => renderChart(figure, results)).join('\n');
  return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>sorrelladder experiments</title>
<style>body{font:14px sans-serif;max-width:56em;margin:2em auto}svg text{font:12px sans-serif}h2{font-size:1em}</style>
</head><body><h1>sorrelladder experiments</h1>
<p>Version ${escape(results[0]?.version ?? '')}; ${results.length} runs.</p>
${charts}</body></html>
`;
}

function renderChart({ name, unit, read }: Figure, results: readonly RunResult[]): string {
  const values = results.map(read);
  const largest = Math.max(...values, Number.MIN_VALUE);
  const rows = results.map((result, i) => {
    const value = values[i] ?? 0;
    const y = i * ROW_HEIGHT;
    const width = Math.max(1, (value / largest) * BAR_WIDTH);
    const label = `${result.deployment} ${result.scenario}`;
    return (
      `<text x="0" y="${y + 15}">${escape(label)}</text>` +
      `<rect x="${LABEL_WIDTH}" y="${y + 3}" width="${width.toFixed(0)}" height="16" fill="#4a7ab5"/>` +
      `<text x="${LABEL_WIDTH + width + 5}" y="${y + 15}">${value.toFixed(1)}</text>`
    );
  });
  const height = results.length * ROW_HEIGHT;
  const title = unit === '' ? name : `${name} (${unit})`;
  return `<h2>${escape(title)}</h2><svg width="${LABEL_WIDTH + BAR_WIDTH + 80}" height="${height}">${rows.join('')}</svg>`;
}

function escape(text: string): string {
  return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;');
}
