/**
 * The statements with which daemons watch, lock and fence members, and how their answers are read.
 *
 * All but the status are PostgreSQL's own (15 and later); the status is a function that operators install, see
 * docs/reference/member-interface.md.
 *
 * @packageDocumentation
 */
import { createHash } from 'node:crypto';
import type { MemberStatus } from '../group/group-description.js';
import type { QueryRows } from './member-connection.js';

/** Application name of the connections that carry callers' statements. */
export const POOL_APPLICATION_NAME = 'sorrelladder-pool';
/** Application name of the connections that watch a member and hold its lock. */
export const CONTROL_APPLICATION_NAME = 'sorrelladder-control';

/** Asks a member for its role, term and log positions. */
export const STATUS_STATEMENT = 'SELECT * FROM sorrelladder_group_status()';

/** Ends the connections with which an earlier owner carried callers' statements. */
export const FENCE_STATEMENT =
  'SELECT pg_terminate_backend(pid) FROM pg_stat_activity ' +
  `WHERE application_name = '${POOL_APPLICATION_NAME}' AND pid <> pg_backend_pid()`;

/** Makes the member end the session when nothing is heard of it, in milliseconds. */
export function idleTimeoutStatement(timeoutMs: number): string {
  return `SET idle_session_timeout = ${timeoutMs}`;
}

/** Tries to take the owner's lock of a database. */
export function lockStatement(database: string): string {
  return `SELECT pg_try_advisory_lock(${lockKey(database)}) AS locked`;
}

/** Key of the owner's lock: 48 bits of a hash, so that it is exact in every number type. */
function lockKey(database: string): number {
  return createHash('sha256').update(`sorrelladder owner ${database}`).digest().readUIntBE(0, 6);
}

/** Reads the answer to {@link STATUS_STATEMENT}; `null` when it is not of the expected form. */
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
