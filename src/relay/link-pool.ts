/**
 * Connection pool of one daemon for one member, limited by a connection budget.
 *
 * A connection belongs to one tenant for its whole lifetime, since the tenant is sent to the member only when
 * the connection is opened. If the budget is used up, the least recently used idle connection is closed in
 * favour of a tenant without one.
 *
 * @packageDocumentation
 */
import { WaitQueue, type ConnectionUse, type WaitingRequest } from '../admission/wait-queue.js';
import type { OutsideTraffic } from '../isolation/outside-traffic.js';
import { NO_TENANT } from '../tenancy/tenant-registry.js';
import { OVERFLOW_REASON, PoolAdmission } from '../admission/pool-admission.js';
import type { AdmissionObserver, AdmissionTime, QueueState } from '../admission/pool-admission.js';
import { acceptsTenant, type LinkDemand } from './link-queue.js';
import { LinkAcquisition, PoolTimeoutError, type PoolWaiter, type LinkSource } from './link-acquisition.js';
import { DialError, type LinkEnd, type MemberAddress, type MemberDialer } from './member-link.js';
import { PooledLink } from './pooled-link.js';
import type { SessionValues } from './session-link.js';

/** Idle connections that a pool keeps open by default. */
const DEFAULT_MIN_IDLE = 1;
/**
 * Interval between connections opened in advance, in milliseconds: opening one occupies a slot of the member.
 */
const WARM_INTERVAL_MS = 200;
/**
 * Connections that a pool opens at the same time. Each occupies a slot of the member while it is being
 * opened, and every daemon that connects to the member may be opening some.
 */
const MAX_CONCURRENT_DIALS = 2;
/**
 * How long a request waits while connections of other tenants are released and reused, before one of them is
 * closed in its favour, in milliseconds: twice the time that a member takes to open a connection (12 to 14
 * ms). With a shorter wait, the new connection costs the member more than the wait costs the caller.
 */
const TENANT_SWITCH_WAIT_MS = 25;
/** Timeout for a member to accept a new connection, in milliseconds. */
const ACCEPT_TIMEOUT_MS = 2000;
/**
 * Backoff after a member was too slow to accept a connection, in milliseconds. It doubles from the minimum to
 * the maximum with each consecutive slow attempt. Up to half of it is taken off at random so that pools do
 * not retry simultaneously.
 */
const MIN_DIAL_BACKOFF_MS = 50;
const MAX_DIAL_BACKOFF_MS = 1600;

/** A connection in use, and what it was granted for. */
interface GrantedUse {
  readonly demand: LinkDemand;
  readonly use: ConnectionUse;
}

/** Dependencies and settings of a pool. */
export interface LinkPoolOptions {
  readonly dialer: MemberDialer;
  readonly address: MemberAddress;
  /** Current limit on open connections. */
  budget(): number;
  /**
   * Timeout for the host to accept a connection, in milliseconds. Requests that wait for the connection are
   * rejected after the same time, also if the host has accepted it but the member has not.
   */
  readonly dialTimeoutMs: number;
  /**
   * How long the pool opens no connection after the member reported too many connections, in milliseconds.
   */
  readonly limitBackoffMs: number;
  /** Idle time after which a connection above the minimum is closed, in milliseconds. */
  readonly idleTimeoutMs: number;
  /** Expected latency of the member's replies, in milliseconds. */
  serviceMs(): number;
  /** Size of a tenant's share of the connections relative to others. Without it all shares are equal. */
  tenantWeight?(tenantName: string): number;
  /** Called when a connection could not be opened or was closed by the peer. */
  onFailure(reason: string): void;
  /** Called when a connection has shown that the member's process has ended, before `onFailure`. */
  onExit?(): void;
  /** Monotonic time, in milliseconds. */
  now(): number;
  /** A number from 0 up to 1. */
  random(): number;
  /** Records decisions about requests that find no idle connection, and their waits. */
  readonly admissionObserver?: AdmissionObserver;
}

/**
 * Opens connections on demand, grants them in the order of a {@link WaitQueue} and reuses those that are
 * released without open work.
 */
export class LinkPool implements LinkSource {
  /** In order of release; the most recently released connection is last and is reused first. */
  readonly #idle: { readonly link: PooledLink; readonly sinceMs: number }[] = [];
  readonly #waiters: WaitQueue<PoolWaiter>;
  readonly #links = new Set<PooledLink>();
  /** The connections that are granted to requests, charged to their tenants. */
  readonly #uses = new Map<PooledLink, GrantedUse>();
  /** Tenant names of the connections that are being opened. */
  readonly #dialing: string[] = [];
  /** Consecutive connection attempts that the member was too slow to accept. */
  #consecutiveSlowDials = 0;
  /** Until when no connection is opened, in monotonic milliseconds. */
  #dialBackoffUntilMs = Number.NEGATIVE_INFINITY;
  #warmedAtMs = Number.NEGATIVE_INFINITY;
  #minIdle = DEFAULT_MIN_IDLE;
  #isClosed = false;
  /** True once the member's process has ended; unlike `#isClosed`, this is permanent. */
  #hasEnded = false;
  readonly #admission: PoolAdmission;

  constructor(private readonly options: LinkPoolOptions) {
    this.#waiters = new WaitQueue({
      weightOf: (tenantName) => options.tenantWeight?.(tenantName) ?? 1,
    });
    this.#admission = new PoolAdmission({
      observer: options.admissionObserver,
      random: () => options.random(),
    });
  }

  /** Number of connections that are open or being opened. */
  get size(): number {
    return this.#links.size + this.#dialing.length;
  }

  /** Number of connections in use or being opened, plus the number of waiting requests. */
  get load(): number {
    return this.#links.size - this.#idle.length + this.#dialing.length + this.#waiters.size;
  }

  /** Number of requests that wait for a connection. */
  get waiting(): number {
    return this.#waiters.size;
  }

  /** True if a request would have to wait until another one releases its connection. */
  get isExhausted(): boolean {
    return this.#idle.length === 0 && !this.#canDial();
  }

  /**
   * True if the pool has no connection and currently opens none, because the member has refused one or was too
   * slow to accept it.
   */
  get isUnavailable(): boolean {
    return this.size === 0 && this.options.now() < this.#dialBackoffUntilMs;
  }

  /**
   * Acquires a connection for exclusive use; return it with {@link LinkPool.release}.
   *
   * @throws {@link PoolTimeoutError}, {@link DialError}, `AdmissionError`: nothing was sent to the member
   */
  async acquire(demand: LinkDemand, waitMs: number): Promise<PooledLink> {
    const wait = new LinkAcquisition<this>(demand, waitMs);
    wait.enqueueAll([{ source: this, member: this }]);
    const { link } = await wait.granted;
    return link as PooledLink;
  }

  /**
   * Grants an idle connection immediately, enqueues the request, or fails it if it can't be served before its
   * deadline. If too many requests wait, fails the one that would be served last.
   */
  enqueue(waiter: PoolWaiter): void {
    if (this.#isClosed) {
      waiter.fail(new PoolTimeoutError('the member has left'), this);
      return;
    }
    const { demand } = waiter;
    const nowMs = this.options.now();
    const idle = this.#takeIdle(demand.tenantName, demand.values);
    if (idle !== null) {
      this.#admission.grantedIdle(demand, nowMs);
      this.#grant(idle, waiter, nowMs);
      return;
    }
    const time = { nowMs, serviceMs: this.options.serviceMs() };
    const { refusal, expectedWaitMs } = this.#admission.decideOnArrival(demand, this.#queueState(), time);
    if (refusal !== null) {
      waiter.fail(refusal, this);
      return;
    }
    const overflow = this.#waiters.add(waiter, demand, nowMs, time.serviceMs);
    if (overflow !== waiter) this.#admission.beganToWait(demand, expectedWaitMs);
    if (overflow !== null) this.#failOverflow(overflow, time);
    this.#openForWaiters();
  }

  /** Fails a request that the full queue does not hold any more. */
  #failOverflow(waiter: PoolWaiter, time: AdmissionTime): void {
    // Requests of the daemon itself are not counted by admission, and have no use for a retry time.
    const isOwn = waiter.demand.tenantName === null;
    const error = isOwn
      ? new PoolTimeoutError(OVERFLOW_REASON)
      : this.#admission.refuseOverflow(this.#queueState(), time);
    waiter.fail(error, this);
  }

  /** Removes a request from the queue. */
  dequeue(waiter: PoolWaiter, isServedElsewhere = false): void {
    if (this.#waiters.remove(waiter) && isServedElsewhere) this.#admission.servedElsewhere(waiter.demand);
  }

  /**
   * Fails waiting requests that have missed their latency objective and can't be served before their deadline
   * any more, and all of them if the pool may have no connections; to be called every few tens of milliseconds.
   */
  refuseUnservable(): void {
    if (this.#waiters.size === 0) return;
    if (this.options.budget() <= 0) {
      // Each connection is closed when it is released. The requests may go to the member through a gateway.
      this.rejectWaiters('the daemon no longer connects to the member');
      return;
    }
    const time = { nowMs: this.options.now(), serviceMs: this.options.serviceMs() };
    const late = this.#waiters.late(time.nowMs, time.serviceMs);
    for (const { request, refusal } of this.#admission.refusalsOfLate(late, this.#queueState(), time)) {
      this.dequeue(request.item);
      request.item.fail(refusal, this);
    }
  }

  /** Connections that are open, being opened, or can be opened at once. */
  get #usableConnections(): number {
    return this.size + (this.#canDial() ? 1 : 0);
  }

  #queueState(): QueueState {
    return {
      waiting: this.#waiters.size,
      connections: this.#usableConnections,
      hasConnection: this.#links.size > 0,
      countAhead: (demand, nowMs, serviceMs) => this.#waiters.countAhead(demand, nowMs, serviceMs),
    };
  }

  /** Takes an idle connection of any tenant for a request of the daemon itself, or returns `null`. */
  takeIdle(): PooledLink | null {
    return this.#takeIdle(null, new Map());
  }

  /** True if an idle connection has been open since `sinceMs`, in monotonic milliseconds, or longer. */
  hasIdleOpenSince(sinceMs: number): boolean {
    return this.#idle.some(({ link }) => link.isOpen && link.openedAtMs <= sinceMs);
  }

  /**
   * True if a request of the daemon itself should open the first connection; client requests reuse it
   * afterwards.
   */
  get canOpenFirst(): boolean {
    return !this.#isClosed && this.size === 0 && this.#canDial();
  }

  /** Returns a connection to the pool; closes it if a request is in flight or a transaction is open on it. */
  release(link: PooledLink): void {
    const nowMs = this.options.now();
    this.#endUse(link, nowMs, true);
    if (this.#waiters.size > 0 && this.#mustYieldToOtherTenant(link)) link.close();
    else this.#offer(link, nowMs);
  }

  /** Grants a connection to the next request that it can serve, or keeps it idle; closes it if it can't be kept. */
  #offer(link: PooledLink, nowMs: number): void {
    if (!link.isClean || this.#isClosed || this.size > this.options.budget()) {
      link.close();
      return;
    }
    if (this.#waiters.size > 0) {
      const serviceMs = this.options.serviceMs();
      const next = this.#waiters.peekFor(link.tenantName, nowMs, serviceMs);
      if (next !== undefined) {
        this.#waiters.takeFor(link.tenantName, nowMs, serviceMs);
        this.#admission.grantedAfterWait(next.demand, next.sinceMs, nowMs);
        this.#grant(link, next.item, nowMs);
        return;
      }
    }
    this.#idle.push({ link, sinceMs: nowMs });
    this.#openForWaiters();
  }

  /**
   * True if a released connection has to be closed for a tenant that has waited too long and cannot be served
   * otherwise.
   */
  #mustYieldToOtherTenant(link: PooledLink): boolean {
    if (this.#idle.length > 0 || this.size < this.options.budget() || this.#mustNotDial()) return false;
    const first = this.#nextWaiterWithoutDial();
    if (first === undefined || acceptsTenant(first.demand, link.tenantName)) return false;
    return this.options.now() - first.sinceMs >= TENANT_SWITCH_WAIT_MS;
  }

  /**
   * Closes connections that have been idle for too long, and idle ones above the budget. Connections of a
   * daemon that loses power count against the member's limit until the member notices, so a pool keeps few
   * that it doesn't need.
   */
  trim(): void {
    const idleCutoffMs = this.options.now() - this.options.idleTimeoutMs;
    for (;;) {
      const oldest = this.#idle[0];
      if (oldest === undefined) return;
      const isExpired = oldest.sinceMs < idleCutoffMs && this.#links.size > this.#minIdle;
      if (!isExpired && this.size <= this.options.budget()) return;
      oldest.link.close();
    }
  }

  /** Sets how many connections are kept open while idle. */
  setMinIdle(count: number): void {
    this.#minIdle = count;
  }

  /** Opens connections up to the idle minimum, one at a time, in advance of requests from many daemons. */
  warm(): void {
    const now = this.options.now();
    const isEnough = this.size >= this.#minIdle;
    if (this.#isClosed || isEnough || now - this.#warmedAtMs < WARM_INTERVAL_MS || !this.#canDial()) return;
    this.#warmedAtMs = now;
    this.#dial(NO_TENANT);
  }

  /**
   * Opens connections for waiting requests within the budget; closes idle ones of other tenants to make room.
   */
  #openForWaiters(): void {
    while (!this.#isClosed && this.#waiters.size > 0) {
      const first = this.#nextWaiterWithoutDial();
      if (first === undefined) return;
      if (this.#canDial()) this.#dial(first.demand.tenantName ?? NO_TENANT);
      else if (!this.#closeOldestIdle()) return;
    }
  }

  /** Selects the next request to serve among those for which no connection is being opened. */
  #nextWaiterWithoutDial(): WaitingRequest<PoolWaiter> | undefined {
    const { now, serviceMs } = this.options;
    return this.#waiters.peekWithoutDial(this.#dialing, now(), serviceMs());
  }

  /**
   * Closes the least recently used idle connection; returns false if there is none, or no other may be opened
   * now.
   */
  #closeOldestIdle(): boolean {
    const oldest = this.#idle[0];
    if (oldest === undefined || this.#mustNotDial()) return false;
    oldest.link.close();
    return true;
  }

  /**
   * For how long requests in flight have received no byte from the member, in milliseconds; 0 without such
   * requests.
   */
  unansweredMs(nowMs: number): number {
    let awaitingReplySince = nowMs;
    let lastReceived = Number.NEGATIVE_INFINITY;
    for (const link of this.#links) {
      if (link.awaitingReplySinceMs !== null)
        awaitingReplySince = Math.min(awaitingReplySince, link.awaitingReplySinceMs);
      lastReceived = Math.max(lastReceived, link.lastReceivedMs);
    }
    return nowMs - Math.max(awaitingReplySince, lastReceived);
  }

  /** Records when bytes were last received, and since when replies have been awaited. */
  recordTraffic(traffic: OutsideTraffic): void {
    for (const link of this.#links) {
      traffic.recordReceived(link.lastReceivedMs);
      if (link.awaitingReplySinceMs !== null) traffic.recordWaiting(link.awaitingReplySinceMs);
    }
  }

  /** Rejects waiting requests, since no connection will be available soon. Nothing was sent for them. */
  rejectWaiters(reason: string, isAffected: (demand: LinkDemand) => boolean = () => true): void {
    this.#failWaiters(new PoolTimeoutError(reason), isAffected);
  }

  #failWaiters(error: Error, isAffected: (demand: LinkDemand) => boolean = () => true): void {
    for (const waiter of this.#waiters.removeWhere(isAffected)) waiter.fail(error, this);
  }

  /** Closes all connections immediately, because the member does not answer. */
  closeAll(): void {
    for (const link of [...this.#links]) link.close();
  }

  /** Closes idle connections immediately and the others when they are released. */
  close(): void {
    this.#isClosed = true;
    for (const { link } of [...this.#idle]) link.close();
    this.rejectWaiters('the member has left');
  }

  /** Grants connections again after {@link LinkPool.close}, but not after {@link LinkPool.closePermanently}. */
  reopen(): void {
    this.#isClosed = this.#hasEnded;
  }

  /**
   * Closes all connections immediately and permanently, including those in use, because the member's process
   * has ended. Failures are no longer reported after this.
   */
  closePermanently(): void {
    this.#hasEnded = true;
    this.close();
    this.closeAll();
  }

  /** True while no connection may be opened, regardless of the budget. */
  #mustNotDial(): boolean {
    return this.#dialing.length >= MAX_CONCURRENT_DIALS || this.options.now() < this.#dialBackoffUntilMs;
  }

  #canDial(): boolean {
    return this.size < this.options.budget() && !this.#mustNotDial();
  }

  #takeIdle(tenantName: string | null, values: SessionValues): PooledLink | null {
    const isUsable = (link: PooledLink): boolean =>
      link.isOpen && (tenantName === null || link.tenantName === tenantName);
    let index = this.#idle.findLastIndex(({ link }) => isUsable(link) && link.hasValues(values));
    if (index < 0) index = this.#idle.findLastIndex(({ link }) => isUsable(link));
    return index < 0 ? null : (this.#idle.splice(index, 1)[0]?.link ?? null);
  }

  #grant(link: PooledLink, waiter: PoolWaiter, nowMs: number): void {
    const { demand } = waiter;
    const use = this.#waiters.beginUse(demand, nowMs, this.options.serviceMs());
    this.#uses.set(link, { demand, use });
    waiter.grant(link, this);
  }

  /** @param isMeasured - false for a connection that was lost: its use says nothing about the member's speed */
  #endUse(link: PooledLink, nowMs: number, isMeasured: boolean): void {
    const granted = this.#uses.get(link);
    if (granted === undefined) return;
    this.#uses.delete(link);
    const { demand, use } = granted;
    this.#waiters.endUse(use, nowMs);
    if (isMeasured) this.#admission.used(demand, nowMs - use.startedAtMs, nowMs);
  }

  /** Rejects the next request that a connection of the tenant would serve. */
  #failNextWaiter(tenantName: string, error: Error): void {
    const { now, serviceMs } = this.options;
    const next = this.#waiters.peekFor(tenantName, now(), serviceMs());
    if (next === undefined) return;
    this.dequeue(next.item);
    next.item.fail(error, this);
  }

  #dial(tenantName: string): void {
    this.#dialing.push(tenantName);
    const isReplacement = tenantName !== NO_TENANT && this.size >= this.options.budget();
    const startedAtMs = this.options.now();
    const { dialer, address, dialTimeoutMs } = this.options;
    // The member continues to set up a connection that the daemon has abandoned. So a slow attempt is not
    // aborted; instead, waiting requests are rejected so that they can use another member.
    const timer = setInterval(() => this.#onSlowDial(tenantName), dialTimeoutMs).unref();
    // Not in a `finally` before: until the connection is added, another request could open one beyond the budget.
    const endDial = (): void => {
      clearInterval(timer);
      this.#dialing.splice(this.#dialing.indexOf(tenantName), 1);
    };
    dialer.dial({ ...address, tenantName }, dialTimeoutMs, ACCEPT_TIMEOUT_MS).then(
      (memberLink) => {
        endDial();
        this.#consecutiveSlowDials = 0;
        const nowMs = this.options.now();
        if (isReplacement) this.#admission.replaced(nowMs - startedAtMs, nowMs);
        this.#add(new PooledLink(memberLink, tenantName));
        this.#openForWaiters();
      },
      (error: unknown) => {
        endDial();
        this.#onDialFailed(
          tenantName,
          error instanceof DialError ? error : new DialError('lost', String(error)),
        );
      },
    );
  }

  /**
   * Rejects a waiting request, or all of them if the pool has no open connection that could serve them
   * instead.
   */
  #onSlowDial(tenantName: string): void {
    const slow = new DialError('slow', 'the member has not accepted the connection yet');
    if (this.#links.size > 0) this.#failNextWaiter(tenantName, slow);
    else this.#failWaiters(slow);
  }

  #add(link: PooledLink): void {
    this.#links.add(link);
    link.onClosed((end) => this.#onLinkClosed(link, end));
    // A new connection need not yield to another tenant before it has served the request that it was opened for.
    if (link.isOpen) this.#offer(link, this.options.now());
    else this.#onLinkClosed(link, 'lost');
  }

  #onLinkClosed(link: PooledLink, end: LinkEnd): void {
    if (!this.#links.delete(link)) return;
    const isByPeer = end !== 'closed';
    this.#endUse(link, this.options.now(), !isByPeer);
    if (end === 'exited') this.options.onExit?.();
    if (isByPeer && !this.#hasEnded) this.options.onFailure('lost');
    const index = this.#idle.findIndex((idle) => idle.link === link);
    if (index >= 0) this.#idle.splice(index, 1);
    this.#openForWaiters();
  }

  #onDialFailed(tenantName: string, error: DialError): void {
    if (this.#hasEnded) return;
    const { limitBackoffMs } = this.options;
    switch (error.reason) {
      case 'too_many_connections':
        this.#backOffDials(limitBackoffMs);
        // Other daemons may have a connection to lend, so no request should wait for this pool.
        if (this.size === 0) this.#failWaiters(error);
        return;
      case 'slow':
        this.#backOffDials(this.#nextSlowDialBackoffMs());
        return;
      case 'busy':
        this.#backOffDials(this.#nextSlowDialBackoffMs());
        break;
      case 'refused':
      case 'silent':
      case 'lost':
      case 'wrong_member':
        this.options.onFailure(error.reason);
    }
    this.#failNextWaiter(tenantName, error);
    this.#openForWaiters();
  }

  /** Opens no connection for the given time; waiting requests may still be granted released ones. */
  #backOffDials(pauseMs: number): void {
    this.#dialBackoffUntilMs = this.options.now() + pauseMs;
    setTimeout(() => this.#openForWaiters(), pauseMs + 1);
  }

  #nextSlowDialBackoffMs(): number {
    const pauseMs = Math.min(
      MAX_DIAL_BACKOFF_MS,
      MIN_DIAL_BACKOFF_MS * 2 ** Math.min(this.#consecutiveSlowDials, 8),
    );
    this.#consecutiveSlowDials += 1;
    return pauseMs * (1 - this.options.random() / 2);
  }
}
