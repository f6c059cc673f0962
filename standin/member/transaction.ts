/**
 * One transaction of the member stand-in: its own changes over the applied tables.
 *
 * @packageDocumentation
 */
import type { Row } from './expression.js';
import { SqlError } from './sql-values.js';
import type { Change, TableDefinition, Tables } from './tables.js';

/** Changes of one transaction, seen by its own statements and nobody else's. */
export class Transaction {
  readonly changes: Change[] = [];
  readonly lockedRows = new Set<string>();
  readonly #overlay = new Map<string, Row | null>();
  readonly #created = new Map<string, TableDefinition>();

  constructor(private readonly tables: Tables) {}

  /** Definition of a table, also one that this transaction made. */
  definition(table: string): TableDefinition {
    return this.#created.get(table) ?? this.tables.definition(table);
  }

  /** True when the table exists for this transaction. */
  has(table: string): boolean {
    return this.#created.has(table) || this.tables.has(table);
  }

  /** One row as this transaction sees it. */
  row(table: string, key: string): Row | null {
    const own = this.#overlay.get(overlayKey(table, key));
    if (own !== undefined) return own;
    return this.#created.has(table) ? null : this.tables.row(table, key);
  }

  /** All rows as this transaction sees them. */
  *rows(table: string): IterableIterator<[string, Row]> {
    const prefix = overlayKey(table, '');
    if (!this.#created.has(table)) {
      for (const [key, row] of this.tables.rows(table)) {
        if (!this.#overlay.has(prefix + key)) yield [key, row];
      }
    }
    for (const [name, row] of this.#overlay) {
      if (row !== null && name.startsWith(prefix)) yield [name.slice(prefix.length), row];
    }
  }

  /** Records a change. */
  change(change: Change): void {
    this.changes.push(change);
    if (change.kind === 'createTable') this.#created.set(change.definition.name, change.definition);
    if (change.kind === 'put') this.#overlay.set(overlayKey(change.table, change.key), change.row);
    if (change.kind === 'remove') this.#overlay.set(overlayKey(change.table, change.key), null);
  }

  /** @throws SqlError 25006 when the transaction has changes and `writable` is false */
  requireWritable(writable: boolean): void {
    if (!writable) throw new SqlError('25006', 'cannot execute a write in a read-only transaction');
  }
}

function overlayKey(table: string, key: string): string {
  return `${table}\u0001${key}`;
}
