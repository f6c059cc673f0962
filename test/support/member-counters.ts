/**
 * Counters of the member stand-ins.
 *
 * @packageDocumentation
 */
import pg from 'pg';
import type { Deployment } from '../../standin/rig/deployment.js';

/** What a member has counted since its start. */
export interface MemberCounts {
  /** Statements executed for callers. */
  readonly statements: number;
  readonly highestConnections: number;
  readonly refusedConnections: number;
}

/** Counters of one member. */
export async function readCounters(deployment: Deployment, memberId: string): Promise<MemberCounts> {
  const client = new pg.Client({ ...deployment.memberAddress(memberId), database: 'any', user: 'checker' });
  await client.connect();
  const result = await client.query<{ counters: string }>('SELECT * FROM standin_counters()');
  await client.end();
  return JSON.parse(result.rows[0]?.counters ?? '{}') as MemberCounts;
}

/** Statements that a member has executed for callers. */
export async function countStatements(deployment: Deployment, memberId: string): Promise<number> {
  return (await readCounters(deployment, memberId)).statements;
}
