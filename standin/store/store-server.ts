/**
 * Stand-in for the platform's store: the endpoints of etcd's JSON gateway that are used, with injectable
 * faults.
 *
 * @packageDocumentation
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { StoreState, type StoredKey } from './store-state.js';

/** Faults that a test enables with `POST /standin/faults`. */
export interface StoreFaults {
  /** Closes connections without a response. */
  down: boolean;
  /** Delay before each response, in milliseconds. */
  delayMs: number;
  /** Number of writes that take effect but whose responses are lost. */
  loseAnswers: number;
  /** Reads return a range's first result after the last change of faults, without later writes. */
  staleReads: boolean;
  /** Requests per second above which the store responds with 429; 0 for no limit. */
  rateLimit: number;
}

interface Comparison {
  readonly key: string;
  readonly mod_revision?: string;
}

interface TransactionBody {
  readonly compare?: readonly Comparison[];
  readonly success?: readonly { readonly request_put?: { readonly key: string; readonly value: string } }[];
}

/** HTTP server of the store. */
export class StoreServer {
  readonly state = new StoreState();
  readonly faults: StoreFaults = { down: false, delayMs: 0, loseAnswers: 0, staleReads: false, rateLimit: 0 };
  readonly #server: Server;
  readonly #watchers = new Set<ServerResponse>();
  readonly #recentRequests: number[] = [];
  #snapshot = new Map<string, StoredKey[]>();

  constructor() {
    this.#server = createServer((request, response) => void this.#handle(request, response));
  }

  listen(host: string, port: number): Promise<void> {
    return new Promise((resolve) => this.#server.listen(port, host, () => resolve()));
  }

  /** Closes all connections and stops. */
  async close(): Promise<void> {
    this.#server.closeAllConnections();
    await new Promise<void>((resolve) => this.#server.close(() => resolve()));
  }

  /** Changes the faults and discards the snapshot for stale reads; `down` also closes open watches. */
  setFaults(change: Partial<StoreFaults>): void {
    Object.assign(this.faults, change);
    this.#snapshot = new Map();
    if (this.faults.down) for (const watcher of this.#watchers) watcher.destroy();
  }

  async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readJson(request);
    const path = request.url ?? '';
    if (path === '/standin/faults') {
      this.setFaults(body as Partial<StoreFaults>);
      respond(response, 200, this.faults);
      return;
    }
    if (this.faults.down) {
      request.socket.destroy();
      return;
    }
    if (this.#isOverLimit()) {
      respond(response, 429, { error: 'too many requests' });
      return;
    }
    if (this.faults.delayMs > 0) await new Promise((resolve) => setTimeout(resolve, this.faults.delayMs));
    this.#dispatch(path, body, response);
  }

  #isOverLimit(): boolean {
    if (this.faults.rateLimit === 0) return false;
    const now = Date.now();
    while ((this.#recentRequests[0] ?? now) < now - 1000) this.#recentRequests.shift();
    this.#recentRequests.push(now);
    return this.#recentRequests.length > this.faults.rateLimit;
  }

  #dispatch(path: string, body: Record<string, unknown>, response: ServerResponse): void {
    switch (path) {
      case '/v3/kv/range':
        this.#range(body, response);
        break;
      case '/v3/kv/txn':
        this.#transaction(body as TransactionBody, response);
        break;
      case '/v3/kv/put':
        this.state.put([body as unknown as { key: string; value: string; lease?: string }]);
        this.#respondToWrite(response, {});
        break;
      case '/v3/watch':
        this.#watch(body['create_request'] as { key: string }, response);
        break;
      case '/v3/lease/grant': {
        const id = String(body['ID'] ?? this.state.revision + 1000);
        this.state.grantLease(id, Number(body['TTL']));
        this.#respondToWrite(response, { ID: id, TTL: String(body['TTL']) });
        break;
      }
      case '/v3/lease/keepalive': {
        const isAlive = this.state.keepAlive(String(body['ID']));
        respond(response, 200, { result: { ID: body['ID'], TTL: isAlive ? '1' : '0' } });
        break;
      }
      default:
        respond(response, 404, { error: 'not found' });
    }
  }

  #range(body: Record<string, unknown>, response: ServerResponse): void {
    const key = String(body['key']);
    const rangeEnd = body['range_end'] as string | undefined;
    const current = this.state.range(key, rangeEnd);
    const cacheKey = `${key} ${rangeEnd ?? ''}`;
    if (!this.#snapshot.has(cacheKey)) this.#snapshot.set(cacheKey, current);
    const kvs = this.faults.staleReads ? (this.#snapshot.get(cacheKey) ?? current) : current;
    respond(response, 200, { header: this.#header(), kvs, count: String(kvs.length) });
  }

  #transaction(body: TransactionBody, response: ServerResponse): void {
    const succeeded = (body.compare ?? []).every(({ key, mod_revision }) => {
      const [stored] = this.state.range(key, undefined);
      return (stored?.mod_revision ?? '0') === (mod_revision ?? '0');
    });
    if (succeeded) {
      const puts = (body.success ?? []).flatMap(({ request_put }) =>
        request_put === undefined ? [] : [request_put],
      );
      this.state.put(puts);
    }
    this.#respondToWrite(response, { succeeded });
  }

  #respondToWrite(response: ServerResponse, body: Record<string, unknown>): void {
    if (this.faults.loseAnswers > 0) {
      this.faults.loseAnswers -= 1;
      response.destroy();
      return;
    }
    respond(response, 200, { header: this.#header(), ...body });
  }

  #watch(request: { key: string }, response: ServerResponse): void {
    response.writeHead(200, { 'content-type': 'application/json' });
    response.write(`${JSON.stringify({ result: { header: this.#header(), created: true } })}\n`);
    const onPut = (stored: StoredKey): void => {
      if (stored.key !== request.key || this.faults.down) return;
      response.write(`${JSON.stringify({ result: { header: this.#header(), events: [{ kv: stored }] } })}\n`);
    };
    this.state.on('put', onPut);
    this.#watchers.add(response);
    response.on('close', () => {
      this.state.off('put', onPut);
      this.#watchers.delete(response);
    });
  }

  #header(): { readonly revision: string } {
    return { revision: String(this.state.revision) };
  }
}

async function readJson(request: IncomingMessage): Promise<Record<string, unknown>> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  const text = Buffer.concat(chunks).toString('utf8');
  return text === '' ? {} : (JSON.parse(text) as Record<string, unknown>);
}

function respond(response: ServerResponse, status: number, body: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(body));
}
