/**
 * One transaction of the member stand-in: its uncommitted changes overlaid on the applied tables.
 *
 * @packageDocumentation
 */
import type { Row } from './expression.js';
import { SqlError } from './sql-values.js';
import type { Change, TableDefinition, Tables } from './tables.js';

/** Uncommitted changes, visible only to the statements of the same transaction. */
export class Transaction {
  readonly changes: Change[] = [];
  readonly lockedRows = new Set<string>();
  readonly #overlay = new Map<string, Row | null>();
  readonly #createdTables = new Map<string, TableDefinition>();

  constructor(private readonly tables: Tables) {}

  /** Definition of a table, including one created by this transaction. */
  definition(table: string): TableDefinition {
    return this.#createdTables.get(table) ?? this.tables.definition(table);
  }

  /** True when the table is visible to this transaction. */
  hasTable(table: string): boolean {
    return this.#createdTables.has(table) || this.tables.hasTable(table);
  }

  /** One row, including this transaction's own changes. */
  row(table: string, key: string): Row | null {
    const own = this.#overlay.get(overlayKey(table, key));
    if (own !== undefined) return own;
    return this.#createdTables.has(table) ? null : this.tables.row(table, key);
  }

  /** All rows, including this transaction's own changes. */
  *rows(table: string): IterableIterator<[string, Row]> {
    const prefix = overlayKey(table, '');
    if (!this.#createdTables.has(table)) {
      for (const [key, row] of this.tables.rows(table)) {
        if (!this.#overlay.has(prefix + key)) yield [key, row];
      }
    }
    for (const [name, row] of this.#overlay) {
      if (row !== null && name.startsWith(prefix)) yield [name.slice(prefix.length), row];
    }
  }

  recordChange(change: Change): void {
    this.changes.push(change);
    if (change.kind === 'createTable') this.#createdTables.set(change.definition.name, change.definition);
    if (change.kind === 'put') this.#overlay.set(overlayKey(change.table, change.key), change.row);
    if (change.kind === 'remove') this.#overlay.set(overlayKey(change.table, change.key), null);
  }

  /** @throws SqlError 25006 when `writable` is false */
  requireWritable(writable: boolean): void {
    if (!writable) throw new SqlError('25006', 'cannot execute a write in a read-only transaction');
  }
}

function overlayKey(table: string, key: string): string {
  return `${table}\u0001${key}`;
}
