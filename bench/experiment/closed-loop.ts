/**
 * Closed-loop clients: each sends its next statement after the answer to the previous one and the think time.
 *
 * @packageDocumentation
 */
import pg from 'pg';
import { summariseLatency, type LatencySummary } from './latency.js';

/** Throughput, latencies and refusals of all clients. */
export interface ClosedLoopResult {
  readonly perSecond: number;
  readonly latency: LatencySummary;
  readonly refused: number;
  readonly refusedWithRetryAfter: number;
  /** Latency of refusals. */
  readonly refusalLatency: LatencySummary;
}

/** Settings of the clients. */
export interface ClosedLoopOptions {
  readonly address: { readonly host: string; readonly port: number };
  readonly database: string;
  readonly clients: number;
  readonly durationMs: number;
  /** Pause between an answer and the next statement, in milliseconds. */
  readonly thinkTimeMs: number;
  readonly statementText: (client: number, round: number) => string;
}

/** Runs the clients concurrently for `durationMs`. */
export async function runClosedLoop(options: ClosedLoopOptions): Promise<ClosedLoopResult> {
  const latencies: number[] = [];
  const refusals: { readonly latencyMs: number; readonly hasRetryAfter: boolean }[] = [];
  const endMs = performance.now() + options.durationMs;
  const runClient = async (number: number): Promise<void> => {
    const client = new pg.Client({ ...options.address, database: options.database, user: 'bench' });
    client.on('error', () => undefined);
    await client.connect();
    for (let round = 0; performance.now() < endMs; round += 1) {
      const startedMs = performance.now();
      try {
        await client.query(options.statementText(number, round));
        latencies.push(performance.now() - startedMs);
      } catch (error) {
        const { hint } = error as { hint?: string };
        refusals.push({
          latencyMs: performance.now() - startedMs,
          hasRetryAfter: hint?.includes('retry_after_ms') ?? false,
        });
        await new Promise((resolve) => setTimeout(resolve, Number(/\d+/.exec(hint ?? '')?.[0] ?? 10)));
      }
      if (options.thinkTimeMs > 0) await new Promise((resolve) => setTimeout(resolve, options.thinkTimeMs));
    }
    await client.end();
  };
  await Promise.all(Array.from({ length: options.clients }, (_, number) => runClient(number)));
  return {
    perSecond: Math.round((latencies.length / options.durationMs) * 1000),
    latency: summariseLatency(latencies),
    refused: refusals.length,
    refusedWithRetryAfter: refusals.filter(({ hasRetryAfter }) => hasRetryAfter).length,
    refusalLatency: summariseLatency(refusals.map(({ latencyMs }) => latencyMs)),
  };
}
