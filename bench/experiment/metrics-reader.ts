/**
 * Reads the metrics that the daemons expose over HTTP.
 *
 * @packageDocumentation
 */
import type { Deployment } from '../../standin/rig/deployment.js';

async function readSamples(
  deployment: Deployment,
  metric: string,
): Promise<readonly (readonly [string, number])[]> {
  const samples: (readonly [string, number])[] = [];
  for (const daemonId of deployment.daemons.keys()) {
    if (!deployment.child(daemonId).isRunning) continue;
    const text = await (await fetch(`${deployment.httpUrl(daemonId)}/metrics`)).text();
    for (const line of text.split('\n')) {
      const match = new RegExp(`^sorrelladder_${metric}\\{(.*)\\} (.*)$`).exec(line);
      if (match !== null) samples.push([match[1] ?? '', Number(match[2])]);
    }
  }
  return samples;
}

/** Share of the reads that were served by replicas. */
export async function readReplicaShare(deployment: Deployment): Promise<number> {
  const samples = (await readSamples(deployment, 'statements_total')).filter(([labels]) =>
    labels.includes('kind="read"'),
  );
  const sum = (target: string): number =>
    samples
      .filter(([labels]) => labels.includes(`target="${target}"`))
      .reduce((total, [, value]) => total + value, 0);
  const total = sum('replica') + sum('primary');
  return total === 0 ? 0 : sum('replica') / total;
}

/** Number of statements that the daemons have sent to members so far. */
export async function readStatementCount(deployment: Deployment): Promise<number> {
  return (await readSamples(deployment, 'statements_total')).reduce((total, [, value]) => total + value, 0);
}

/** Number of refusals by reason. */
export async function readRefusals(deployment: Deployment): Promise<Record<string, number>> {
  const counts: Record<string, number> = {};
  for (const [labels, value] of await readSamples(deployment, 'refusals_total')) {
    const reason = /reason="([^"]*)"/.exec(labels)?.[1] ?? '';
    counts[reason] = (counts[reason] ?? 0) + value;
  }
  return counts;
}
