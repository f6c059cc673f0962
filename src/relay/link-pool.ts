/**
 * The connections of one daemon to one member, within a budget.
 *
 * @packageDocumentation
 */
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

/** Opens connections on demand, hands them out by priority, takes them back when they are clean. */
export class LinkPool implements WaitingPlace {
  /** Given back last stands last, and is used first. */
  readonly #idle: { readonly link: PooledLink; readonly sinceMs: number }[] = [];
  readonly #waiters: PoolWaiter[] = [];
  readonly #links = new Set<PooledLink>();
  #dialing = 0;
  /** Connections in a row that the member was too slow to accept. */
  #slowDials = 0;
  /** Until when no connection is opened. */
  #limitedUntilMs = Number.NEGATIVE_INFINITY;
  #warmedAtMs = Number.NEGATIVE_INFINITY;
  #keptIdle = KEPT_IDLE;
  #isClosed = false;

  constructor(private readonly options: LinkPoolOptions) {}

  /** Connections that are open or being opened. */
  get size(): number {
    return this.#links.size + this.#dialing;
  }

  /** Connections handed out, and requests that wait for one. */
  get load(): number {
    return this.#links.size - this.#idle.length + this.#dialing + this.#waiters.length;
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
    const idle = this.#takeIdle(waiter.demand.values);
    if (idle !== null) {
      waiter.grant(idle, this);
      return;
    }
    this.#waiters.push(waiter);
    if (this.#mayDial() && this.#dialing < this.#waiters.length) this.#dial();
  }

  /** A request waits here no more. */
  leave(waiter: PoolWaiter): void {
    const index = this.#waiters.indexOf(waiter);
    if (index >= 0) this.#waiters.splice(index, 1);
  }

  /** An idle connection for a question of the daemon's own, or `null`. */
  takeIdle(): PooledLink | null {
    return this.#takeIdle(new Map());
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
    const waiter = this.#nextWaiter();
    if (waiter === undefined) this.#idle.push({ link, sinceMs: this.options.now() });
    else waiter.grant(link, this);
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

  /** Opens connections in advance, one after the other, for requests of many daemons to come. */
  warm(count: number): void {
    this.#keptIdle = count;
    const now = this.options.now();
    if (this.#isClosed || this.size >= count || now - this.#warmedAtMs < WARMING_MS || !this.#mayDial())
      return;
    this.#warmedAtMs = now;
    this.#dial();
  }

  /** Opens connections for requests that wait since the member had too many. */
  #redial(): void {
    while (this.#dialing < this.#waiters.length && this.#mayDial()) this.#dial();
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
    for (const waiter of concerned) {
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

  #mayDial(): boolean {
    if (this.#dialing >= MAX_DIALING) return false;
    return this.size < this.options.budget() && this.options.now() >= this.#limitedUntilMs;
  }

  #takeIdle(values: SessionValues): PooledLink | null {
    let index = this.#idle.findLastIndex(({ link }) => link.isOpen && link.hasValues(values));
    if (index < 0) index = this.#idle.findLastIndex(({ link }) => link.isOpen);
    return index < 0 ? null : (this.#idle.splice(index, 1)[0]?.link ?? null);
  }

  /** Takes the one out of the queue that is to be served next. */
  #nextWaiter(): PoolWaiter | undefined {
    const { now, serviceMs } = this.options;
    const index = nextToServe(this.#waiters, now(), serviceMs());
    return index < 0 ? undefined : this.#waiters.splice(index, 1)[0];
  }

  #dial(): void {
    this.#dialing += 1;
    const { dialer, address, dialTimeoutMs } = this.options;
    // The member goes on with a connection that is given up: it is waited for, but whoever waits may go elsewhere.
    const timer = setInterval(() => this.#dialIsSlow(), dialTimeoutMs).unref();
    dialer
      .dial(address, dialTimeoutMs, ACCEPT_MS)
      .finally(() => {
        clearInterval(timer);
        this.#dialing -= 1;
      })
      .then(
        (memberLink) => {
          this.#slowDials = 0;
          this.#add(new PooledLink(memberLink));
          this.#redial();
        },
        (error: unknown) =>
          this.#dialFailed(error instanceof DialError ? error : new DialError('lost', String(error))),
      );
  }

  /** A connection has been under way for long: where there is no other, nobody is to wait for it alone. */
  #dialIsSlow(): void {
    const slow = new DialError('slow', 'the member has not accepted the connection yet');
    if (this.#links.size > 0) this.#nextWaiter()?.fail(slow, this);
    else for (const waiter of this.#waiters.splice(0)) waiter.fail(slow, this);
  }

  #add(link: PooledLink): void {
    this.#links.add(link);
    link.onClosed((isByPeer) => this.#lost(link, isByPeer));
    if (link.isOpen) this.release(link);
    else this.#lost(link, true);
  }

  #lost(link: PooledLink, isByPeer: boolean): void {
    if (!this.#links.delete(link)) return;
    if (isByPeer) this.options.onTrouble('lost');
    const index = this.#idle.findIndex((idle) => idle.link === link);
    if (index >= 0) this.#idle.splice(index, 1);
    this.#redial();
  }

  #dialFailed(error: DialError): void {
    const { limitBackoffMs } = this.options;
    switch (error.reason) {
      case 'too_many_connections':
        this.#pauseDials(limitBackoffMs);
        // Others may have one to lend: nobody is to wait here.
        if (this.size === 0) for (const waiter of this.#waiters.splice(0)) waiter.fail(error, this);
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
    this.#nextWaiter()?.fail(error, this);
    this.#redial();
  }

  /** Opens no connection for a while; those who wait may get one that comes free. */
  #pauseDials(pauseMs: number): void {
    this.#limitedUntilMs = this.options.now() + pauseMs;
    setTimeout(() => this.#redial(), pauseMs + 1);
  }

  #slowPauseMs(): number {
    const pauseMs = Math.min(LAST_DIAL_PAUSE_MS, FIRST_DIAL_PAUSE_MS * 2 ** Math.min(this.#slowDials, 8));
    this.#slowDials += 1;
    return pauseMs * (1 - this.options.random() / 2);
  }
}
