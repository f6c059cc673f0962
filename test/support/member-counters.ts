/**
 * Reads the counters of simulated members.
 *
 * @packageDocumentation
 */
import pg from 'pg';
import type { Deployment } from '../../standin/rig/deployment.js';

/** Counters of a member since its start. */
export interface MemberCounts {
  /** Statements executed for clients. */
  readonly statements: number;
  readonly highestConnections: number;
  readonly refusedConnections: number;
}

/** Runs a query on a member directly, without a daemon. */
export async function askMember<Row extends pg.QueryResultRow>(
  deployment: Deployment,
  memberId: string,
  text: string,
): Promise<pg.QueryResult<Row>> {
  const client = new pg.Client({ ...deployment.memberAddress(memberId), database: 'any', user: 'checker' });
  await client.connect();
  const result = await client.query<Row>(text);
  await client.end();
  return result;
}

/** Counters of one member. */
export async function readCounters(deployment: Deployment, memberId: string): Promise<MemberCounts> {
  const result = await askMember<{ counters: string }>(
    deployment,
    memberId,
    'SELECT * FROM standin_counters()',
  );
  return JSON.parse(result.rows[0]?.counters ?? '{}') as MemberCounts;
}

/** Number of statements that a member has executed for clients. */
export async function countStatements(deployment: Deployment, memberId: string): Promise<number> {
  return (await readCounters(deployment, memberId)).statements;
}
