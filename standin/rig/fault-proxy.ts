/**
 * TCP proxy in front of every process of a test deployment; cuts and delays traffic between zones.
 *
 * The zone of a connection's origin is derived from its source address, since every process connects from its
 * own IP address. Traffic held during a cut is delivered when the cut heals, as TCP would retransmit it.
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
  /** Port on the target, if it differs from `port`. */
  readonly targetPort?: number;
  /** Connects to the target from the address of the caller. */
  readonly keepsSource?: boolean;
}

/** A listening socket of the proxy. */
interface Listener {
  readonly route: Route;
  readonly server: Server;
}

/** A connection through the proxy. */
interface Link {
  readonly fromZone: string;
  readonly toZone: string;
  readonly incoming: Socket;
  readonly outgoing: Socket;
}

/** Bytes in transit, or the end of the connection. */
type Payload = Buffer | 'end' | 'reset';

interface Chunk {
  readonly payload: Payload;
  readonly dueMs: number;
}

/** One direction of one connection. */
class Flow {
  readonly #queue: Chunk[] = [];
  #timer: NodeJS.Timeout | null = null;
  #hasEnded = false;
  #isEndDelivered = false;
  #awaitsStart = true;

  constructor(
    private readonly proxy: FaultProxy,
    private readonly fromZone: string,
    private readonly toZone: string,
    private readonly sink: Socket,
  ) {}

  push(data: Buffer): void {
    this.#enqueue(data);
  }

  /** Queues the end of the stream behind the bytes in transit, with the same delay. */
  end(): void {
    if (this.#hasEnded) return;
    this.#hasEnded = true;
    this.#enqueue('end');
  }

  /** Queues a reset and drops the bytes in transit. */
  reset(): void {
    this.#hasEnded = true;
    this.#queue.length = 0;
    this.#enqueue('reset');
  }

  /** Starts delivery once the connection to the sink has been initiated. */
  startDelivery(): void {
    this.#awaitsStart = false;
    this.pump();
  }

  /** True once the end of the stream or a reset has been delivered. */
  get isEndDelivered(): boolean {
    return this.#isEndDelivered;
  }

  /** Delivers queued chunks that are due, unless the link is cut. */
  pump(): void {
    if (this.#timer !== null) clearTimeout(this.#timer);
    this.#timer = null;
    if (this.#isBlocked) return;
    const nowMs = performance.now();
    while (this.#queue[0] !== undefined && this.#queue[0].dueMs <= nowMs) {
      const chunk = this.#queue.shift();
      if (chunk !== undefined) this.#deliver(chunk.payload);
    }
    const next = this.#queue[0];
    if (next !== undefined) this.#timer = setTimeout(() => this.pump(), Math.max(1, next.dueMs - nowMs));
  }

  get #isBlocked(): boolean {
    return this.#awaitsStart || this.proxy.isCut(this.fromZone, this.toZone);
  }

  #enqueue(payload: Payload): void {
    const delayMs = this.proxy.delayMs(this.fromZone, this.toZone);
    if (delayMs === 0 && this.#queue.length === 0 && !this.#isBlocked) {
      this.#deliver(payload);
      return;
    }
    this.#queue.push({ payload, dueMs: performance.now() + delayMs });
    this.pump();
  }

  #deliver(payload: Payload): void {
    this.#isEndDelivered = typeof payload === 'string';
    if (payload === 'end') this.sink.end();
    else if (payload === 'reset') resetConnection(this.sink);
    else this.sink.write(payload);
  }
}

/** Resets a connection; one that is not open yet is given up. */
function resetConnection(socket: Socket): void {
  if (socket.connecting || socket.pending) socket.destroy();
  else socket.resetAndDestroy();
}

/** Proxies for all processes of a deployment, run inside the process that drives the test. */
export class FaultProxy {
  readonly #listeners: Listener[] = [];
  readonly #links = new Set<Link>();
  readonly #sockets = new Set<Socket>();
  /** Flows whose end has not been delivered; a cut holds back the end like the bytes before it. */
  readonly #flows = new Set<Flow>();
  /** Connection attempts that wait for a cut to heal; each returns false while it must be retried. */
  readonly #pendingConnects = new Set<() => boolean>();
  readonly #zones = new Map<string, string>();
  readonly #cuts = new Set<string>();
  /** Pairs of zones between which connections are reset. */
  readonly #refusals = new Set<string>();
  readonly #delays = new Map<string, number>();
  #zoneLatencyMs = 0;

  /** Assigns a source address to a zone; unregistered addresses belong to the zone `client`. */
  registerSource(host: string, zone: string): void {
    this.#zones.set(host, zone);
  }

  /** Starts to forward connections to an address. */
  async forward(route: Route): Promise<void> {
    const server = createServer((socket) => this.#accept(socket, route));
    const listener = { route, server };
    this.#listeners.push(listener);
    await listen(listener);
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

  /** Cuts the links between a zone and the other zones, in both directions. */
  isolate(zone: string, otherZones: readonly string[]): void {
    for (const other of otherZones) {
      if (other === zone) continue;
      this.cutOneWay(zone, other);
      this.cutOneWay(other, zone);
    }
  }

  /**
   * Resets the connections between a zone and the other zones. New ones are refused: at the zone's own addresses,
   * which refuse all callers, and by a reset at those of the others.
   */
  refuse(zone: string, otherZones: readonly string[]): void {
    for (const other of otherZones) {
      this.#refusals.add(`${zone}>${other}`);
      this.#refusals.add(`${other}>${zone}`);
    }
    for (const { route, server } of this.#listeners) if (route.zone === zone) server.close();
    for (const link of [...this.#links]) if (this.#isRefused(link)) resetLink(link);
  }

  /** Removes all cuts, refusals and delays set with `setDelay`, and delivers held traffic. */
  heal(): void {
    this.#cuts.clear();
    this.#refusals.clear();
    for (const listener of this.#listeners) if (!listener.server.listening) void listen(listener);
    this.#delays.clear();
    for (const tryConnect of [...this.#pendingConnects])
      if (tryConnect()) this.#pendingConnects.delete(tryConnect);
    for (const flow of [...this.#flows]) this.#pump(flow);
  }

  /** True when traffic between the zones is held. */
  isCut(fromZone: string, toZone: string): boolean {
    return this.#cuts.has(`${fromZone}>${toZone}`);
  }

  /** One-way delay from one zone to another: that of `setDelay`, else the zone latency. */
  delayMs(fromZone: string, toZone: string): number {
    const directionDelayMs = this.#delays.get(`${fromZone}>${toZone}`);
    if (directionDelayMs !== undefined) return directionDelayMs;
    return fromZone === toZone ? 0 : this.#zoneLatencyMs;
  }

  /** Stops immediately and destroys all connections. */
  close(): void {
    for (const { server } of this.#listeners) server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  #accept(incoming: Socket, route: Route): void {
    const fromZone = this.#zones.get(incoming.remoteAddress ?? '') ?? 'client';
    const outgoing = new Socket();
    const link = { fromZone, toZone: route.zone, incoming, outgoing };
    if (this.#isRefused(link)) return void incoming.resetAndDestroy();
    this.#links.add(link);
    incoming.once('close', () => this.#links.delete(link));
    const requests = new Flow(this, fromZone, route.zone, outgoing);
    const responses = new Flow(this, route.zone, fromZone, incoming);
    this.#pipe(incoming, outgoing, requests);
    this.#pipe(outgoing, incoming, responses);
    responses.startDelivery();
    const tryConnect = (): boolean => this.#tryConnect(incoming, outgoing, requests, route, fromZone);
    if (!tryConnect()) this.#pendingConnects.add(tryConnect);
  }

  /**
   * Connects to the target once both directions are open; a connection that its caller has closed before then
   * never reaches the target. Returns false while the attempt must be retried.
   */
  #tryConnect(incoming: Socket, outgoing: Socket, requests: Flow, route: Route, fromZone: string): boolean {
    if (incoming.destroyed) {
      outgoing.destroy();
      this.#flows.delete(requests);
      return true;
    }
    if (this.isCut(fromZone, route.zone) || this.isCut(route.zone, fromZone)) return false;
    const source = route.keepsSource === true ? incoming.remoteAddress : undefined;
    outgoing.connect({
      host: route.targetHost,
      port: route.targetPort ?? route.port,
      ...(source === undefined ? {} : { localAddress: source }),
    });
    requests.startDelivery();
    return true;
  }

  #isRefused({ fromZone, toZone }: Pick<Link, 'fromZone' | 'toZone'>): boolean {
    return this.#refusals.has(`${fromZone}>${toZone}`);
  }

  #pipe(source: Socket, sink: Socket, flow: Flow): void {
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
    if (flow.isEndDelivered) this.#flows.delete(flow);
  }
}

function listen({ route, server }: Listener): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(route.port, route.listenHost, () => resolve());
  });
}

function resetLink({ incoming, outgoing }: Link): void {
  for (const socket of [incoming, outgoing]) socket.resetAndDestroy();
}
