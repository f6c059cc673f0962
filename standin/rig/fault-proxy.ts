/**
 * A TCP proxy that stands before every process of a test deployment: cuts and delays traffic between zones.
 *
 * The zone of a connection's origin is read from its source address, since every process connects from its own
 * IP number. Held traffic is delivered when a cut heals, as TCP would retransmit it.
 *
 * @packageDocumentation
 */
import { connect, createServer, type Server, type Socket } from 'node:net';

/** One forwarded address. */
export interface Route {
  readonly zone: string;
  readonly listenHost: string;
  readonly port: number;
  readonly targetHost: string;
  /** Where it goes on the target, if that is another port. */
  readonly targetPort?: number;
}

/** Bytes on their way; `null` is the end of the connection. */
interface Chunk {
  readonly data: Buffer | null;
  readonly dueMs: number;
}

/** One direction of one connection. */
class Flow {
  readonly #queue: Chunk[] = [];
  #timer: NodeJS.Timeout | null = null;
  #hasEnded = false;

  constructor(
    private readonly proxy: FaultProxy,
    private readonly fromZone: string,
    private readonly toZone: string,
    private readonly sink: Socket,
  ) {}

  push(data: Buffer): void {
    this.#take(data);
  }

  /** The end is as late as the bytes before it. */
  end(): void {
    if (this.#hasEnded) return;
    this.#hasEnded = true;
    this.#take(null);
  }

  /** Delivers what is due, unless the way is cut. */
  pump(): void {
    if (this.#timer !== null) clearTimeout(this.#timer);
    this.#timer = null;
    if (this.proxy.isCut(this.fromZone, this.toZone)) return;
    const nowMs = performance.now();
    while (this.#queue[0] !== undefined && this.#queue[0].dueMs <= nowMs) {
      const chunk = this.#queue.shift();
      if (chunk !== undefined) this.#deliver(chunk.data);
    }
    const next = this.#queue[0];
    if (next !== undefined) this.#timer = setTimeout(() => this.pump(), Math.max(1, next.dueMs - nowMs));
  }

  #take(data: Buffer | null): void {
    const delayMs = this.proxy.delayMs(this.fromZone, this.toZone);
    if (delayMs === 0 && this.#queue.length === 0 && !this.proxy.isCut(this.fromZone, this.toZone)) {
      this.#deliver(data);
      return;
    }
    this.#queue.push({ data, dueMs: performance.now() + delayMs });
    this.pump();
  }

  #deliver(data: Buffer | null): void {
    if (data === null) this.sink.end();
    else this.sink.write(data);
  }
}

/** Proxies for all processes of a deployment, in the process that runs the experiment. */
export class FaultProxy {
  readonly #servers: Server[] = [];
  readonly #sockets = new Set<Socket>();
  readonly #flows = new Set<Flow>();
  readonly #zones = new Map<string, string>();
  readonly #cuts = new Set<string>();
  readonly #delays = new Map<string, number>();
  #zoneLatencyMs = 0;

  /** Says which zone a source address belongs to; `client` is assumed for others. */
  registerSource(host: string, zone: string): void {
    this.#zones.set(host, zone);
  }

  /** Starts to forward an address. */
  async forward(route: Route): Promise<void> {
    const server = createServer((socket) => this.#accept(socket, route));
    this.#servers.push(server);
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(route.port, route.listenHost, () => resolve());
    });
  }

  /** One-way delay between any two zones, in milliseconds. */
  setZoneLatency(delayMs: number): void {
    this.#zoneLatencyMs = delayMs;
  }

  /** One-way delay from one zone to another, in milliseconds. */
  setDelay(fromZone: string, toZone: string, delayMs: number): void {
    this.#delays.set(`${fromZone}>${toZone}`, delayMs);
  }

  /** Holds all traffic from one zone to another. */
  cutOneWay(fromZone: string, toZone: string): void {
    this.#cuts.add(`${fromZone}>${toZone}`);
  }

  /** Cuts a zone off from the others, both ways. */
  isolate(zone: string, otherZones: readonly string[]): void {
    for (const other of otherZones) {
      if (other === zone) continue;
      this.cutOneWay(zone, other);
      this.cutOneWay(other, zone);
    }
  }

  /** Ends all cuts and delays of single directions. */
  heal(): void {
    this.#cuts.clear();
    this.#delays.clear();
    for (const flow of [...this.#flows]) flow.pump();
  }

  /** True when traffic between the zones is held. */
  isCut(fromZone: string, toZone: string): boolean {
    return this.#cuts.has(`${fromZone}>${toZone}`);
  }

  /** One-way delay between the zones. */
  delayMs(fromZone: string, toZone: string): number {
    const own = this.#delays.get(`${fromZone}>${toZone}`);
    if (own !== undefined) return own;
    return fromZone === toZone ? 0 : this.#zoneLatencyMs;
  }

  /** Stops at once. */
  close(): void {
    for (const server of this.#servers) server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  #accept(incoming: Socket, route: Route): void {
    const fromZone = this.#zones.get(incoming.remoteAddress ?? '') ?? 'client';
    const outgoing = connect({ host: route.targetHost, port: route.targetPort ?? route.port });
    const requests = new Flow(this, fromZone, route.zone, outgoing);
    const replies = new Flow(this, route.zone, fromZone, incoming);
    this.#join(incoming, outgoing, requests);
    this.#join(outgoing, incoming, replies);
  }

  #join(source: Socket, sink: Socket, flow: Flow): void {
    this.#sockets.add(source);
    this.#flows.add(flow);
    source.setNoDelay(true);
    source.on('data', (data: Buffer) => flow.push(data));
    source.on('end', () => flow.end());
    source.on('error', () => source.destroy());
    source.on('close', () => {
      this.#sockets.delete(source);
      flow.end();
      this.#flows.delete(flow);
      if (source.errored !== null) sink.destroy();
    });
  }
}
