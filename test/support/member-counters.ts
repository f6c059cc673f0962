/**
 * Counters of the member stand-ins.
 *
 * @packageDocumentation
 */
import pg from 'pg';
import type { Deployment } from '../../standin/rig/deployment.js';

/** Statements that a member has executed for callers. */
export async function countStatements(deployment: Deployment, memberId: string): Promise<number> {
  const client = new pg.Client({ ...deployment.memberAddress(memberId), database: 'any', user: 'checker' });
  await client.connect();
  const result = await client.query<{ counters: string }>('SELECT * FROM standin_counters()');
  await client.end();
  return (JSON.parse(result.rows[0]?.counters ?? '{}') as { statements: number }).statements;
}
