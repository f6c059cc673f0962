/**
 * A client that sends arbitrary bytes.
 *
 * @packageDocumentation
 */
import { connect, type Socket } from 'node:net';
import { serialize } from 'pg-protocol';
import { FrameSplitter } from '../../src/wire/frame-splitter.js';
import { waitUntil } from '../../standin/rig/wait-until.js';

const MAX_FRAME_BYTES = 64 * 1024 * 1024;

/** A socket and the messages received on it. */
export class RawClient {
  readonly frames: Buffer[] = [];
  isClosed = false;
  readonly #splitter = new FrameSplitter(MAX_FRAME_BYTES);

  private constructor(readonly socket: Socket) {
    socket.on('data', (chunk: Buffer) => this.frames.push(...this.#splitter.push(chunk)));
    socket.on('error', () => socket.destroy());
    socket.on('close', () => (this.isClosed = true));
  }

  /** Opens a socket without sending anything. */
  static open(address: { readonly host: string; readonly port: number }): RawClient {
    return new RawClient(connect(address));
  }

  /** Opens a socket and completes the startup exchange. */
  static async start(address: { readonly host: string; readonly port: number }): Promise<RawClient> {
    const client = RawClient.open(address);
    client.socket.write(serialize.startup({ user: 'raw', database: 'quotes' }));
    await client.waitForType('Z', 1);
    return client;
  }

  /** Messages of one type received so far. */
  ofType(type: string): readonly Buffer[] {
    return this.frames.filter((frame) => frame[0] === type.charCodeAt(0));
  }

  /** Waits until a number of messages of one type have been received. */
  async waitForType(type: string, count: number): Promise<void> {
    await waitUntil(`${count} messages ${type}`, () => this.ofType(type).length >= count);
  }

  /** Waits until the connection is closed. */
  async waitForClose(): Promise<void> {
    await waitUntil('the connection to close', () => this.isClosed);
  }
}

/** Value of a field of an ErrorResponse. */
export function errorField(frame: Buffer | undefined, field: string): string | null {
  const fields = frame?.toString('utf8', 5).split('\0') ?? [];
  return fields.find((text) => text.startsWith(field))?.slice(1) ?? null;
}
