/**
 * Stand-in of the platform's list of live and leaving machines, which lags behind its own changes.
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

/** The list as an HTTP server: `GET /v1/machines`, `POST /standin/machines` to change it. */
export class MachinesServer {
  readonly #server: Server;
  #pending: PendingList[] = [];
  #visible: readonly Machine[] = [];

  /** @param lagMs - time until a change is seen, in milliseconds */
  constructor(private readonly lagMs: number) {
    this.#server = createServer((request, response) => {
      const chunks: Buffer[] = [];
      request.on('data', (chunk: Buffer) => chunks.push(chunk));
      request.on('end', () => {
        if (request.method === 'POST')
          this.setMachines(JSON.parse(Buffer.concat(chunks).toString()) as Machine[]);
        const body = JSON.stringify({ machines: this.#current() });
        const etag = `"${createHash('sha1').update(body).digest('hex')}"`;
        const isKnown = request.headers['if-none-match'] === etag;
        response.writeHead(isKnown ? 304 : 200, { 'content-type': 'application/json', etag });
        response.end(isKnown ? undefined : body);
      });
    });
  }

  /** Changes the list; the first list is seen at once. */
  setMachines(machines: readonly Machine[]): void {
    if (this.#visible.length === 0) this.#visible = machines;
    this.#pending.push({ machines, visibleAtMs: Date.now() + this.lagMs });
  }

  /** Starts to listen. */
  listen(host: string, port: number): Promise<void> {
    return new Promise((resolve) => this.#server.listen(port, host, () => resolve()));
  }

  /** Stops at once. */
  async close(): Promise<void> {
    this.#server.closeAllConnections();
    await new Promise<void>((resolve) => this.#server.close(() => resolve()));
  }

  #current(): readonly Machine[] {
    while (this.#pending[0] !== undefined && this.#pending[0].visibleAtMs <= Date.now()) {
      this.#visible = this.#pending.shift()?.machines ?? this.#visible;
    }
    return this.#visible;
  }
}
