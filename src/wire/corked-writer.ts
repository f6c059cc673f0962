/**
 * Combines all writes to a socket within one event-loop turn into one system call.
 *
 * @packageDocumentation
 */
import type { Socket } from 'node:net';

/** Writes to a socket that stays corked until the end of the event-loop turn. */
export class CorkedWriter {
  #isCorked = false;

  constructor(private readonly socket: Socket) {}

  /** Buffers data, which is sent at the end of the event-loop turn. */
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
