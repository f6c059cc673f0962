/**
 * Combines the writes to a socket that one event-loop callback makes into one system call.
 *
 * @packageDocumentation
 */
import type { Socket } from 'node:net';

/** Writes to a socket that stays corked until the current event-loop callback has finished. */
export class CorkedWriter {
  #isCorked = false;

  constructor(private readonly socket: Socket) {}

  /** Buffers data, which is sent when the current event-loop callback has finished. */
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
