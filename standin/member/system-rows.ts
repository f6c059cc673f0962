/**
 * Rows of the member stand-in's system views and functions: sessions, group status, replicated log.
 *
 * @packageDocumentation
 */
import type { Database } from './database.js';
import type { Row } from './expression.js';
import { TypeOid } from './sql-values.js';

/** Rows of a FROM item and the types of their columns. */
export interface RowSource {
  readonly rows: readonly Row[];
  readonly columnTypes: Readonly<Record<string, number>>;
}

/** Rows of `pg_stat_activity`. */
export function activityRows(database: Database): RowSource {
  const rows = [...database.sessions.values()].map((session) => ({
    pid: session.processId,
    application_name: session.applicationName,
  }));
  return { rows, columnTypes: { pid: TypeOid.integer, application_name: TypeOid.text } };
}

/** The row that `sorrelladder_group_status()` returns. */
export function groupStatus({ log, settings, leavingSinceMs }: Database): Row {
  return {
    member: settings.memberId,
    role: log.role,
    term: log.term,
    received_term: log.received.term,
    received_index: log.received.index,
    applied_term: log.applied.term,
    applied_index: log.applied.index,
    leaving: leavingSinceMs !== null,
  };
}

/** Rows of `standin_log()`, read by history checkers. */
export function logRows({ log }: Database): Row[] {
  return log.entries.map((entry) => ({
    term: entry.term,
    index: entry.index,
    session: entry.session,
    changes: JSON.stringify(entry.changes),
  }));
}
