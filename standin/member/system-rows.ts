/**
 * Rows of the member stand-in that stand in no table: sessions, the group, the log.
 *
 * @packageDocumentation
 */
import type { Database } from './database.js';
import type { Row } from './expression.js';
import { TypeOid } from './sql-values.js';

/** Rows to select from, and the types of their columns. */
export interface SourceRows {
  readonly rows: readonly Row[];
  readonly columnTypes: Readonly<Record<string, number>>;
}

/** The sessions, as `pg_stat_activity` shows them. */
export function activityRows(database: Database): SourceRows {
  const rows = [...database.sessions.values()].map((session) => ({
    pid: session.processId,
    application_name: session.applicationName,
  }));
  return { rows, columnTypes: { pid: TypeOid.integer, application_name: TypeOid.text } };
}

/** What the member says of itself and its group. */
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

/** The log, for checkers. */
export function logRows({ log }: Database): Row[] {
  return log.entries.map((entry) => ({
    term: entry.term,
    index: entry.index,
    session: entry.session,
    changes: JSON.stringify(entry.changes),
  }));
}
