/**
 * Stand-in for the platform's list of live and leaving machines, which publishes changes with a delay.
 *
 * @packageDocumentation
 */
import { createHash } from 'node:crypto';
import { createServer, type Server } from 'node:http';
import type { Machine } from '../../src/machines/machine-list.js';

interface PendingList {
  readonly machines: readonly Machine[];
  readonly visibleAtMs: number;
}

/** HTTP server of the list: `GET /v1/machines` reads it, `POST /standin/machines` replaces it. */
export class MachinesServer {
  readonly #server: Server;
  #pending: PendingList[] = [];
  #visible: readonly Machine[] = [];

  /** @param lagMs - delay before a change becomes visible, in milliseconds */
  constructor(private readonly lagMs: number) {
    this.#server = createServer((request, response) => {
      const chunks: Buffer[] = [];
      request.on('data', (chunk: Buffer) => chunks.push(chunk));
      request.on('end', () => {
        if (request.method === 'POST')
          this.setMachines(JSON.parse(Buffer.concat(chunks).toString()) as Machine[]);
        const body = JSON.stringify({ machines: this.#visibleMachines() });
        const etag = `"${createHash('sha1').update(body).digest('hex')}"`;
        const isUnchanged = request.headers['if-none-match'] === etag;
        response.writeHead(isUnchanged ? 304 : 200, { 'content-type': 'application/json', etag });
        response.end(isUnchanged ? undefined : body);
      });
    });
  }

  /** Replaces the list; the first list is visible immediately. */
  setMachines(machines: readonly Machine[]): void {
    if (this.#visible.length === 0) this.#visible = machines;
    this.#pending.push({ machines, visibleAtMs: Date.now() + this.lagMs });
  }

  listen(host: string, port: number): Promise<void> {
    return new Promise((resolve) => this.#server.listen(port, host, () => resolve()));
  }

  /** Closes all connections and stops. */
  async close(): Promise<void> {
    this.#server.closeAllConnections();
    await new Promise<void>((resolve) => this.#server.close(() => resolve()));
  }

  #visibleMachines(): readonly Machine[] {
    while (this.#pending[0] !== undefined && this.#pending[0].visibleAtMs <= Date.now()) {
      this.#visible = this.#pending.shift()?.machines ?? this.#visible;
    }
    return this.#visible;
  }
}
