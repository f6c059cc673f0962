/**
 * Names of prepared statements on one connection. A name is a number of the connection's own, so no text of a
 * client becomes part of it.
 *
 * @packageDocumentation
 */
import type { PreparedStatement } from './statement.js';

/** The statements that are prepared on a connection, by what they do. */
export class PreparedNames {
  readonly #names = new Map<string, string>();
  #bytes = 0;
  /** Not reset with the names: a name is never given to a second statement. */
  #lastNumber = 0;

  /** Number of names in use. */
  get size(): number {
    return this.#names.size;
  }

  /** Size of the shapes of the statements that have a name, in bytes. */
  get bytes(): number {
    return this.#bytes;
  }

  /** The name of a statement; `undefined` if it has none yet. */
  find(prepared: PreparedStatement): string | undefined {
    return this.#names.get(keyOf(prepared));
  }

  /** Gives a name to a statement that has none. */
  add(prepared: PreparedStatement): string {
    this.#lastNumber += 1;
    const name = `p${this.#lastNumber}`;
    this.#names.set(keyOf(prepared), name);
    this.#bytes += prepared.shape.length;
    return name;
  }

  /** Forgets all statements. */
  clear(): void {
    this.#names.clear();
    this.#bytes = 0;
  }
}

/** Differs for any two statements, since the first character tells their modes apart. */
function keyOf({ isWrite, shape }: PreparedStatement): string {
  return `${isWrite ? 'w' : 'r'}${shape}`;
}
