/**
 * Joins what is written to a socket in one turn of the event loop into one system call.
 *
 * @packageDocumentation
 */
import type { Socket } from 'node:net';

/** Writes to a socket, corked until the end of the turn. */
export class CorkedWriter {
  #isCorked = false;

  constructor(private readonly socket: Socket) {}

  /** Writes data; it leaves at the end of the turn. */
  write(data: Uint8Array): void {
    if (!this.#isCorked) {
      this.#isCorked = true;
      this.socket.cork();
      process.nextTick(() => this.#uncork());
    }
    this.socket.write(data);
  }

  #uncork(): void {
    this.#isCorked = false;
    this.socket.uncork();
  }
}
