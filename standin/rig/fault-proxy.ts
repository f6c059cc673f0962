/**
 * A TCP proxy that stands before every process of a test deployment: cuts and delays traffic between zones.
 *
 * The zone of a connection's origin is read from its source address, since every process connects from its own
 * IP number. Held traffic is delivered when a cut heals, as TCP would retransmit it.
 *
 * @packageDocumentation
 */
import { createServer, Socket, type Server } from 'node:net';

/** One forwarded address. */
export interface Route {
  readonly zone: string;
  readonly listenHost: string;
  readonly port: number;
  readonly targetHost: string;
  /** Where it goes on the target, if that is another port. */
  readonly targetPort?: number;
}

/** Bytes on their way, or the end of the connection. */
type Content = Buffer | 'end' | 'reset';

interface Chunk {
  readonly content: Content;
  readonly dueMs: number;
}

/** One direction of one connection. */
class Flow {
  readonly #queue: Chunk[] = [];
  #timer: NodeJS.Timeout | null = null;
  #hasEnded = false;
  #isDelivered = false;
  #isHeld = true;

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
    this.#take('end');
  }

  /** Bytes that are still on their way are lost. */
  reset(): void {
    this.#hasEnded = true;
    this.#queue.length = 0;
    this.#take('reset');
  }

  /** The connection onwards has been asked for: bytes may go. */
  release(): void {
    this.#isHeld = false;
    this.pump();
  }

  /** True once the end has been delivered. */
  get isDelivered(): boolean {
    return this.#isDelivered;
  }

  /** Delivers what is due, unless the way is cut. */
  pump(): void {
    if (this.#timer !== null) clearTimeout(this.#timer);
    this.#timer = null;
    if (this.#isStopped) return;
    const nowMs = performance.now();
    while (this.#queue[0] !== undefined && this.#queue[0].dueMs <= nowMs) {
      const chunk = this.#queue.shift();
      if (chunk !== undefined) this.#deliver(chunk.content);
    }
    const next = this.#queue[0];
    if (next !== undefined) this.#timer = setTimeout(() => this.pump(), Math.max(1, next.dueMs - nowMs));
  }

  get #isStopped(): boolean {
    return this.#isHeld || this.proxy.isCut(this.fromZone, this.toZone);
  }

  #take(content: Content): void {
    const delayMs = this.proxy.delayMs(this.fromZone, this.toZone);
    if (delayMs === 0 && this.#queue.length === 0 && !this.#isStopped) {
      this.#deliver(content);
      return;
    }
    this.#queue.push({ content, dueMs: performance.now() + delayMs });
    this.pump();
  }

  #deliver(content: Content): void {
    this.#isDelivered = typeof content === 'string';
    if (content === 'end') this.sink.end();
    else if (content === 'reset') this.sink.destroy();
    else this.sink.write(content);
  }
}

/** Proxies for all processes of a deployment, in the process that runs the experiment. */
export class FaultProxy {
  readonly #servers: Server[] = [];
  readonly #sockets = new Set<Socket>();
  /** Those whose end has not been delivered: a cut holds it like all that came before. */
  readonly #flows = new Set<Flow>();
  /** Connections that wait for a way. */
  readonly #unopened = new Set<() => boolean>();
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
    for (const open of [...this.#unopened]) if (open()) this.#unopened.delete(open);
    for (const flow of [...this.#flows]) this.#pump(flow);
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
    const outgoing = new Socket();
    const requests = new Flow(this, fromZone, route.zone, outgoing);
    const replies = new Flow(this, route.zone, fromZone, incoming);
    this.#join(incoming, outgoing, requests);
    this.#join(outgoing, incoming, replies);
    replies.release();
    const open = (): boolean => this.#open(incoming, outgoing, requests, route, fromZone);
    if (!open()) this.#unopened.add(open);
  }

  /** The target takes a connection once both ways are open, and hears of none whose caller has given it up before; false to try again. */
  #open(incoming: Socket, outgoing: Socket, requests: Flow, route: Route, fromZone: string): boolean {
    if (incoming.destroyed) {
      outgoing.destroy();
      this.#flows.delete(requests);
      return true;
    }
    if (this.isCut(fromZone, route.zone) || this.isCut(route.zone, fromZone)) return false;
    outgoing.connect({ host: route.targetHost, port: route.targetPort ?? route.port });
    requests.release();
    return true;
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
      if (source.errored === null) flow.end();
      else flow.reset();
      this.#pump(flow);
    });
    sink.on('close', () => this.#flows.delete(flow));
  }

  #pump(flow: Flow): void {
    flow.pump();
    if (flow.isDelivered) this.#flows.delete(flow);
  }
}
