/**
 * Statements with which daemons monitor, lock and fence members, and the parsing of their results.
 *
 * All of them are built into PostgreSQL 15 and later, except the status function, which operators install;
 * see docs/reference/member-interface.md.
 *
 * @packageDocumentation
 */
import { createHash } from 'node:crypto';
import type { MemberStatus } from '../group/group-description.js';
import type { QueryRows } from './member-connection.js';

/** Application name of the connections that run clients' statements. */
export const POOL_APPLICATION_NAME = 'sorrelladder-pool';
/** Application name of the connections that monitor a member and hold its lock. */
export const CONTROL_APPLICATION_NAME = 'sorrelladder-control';

/** Queries the role, term and log positions of a member. */
export const STATUS_STATEMENT = 'SELECT * FROM sorrelladder_group_status()';

/** Terminates the connections on which an earlier owner ran clients' statements. */
export const FENCE_STATEMENT =
  'SELECT pg_terminate_backend(pid) FROM pg_stat_activity ' +
  `WHERE application_name = '${POOL_APPLICATION_NAME}' AND pid <> pg_backend_pid()`;

/** Sets the idle time after which the member ends the session, in milliseconds. */
export function idleTimeoutStatement(timeoutMs: number): string {
  return `SET idle_session_timeout = ${timeoutMs}`;
}

/** Tries to acquire the owner's advisory lock of a database. */
export function lockStatement(database: string): string {
  return `SELECT pg_try_advisory_lock(${lockKey(database)}) AS locked`;
}

/** Key of the owner's lock: 48 bits of a hash, so that a JavaScript number represents it exactly. */
function lockKey(database: string): number {
  return createHash('sha256').update(`sorrelladder owner ${database}`).digest().readUIntBE(0, 6);
}

/** Parses the result of {@link STATUS_STATEMENT}; `null` when it is not of the expected form. */
export function readStatus(rows: QueryRows): MemberStatus | null {
  const [row] = rows;
  if (row === undefined || (row['role'] !== 'primary' && row['role'] !== 'replica')) return null;
  const number = (name: string): number => Number(row[name] ?? Number.NaN);
  const status: MemberStatus = {
    memberId: row['member'] ?? '',
    role: row['role'],
    term: number('term'),
    received: { term: number('received_term'), index: number('received_index') },
    applied: { term: number('applied_term'), index: number('applied_index') },
    leaving: row['leaving'] === 't',
  };
  const numbers = [
    status.term,
    status.received.term,
    status.received.index,
    status.applied.term,
    status.applied.index,
  ];
  return numbers.every(Number.isSafeInteger) ? status : null;
}
