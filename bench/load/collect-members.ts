/**
 * Reads the logs and counters of the members of a deployment at the end of a run.
 *
 * @packageDocumentation
 */
import pg from 'pg';
import type { Deployment } from '../../standin/rig/deployment.js';
import type { LoggedTransaction, MemberRecord } from '../history/history.js';

/** Records of all members that are still running. */
export async function collectMembers(deployment: Deployment): Promise<MemberRecord[]> {
  const records: MemberRecord[] = [];
  for (const memberId of deployment.members.keys()) {
    if (deployment.child(memberId).isRunning) records.push(await collectMember(deployment, memberId));
  }
  return records;
}

interface StatusRow {
  readonly role: string;
  readonly term: string;
}

interface LogRow {
  readonly term: string;
  readonly index: string;
  readonly changes: string;
}

async function collectMember(deployment: Deployment, memberId: string): Promise<MemberRecord> {
  const client = new pg.Client({ ...deployment.memberAddress(memberId), database: 'any', user: 'checker' });
  await client.connect();
  const status = await client.query<StatusRow>('SELECT * FROM sorrelladder_group_status()');
  const log = await client.query<LogRow>('SELECT * FROM standin_log()');
  const counters = await client.query<{ counters: string }>('SELECT * FROM standin_counters()');
  await client.end();
  const counted = JSON.parse(counters.rows[0]?.counters ?? '{}') as Record<string, number>;
  return {
    memberId,
    database: memberId.replace(/-\d+$/, ''),
    term: Number(status.rows[0]?.term),
    isPrimary: status.rows[0]?.role === 'primary',
    log: log.rows.map(toLoggedTransaction),
    highestConnections: counted['highestConnections'] ?? 0,
    connectionLimit: deployment.options.connectionLimit,
    refusedConnections: counted['refusedConnections'] ?? 0,
  };
}

function toLoggedTransaction({ term, index, changes }: LogRow): LoggedTransaction {
  const parsed = JSON.parse(changes) as { row?: { operation?: string | null } }[];
  const operationIds = parsed.flatMap(({ row }) =>
    typeof row?.operation === 'string' ? [row.operation] : [],
  );
  return { term: Number(term), index: Number(index), operationIds };
}
