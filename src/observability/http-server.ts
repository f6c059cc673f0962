/**
 * HTTP endpoints for health checks, metrics and status.
 *
 * @packageDocumentation
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Registry } from 'prom-client';

/** Data sources of the endpoints. */
export interface HttpServerPorts {
  readonly registry: Registry;
  /** Updates the gauges before they are read. */
  collect(): void;
  /** The reason why the daemon cannot serve requests; `null` when it can. */
  unavailableReason(): string | null;
  status(): unknown;
}

/** Serves `/healthz`, `/readyz`, `/metrics` and `/status`. */
export class HttpServer {
  readonly #server: Server;

  constructor(private readonly ports: HttpServerPorts) {
    this.#server = createServer((request, response) => void this.#handle(request, response));
  }

  /** Resolves once the server is listening. */
  listen(host: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, host, () => resolve());
    });
  }

  /** Stops listening and closes all open connections at once. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const path = (request.url ?? '/').split('?')[0];
    switch (path) {
      case '/healthz':
        send(response, 200, 'text/plain', 'ok\n');
        break;
      case '/readyz': {
        const reason = this.ports.unavailableReason();
        send(response, reason === null ? 200 : 503, 'text/plain', `${reason ?? 'ready'}\n`);
        break;
      }
      case '/metrics':
        this.ports.collect();
        send(response, 200, this.ports.registry.contentType, await this.ports.registry.metrics());
        break;
      case '/status':
        send(response, 200, 'application/json', JSON.stringify(this.ports.status()));
        break;
      default:
        send(response, 404, 'text/plain', 'not found\n');
    }
  }
}

function send(response: ServerResponse, status: number, contentType: string, body: string): void {
  response.writeHead(status, { 'content-type': contentType });
  response.end(body);
}
