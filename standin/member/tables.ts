/**
 * Tables of the member stand-in and the changes that the replicated log carries.
 *
 * @packageDocumentation
 */
import type { Row } from './expression.js';
import { SqlError, type SqlScalar } from './sql-values.js';

/** Columns and primary key of a table. */
export interface TableDefinition {
  readonly name: string;
  readonly primaryKey: string;
  readonly columnTypes: Readonly<Record<string, number>>;
}

/** One change in a transaction. */
export type Change =
  | { readonly kind: 'createTable'; readonly definition: TableDefinition }
  | { readonly kind: 'dropTable'; readonly table: string }
  | { readonly kind: 'put'; readonly table: string; readonly key: string; readonly row: Row }
  | { readonly kind: 'remove'; readonly table: string; readonly key: string };

interface Table {
  readonly definition: TableDefinition;
  readonly rows: Map<string, Row>;
}

/** Map key for a primary key value. */
export function rowKey(value: SqlScalar): string {
  return String(value);
}

/** The tables of a member after the applied log entries. */
export class Tables {
  readonly #tables = new Map<string, Table>();

  /** Definition of a table. @throws SqlError 42P01 when there is none */
  definition(name: string): TableDefinition {
    return this.#table(name).definition;
  }

  /** True when the table exists. */
  hasTable(name: string): boolean {
    return this.#tables.has(name);
  }

  /** One row, or `null`. */
  row(name: string, key: string): Row | null {
    return this.#table(name).rows.get(key) ?? null;
  }

  /** All rows of a table with their keys. */
  rows(name: string): IterableIterator<[string, Row]> {
    return this.#table(name).rows.entries();
  }

  apply(change: Change): void {
    switch (change.kind) {
      case 'createTable':
        this.#tables.set(change.definition.name, { definition: change.definition, rows: new Map() });
        break;
      case 'dropTable':
        this.#tables.delete(change.table);
        break;
      case 'put':
        this.#tables.get(change.table)?.rows.set(change.key, change.row);
        break;
      case 'remove':
        this.#tables.get(change.table)?.rows.delete(change.key);
        break;
    }
  }

  /** Drops all tables. */
  clear(): void {
    this.#tables.clear();
  }

  #table(name: string): Table {
    const table = this.#tables.get(name);
    if (table === undefined) throw new SqlError('42P01', `relation "${name}" does not exist`);
    return table;
  }
}
