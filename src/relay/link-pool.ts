/**
 * The connections of one daemon to one member, within a budget.
 *
 * A connection belongs to the tenant for which it was opened, for good: members are told once who calls. Where the budget is
 * used up, the idle connection that was used longest ago is given up for a tenant that has none.
 *
 * @packageDocumentation
 */
import { NO_TENANT } from '../tenancy/tenant-register.js';
import { nextToServe, type LinkDemand } from './link-queue.js';
import { LinkWait, PoolTimeoutError, type PoolWaiter, type WaitingPlace } from './link-wait.js';
import { DialError, type MemberAddress, type MemberDialer } from './member-link.js';
import { PooledLink } from './pooled-link.js';
import type { SessionValues } from './session-link.js';

/** Connections that are kept though they are idle. */
const KEPT_IDLE = 1;
/** Time between two connections that are opened in advance, in milliseconds: each takes a slot of the member. */
const WARMING_MS = 200;
/**
 * Connections that a pool opens at once: each takes a slot of the member while it is opened, and every daemon that connects
 * to the member may be opening some.
 */
const MAX_DIALING = 2;
/**
 * How long somebody waits while connections of other tenants are given back and used again, in milliseconds: twice the time
 * that members take for a new connection (12 to 14 ms). Below it, a switch costs the member more than the wait costs the caller.
 */
const SWITCH_AFTER_MS = 25;
/** For how long a member may keep a new connection waiting before it is given up, in milliseconds. */
const ACCEPT_MS = 2000;
/**
 * Pause after a member was too slow to accept a connection, in milliseconds: doubled from the first to the second with each
 * one in a row, and spread over half of it, so that pools do not come back together.
 */
const FIRST_DIAL_PAUSE_MS = 50;
const LAST_DIAL_PAUSE_MS = 1600;

/** What a pool is told about its surroundings. */
export interface LinkPoolOptions {
  readonly dialer: MemberDialer;
  readonly address: MemberAddress;
  /** Most connections that may be open now. */
  budget(): number;
  /** Longest time to open a connection, in milliseconds. */
  readonly dialTimeoutMs: number;
  /** How long the pool keeps to what it has after the member had too many connections, in milliseconds. */
  readonly limitBackoffMs: number;
  /** How long a connection may be idle while others are, in milliseconds. */
  readonly idleMs: number;
  /** Time that the member takes for an answer, in milliseconds. */
  serviceMs(): number;
  /** Told when a connection could not be opened or ended by itself. */
  onTrouble(reason: string): void;
  /** Monotonic time, in milliseconds. */
  now(): number;
  /** A number from 0 up to 1. */
  random(): number;
}

/** Somebody who waits, and since when, in monotonic milliseconds. */
interface Waiting {
  readonly waiter: PoolWaiter;
  readonly demand: LinkDemand;
  readonly sinceMs: number;
}

/** Opens connections on demand, hands them out by priority, takes them back when they are clean. */
export class LinkPool implements WaitingPlace {
  /** Given back last stands last, and is used first. */
  readonly #idle: { readonly link: PooledLink; readonly sinceMs: number }[] = [];
  readonly #waiters: Waiting[] = [];
  readonly #links = new Set<PooledLink>();
  /** Names of the tenants for which connections are being opened. */
  readonly #dialing: string[] = [];
  /** Connections in a row that the member was too slow to accept. */
  #slowDials = 0;
  /** Until when no connection is opened. */
  #limitedUntilMs = Number.NEGATIVE_INFINITY;
  #warmedAtMs = Number.NEGATIVE_INFINITY;
  #keptIdle = KEPT_IDLE;
  #isClosed = false;
  /** The process behind the connections is no more. */
  #hasEnded = false;

  constructor(private readonly options: LinkPoolOptions) {}

  /** Connections that are open or being opened. */
  get size(): number {
    return this.#links.size + this.#dialing.length;
  }

  /** Connections handed out, and requests that wait for one. */
  get load(): number {
    return this.#links.size - this.#idle.length + this.#dialing.length + this.#waiters.length;
  }

  /** True when a request would have to wait for another to finish. */
  get isExhausted(): boolean {
    return this.#idle.length === 0 && !this.#mayDial();
  }

  /** True while there is no connection, and none is opened since the member has just refused one, or was too slow to accept it. */
  get isShut(): boolean {
    return this.size === 0 && this.options.now() < this.#limitedUntilMs;
  }

  /**
   * A connection for exclusive use; give it back with {@link LinkPool.release}.
   *
   * @throws {@link PoolTimeoutError}, {@link DialError}: nothing was sent
   */
  async acquire(demand: LinkDemand, waitMs: number): Promise<PooledLink> {
    const wait = new LinkWait<this>(demand, waitMs);
    wait.joinAll([{ place: this, member: this }]);
    const { link } = await wait.granted;
    return link as PooledLink;
  }

  /** Grants an idle connection at once, or lets a request wait for one. */
  join(waiter: PoolWaiter): void {
    if (this.#isClosed) {
      waiter.fail(new PoolTimeoutError('the member has left'), this);
      return;
    }
    const { demand } = waiter;
    const idle = this.#takeIdle(demand.tenantName, demand.values);
    if (idle !== null) {
      waiter.grant(idle, this);
      return;
    }
    this.#waiters.push({ waiter, demand, sinceMs: this.options.now() });
    this.#openForWaiters();
  }

  /** A request waits here no more. */
  leave(waiter: PoolWaiter): void {
    const index = this.#waiters.findIndex((waiting) => waiting.waiter === waiter);
    if (index >= 0) this.#waiters.splice(index, 1);
  }

  /** An idle connection for a question of the daemon's own, or `null`. */
  takeIdle(): PooledLink | null {
    return this.#takeIdle(null, new Map());
  }

  /** True when a question of the daemon's own should open the first connection: requests use it next. */
  get isUnopened(): boolean {
    return !this.#isClosed && this.size === 0 && this.#mayDial();
  }

  /** Takes a connection back; one that is not clean is ended. */
  release(link: PooledLink): void {
    if (!link.isClean || this.#isClosed || this.size > this.options.budget()) {
      link.close();
      return;
    }
    if (this.#mustSwitch(link)) {
      link.close();
      return;
    }
    const waiter = this.#nextWaiter(link.tenantName);
    if (waiter !== undefined) {
      waiter.grant(link, this);
      return;
    }
    this.#idle.push({ link, sinceMs: this.options.now() });
    this.#openForWaiters();
  }

  /** True when a connection has to make room for a tenant that has waited for long, and that no other way has one for. */
  #mustSwitch(link: PooledLink): boolean {
    if (this.#idle.length > 0 || this.size < this.options.budget() || this.#isPaused()) return false;
    const first = this.#firstUncovered();
    if (first === undefined || isServedBy(first.demand, link.tenantName)) return false;
    return this.options.now() - first.sinceMs >= SWITCH_AFTER_MS;
  }

  /**
   * Ends connections that were not needed for a while, and idle ones above the budget: what a member keeps open
   * for daemons that lose power counts against its limit until it notices.
   */
  trim(): void {
    const unneededSinceMs = this.options.now() - this.options.idleMs;
    for (;;) {
      const oldest = this.#idle[0];
      if (oldest === undefined) return;
      const isUnneeded = oldest.sinceMs < unneededSinceMs && this.#links.size > this.#keptIdle;
      if (!isUnneeded && this.size <= this.options.budget()) return;
      oldest.link.close();
    }
  }

  /** Sets how many connections are kept though they are idle. */
  keep(count: number): void {
    this.#keptIdle = count;
  }

  /** Opens the connections that are to be kept, one after the other, for requests of many daemons to come. */
  warm(): void {
    const now = this.options.now();
    const isEnough = this.size >= this.#keptIdle;
    if (this.#isClosed || isEnough || now - this.#warmedAtMs < WARMING_MS || !this.#mayDial()) return;
    this.#warmedAtMs = now;
    this.#dial(NO_TENANT);
  }

  /** Opens connections for those who wait, as far as the budget goes; idle ones of other tenants make room. */
  #openForWaiters(): void {
    while (!this.#isClosed) {
      const first = this.#firstUncovered();
      if (first === undefined) return;
      if (this.#mayDial()) this.#dial(first.demand.tenantName ?? NO_TENANT);
      else if (!this.#giveUpIdle()) return;
    }
  }

  /** Of those who wait and for whom no connection is being opened, the one that is to be served next. */
  #firstUncovered(): Waiting | undefined {
    const dialing = [...this.#dialing];
    const uncovered = this.#waiters.filter(({ demand }) => {
      const index = dialing.findIndex((tenantName) => isServedBy(demand, tenantName));
      if (index >= 0) dialing.splice(index, 1);
      return index < 0;
    });
    return uncovered[nextToServe(uncovered, this.options.now(), this.options.serviceMs())];
  }

  /** Ends the idle connection that was used longest ago; false when there is none, or none may be opened in its place. */
  #giveUpIdle(): boolean {
    const oldest = this.#idle[0];
    if (oldest === undefined || this.#isPaused()) return false;
    oldest.link.close();
    return true;
  }

  /** For how long requests have waited with no byte from the member, in milliseconds; 0 when none waits. */
  silenceMs(nowMs: number): number {
    let waitingSince = nowMs;
    let lastReceived = Number.NEGATIVE_INFINITY;
    for (const link of this.#links) {
      if (link.waitingSinceMs !== null) waitingSince = Math.min(waitingSince, link.waitingSinceMs);
      lastReceived = Math.max(lastReceived, link.lastReceivedMs);
    }
    return nowMs - Math.max(waitingSince, lastReceived);
  }

  /** Tells those who wait that none will come soon. Nothing was sent. */
  failWaiters(reason: string, isConcerned: (demand: LinkDemand) => boolean = () => true): void {
    const concerned = this.#waiters.filter(({ demand }) => isConcerned(demand));
    for (const { waiter } of concerned) {
      this.leave(waiter);
      waiter.fail(new PoolTimeoutError(reason), this);
    }
  }

  /** Ends all connections: the member does not answer. */
  dropAll(): void {
    for (const link of [...this.#links]) link.close();
  }

  /** Ends idle connections now, the others as they are given back. */
  close(): void {
    this.#isClosed = true;
    for (const { link } of [...this.#idle]) link.close();
    this.failWaiters('the member has left');
  }

  /** Connections are handed out again after {@link LinkPool.close}. */
  reopen(): void {
    this.#isClosed = this.#hasEnded;
  }

  /** Ends all connections now, also those in use: the process behind them is no more. Tells of no trouble from now on. */
  end(): void {
    this.#hasEnded = true;
    this.close();
    this.dropAll();
  }

  /** True while no connection is opened, whatever the budget says. */
  #isPaused(): boolean {
    return this.#dialing.length >= MAX_DIALING || this.options.now() < this.#limitedUntilMs;
  }

  #mayDial(): boolean {
    return this.size < this.options.budget() && !this.#isPaused();
  }

  #takeIdle(tenantName: string | null, values: SessionValues): PooledLink | null {
    const isFit = (link: PooledLink): boolean =>
      link.isOpen && (tenantName === null || link.tenantName === tenantName);
    let index = this.#idle.findLastIndex(({ link }) => isFit(link) && link.hasValues(values));
    if (index < 0) index = this.#idle.findLastIndex(({ link }) => isFit(link));
    return index < 0 ? null : (this.#idle.splice(index, 1)[0]?.link ?? null);
  }

  /** Takes the one out of the queue that is to be served next by a connection of a tenant. */
  #nextWaiter(tenantName: string): PoolWaiter | undefined {
    const { now, serviceMs } = this.options;
    const served = this.#waiters.filter(({ demand }) => isServedBy(demand, tenantName));
    const next = served[nextToServe(served, now(), serviceMs())];
    if (next !== undefined) this.#waiters.splice(this.#waiters.indexOf(next), 1);
    return next?.waiter;
  }

  #dial(tenantName: string): void {
    this.#dialing.push(tenantName);
    const { dialer, address, dialTimeoutMs } = this.options;
    // The member goes on with a connection that is given up: it is waited for, but whoever waits may go elsewhere.
    const timer = setInterval(() => this.#dialIsSlow(tenantName), dialTimeoutMs).unref();
    dialer
      .dial({ ...address, tenantName }, dialTimeoutMs, ACCEPT_MS)
      .finally(() => {
        clearInterval(timer);
        this.#dialing.splice(this.#dialing.indexOf(tenantName), 1);
      })
      .then(
        (memberLink) => {
          this.#slowDials = 0;
          this.#add(new PooledLink(memberLink, tenantName));
          this.#openForWaiters();
        },
        (error: unknown) =>
          this.#dialFailed(
            tenantName,
            error instanceof DialError ? error : new DialError('lost', String(error)),
          ),
      );
  }

  /** A connection has been under way for long: where there is no other, nobody is to wait for it alone. */
  #dialIsSlow(tenantName: string): void {
    const slow = new DialError('slow', 'the member has not accepted the connection yet');
    if (this.#links.size > 0) this.#nextWaiter(tenantName)?.fail(slow, this);
    else for (const { waiter } of this.#waiters.splice(0)) waiter.fail(slow, this);
  }

  #add(link: PooledLink): void {
    this.#links.add(link);
    link.onClosed((isByPeer) => this.#lost(link, isByPeer));
    if (link.isOpen) this.release(link);
    else this.#lost(link, true);
  }

  #lost(link: PooledLink, isByPeer: boolean): void {
    if (!this.#links.delete(link)) return;
    if (isByPeer && !this.#hasEnded) this.options.onTrouble('lost');
    const index = this.#idle.findIndex((idle) => idle.link === link);
    if (index >= 0) this.#idle.splice(index, 1);
    this.#openForWaiters();
  }

  #dialFailed(tenantName: string, error: DialError): void {
    if (this.#hasEnded) return;
    const { limitBackoffMs } = this.options;
    switch (error.reason) {
      case 'too_many_connections':
        this.#pauseDials(limitBackoffMs);
        // Others may have one to lend: nobody is to wait here.
        if (this.size === 0) for (const { waiter } of this.#waiters.splice(0)) waiter.fail(error, this);
        return;
      case 'slow':
        this.#pauseDials(this.#slowPauseMs());
        return;
      case 'busy':
        this.#pauseDials(this.#slowPauseMs());
        break;
      case 'refused':
      case 'silent':
      case 'lost':
      case 'wrong_member':
        this.options.onTrouble(error.reason);
    }
    this.#nextWaiter(tenantName)?.fail(error, this);
    this.#openForWaiters();
  }

  /** Opens no connection for a while; those who wait may get one that comes free. */
  #pauseDials(pauseMs: number): void {
    this.#limitedUntilMs = this.options.now() + pauseMs;
    setTimeout(() => this.#openForWaiters(), pauseMs + 1);
  }

  #slowPauseMs(): number {
    const pauseMs = Math.min(LAST_DIAL_PAUSE_MS, FIRST_DIAL_PAUSE_MS * 2 ** Math.min(this.#slowDials, 8));
    this.#slowDials += 1;
    return pauseMs * (1 - this.options.random() / 2);
  }
}

/** True when a connection of a tenant will do. */
function isServedBy(demand: LinkDemand, tenantName: string): boolean {
  return demand.tenantName === null || demand.tenantName === tenantName;
}
