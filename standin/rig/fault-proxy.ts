/**
 * TCP proxy in front of every process of a test deployment; cuts and delays traffic between zones.
 *
 * The zone of a connection's origin is derived from its source address, since every process connects from its
 * own IP address. Traffic held during a cut is delivered when the cut heals, as TCP would retransmit it. The end
 * of a stream is passed on as an end, and a reset as a reset.
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
  /** The only zone whose processes call this address: its calls can be refused while those of others are not. */
  readonly fromZone?: string;
  /** Whether a process listens on the target; calls on a route with `fromZone` are refused while none does. */
  readonly isTargetListening?: () => boolean;
}

/**
 * What a cut does to connections. `silent`: their traffic is held, and new ones are not answered; `reset`: open ones
 * are reset and new ones refused; `refuse`: the traffic of open ones is held, and new ones are refused.
 */
export type CutKind = 'silent' | 'reset' | 'refuse';

/** Cut links that are restored together. */
export interface Cut {
  readonly kind: CutKind;
  /** Directions, as `FROM>TO`. */
  readonly links: ReadonlySet<string>;
}

/** An address of a route: listens, or refuses connections. */
class Listener {
  #server: Server | null = null;
  #change = Promise.resolve();
  #isClosed = false;

  constructor(
    readonly route: Route,
    private readonly accept: (socket: Socket) => void,
  ) {}

  /** Starts or stops to listen; open connections stay. Calls take effect in their order. */
  setListening(isListening: boolean): Promise<void> {
    this.#change = this.#change.then(() => (isListening ? this.#listen() : this.#stop()));
    return this.#change;
  }

  /** Stops for good. */
  close(): void {
    this.#isClosed = true;
    this.#stop();
  }

  #stop(): void {
    this.#server?.close();
    this.#server = null;
  }

  #listen(): Promise<void> {
    if (this.#server !== null || this.#isClosed) return Promise.resolve();
    const server = createServer(this.accept);
    this.#server = server;
    return new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(this.route.port, this.route.listenHost, () => resolve());
    });
  }
}

/** A connection through the proxy. */
interface Connection {
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

/** Proxies for all processes of a deployment, run inside the process that drives the test. */
export class FaultProxy {
  readonly #listeners: Listener[] = [];
  readonly #sockets = new Set<Socket>();
  readonly #connections = new Set<Connection>();
  /** Flows whose end has not been delivered; a cut holds back the end like the bytes before it. */
  readonly #flows = new Set<Flow>();
  /** Connection attempts that wait for a cut to heal; each returns false while it must be retried. */
  readonly #pendingConnects = new Set<() => boolean>();
  readonly #zones = new Map<string, string>();
  readonly #cuts = new Set<Cut>();
  /** Zones that refuse connections at their own addresses, and links on which connections are reset. */
  readonly #refusingZones = new Set<string>();
  readonly #refusedLinks = new Set<string>();
  readonly #delays = new Map<string, number>();
  #zoneLatencyMs = 0;

  /** Assigns a source address to a zone; unregistered addresses belong to the zone `client`. */
  registerSource(host: string, zone: string): void {
    this.#zones.set(host, zone);
  }

  /** Starts to forward connections to an address. */
  async forward(route: Route): Promise<void> {
    const listener = new Listener(route, (socket) => this.#accept(socket, route));
    this.#listeners.push(listener);
    await listener.setListening(!this.#isRefused(route));
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
    this.#cuts.add({ kind: 'silent', links: new Set([linkOf(fromZone, toZone)]) });
  }

  /** Cuts the links between a zone and the other zones, in both directions; silently by default. */
  isolate(zone: string, otherZones: readonly string[], kind: CutKind = 'silent'): Cut {
    const others = otherZones.filter((other) => other !== zone);
    const links = others.flatMap((other) => [linkOf(zone, other), linkOf(other, zone)]);
    const cut: Cut = { kind, links: new Set(links) };
    this.#cuts.add(cut);
    if (kind === 'reset') this.#resetConnections(cut);
    void this.updateListeners();
    return cut;
  }

  /**
   * Resets the connections between a zone and the other zones. New ones are refused: at the zone's own addresses,
   * which refuse all callers, and by a reset at those of the others. Ends with {@link FaultProxy.heal}.
   */
  refuse(zone: string, otherZones: readonly string[]): void {
    this.#refusingZones.add(zone);
    const links = otherZones.flatMap((other) => [linkOf(zone, other), linkOf(other, zone)]);
    for (const link of links) this.#refusedLinks.add(link);
    this.#resetConnections({ kind: 'reset', links: new Set(links) });
    void this.updateListeners();
  }

  /** Removes one cut, and delivers the traffic that no other cut holds; resolves once connections are accepted. */
  async restore(cut: Cut): Promise<void> {
    this.#cuts.delete(cut);
    await this.#resume();
  }

  /** Removes all cuts and all delays set with `setDelay`, and delivers held traffic. */
  heal(): void {
    this.#cuts.clear();
    this.#refusingZones.clear();
    this.#refusedLinks.clear();
    this.#delays.clear();
    void this.#resume();
  }

  /** Listens on, or closes, the addresses that refuse or do not any more; called when a target starts or stops to listen. */
  async updateListeners(): Promise<void> {
    const changes = this.#listeners.map((listener) =>
      listener.setListening(!this.#isRefused(listener.route)),
    );
    await Promise.all(changes);
  }

  async #resume(): Promise<void> {
    const listening = this.updateListeners();
    for (const tryConnect of [...this.#pendingConnects])
      if (tryConnect()) this.#pendingConnects.delete(tryConnect);
    for (const flow of [...this.#flows]) this.#pump(flow);
    await listening;
  }

  /** True when traffic between the zones is held. */
  isCut(fromZone: string, toZone: string): boolean {
    const link = linkOf(fromZone, toZone);
    return [...this.#cuts].some(({ links }) => links.has(link));
  }

  /** One-way delay from one zone to another: that of `setDelay`, else the zone latency. */
  delayMs(fromZone: string, toZone: string): number {
    const directionDelayMs = this.#delays.get(`${fromZone}>${toZone}`);
    if (directionDelayMs !== undefined) return directionDelayMs;
    return fromZone === toZone ? 0 : this.#zoneLatencyMs;
  }

  /** Stops immediately and destroys all connections. */
  close(): void {
    for (const listener of this.#listeners) listener.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  #isRefused({ fromZone, zone, isTargetListening }: Route): boolean {
    if (this.#refusingZones.has(zone)) return true;
    if (fromZone === undefined) return false;
    if (isTargetListening?.() === false) return true;
    return [...this.#cuts].some((cut) => cut.kind !== 'silent' && isBetween(cut, fromZone, zone));
  }

  #resetConnections(cut: Cut): void {
    for (const { fromZone, toZone, incoming, outgoing } of this.#connections) {
      if (!isBetween(cut, fromZone, toZone)) continue;
      incoming.resetAndDestroy();
      outgoing.resetAndDestroy();
    }
  }

  #accept(incoming: Socket, route: Route): void {
    const fromZone = route.fromZone ?? this.#zones.get(incoming.remoteAddress ?? '') ?? 'client';
    if (this.#refusedLinks.has(linkOf(fromZone, route.zone))) return void incoming.resetAndDestroy();
    const outgoing = new Socket();
    const requests = new Flow(this, fromZone, route.zone, outgoing);
    const responses = new Flow(this, route.zone, fromZone, incoming);
    this.#pipe(incoming, outgoing, requests);
    this.#pipe(outgoing, incoming, responses);
    responses.startDelivery();
    const connection = { fromZone, toZone: route.zone, incoming, outgoing };
    this.#connections.add(connection);
    incoming.on('close', () => this.#connections.delete(connection));
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

/** Resets a connection; one that is not open yet is given up. */
function resetConnection(socket: Socket): void {
  if (socket.connecting || socket.pending) socket.destroy();
  else socket.resetAndDestroy();
}

function linkOf(fromZone: string, toZone: string): string {
  return `${fromZone}>${toZone}`;
}

/** True when the cut holds between the zones in either direction. */
function isBetween({ links }: Cut, fromZone: string, toZone: string): boolean {
  return links.has(linkOf(fromZone, toZone)) || links.has(linkOf(toZone, fromZone));
}
