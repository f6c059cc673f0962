/**
 * Access to one member, over this daemon's own connections or over connections borrowed from gateways.
 *
 * @packageDocumentation
 */
import type { DaemonRecord } from '../cluster/daemon-record.js';
import { NO_REPORT, type WeightedLoad } from '../placement/member-load.js';
import type { LinkPool } from '../relay/link-pool.js';
import type { LinkDemand } from '../relay/link-queue.js';
import { PoolTimeoutError } from '../relay/link-acquisition.js';
import { PooledLink } from '../relay/pooled-link.js';
import type { SessionLink } from '../relay/session-link.js';
import type { Assignment } from './assign-gateways.js';
import { gatewaysOfTenant } from './tenant-gateways.js';
import type { BorrowedLink } from './borrowed-link.js';
import type { GatewayClient } from './gateway-client.js';
import type { LoanTerms } from './gateway-connection.js';

/** Where the connections to one member come from: the own pool, or other daemons. */
export interface ConnectionSources {
  readonly groupName: string;
  readonly memberId: string;
  /** Start of the member's process, in milliseconds of the Unix epoch; `null` if unknown. */
  bornMs(): number | null;
  /** This daemon's own connections. */
  readonly pool: LinkPool;
  readonly gatewayClient: GatewayClient;
  /** The daemons that currently connect to the member. */
  assignment(): Assignment;
  /** Other daemons to borrow from while the member refuses connections of this one. */
  fallbackLenders(): readonly DaemonRecord[];
  /** A tenant's share of the total load, 0 to 1. */
  tenantShare(tenantName: string): number;
  readonly ownName: string;
}

/** How a connection is acquired. */
export interface AcquireOptions {
  /** Name of a gateway that has refused the request, and is not asked again; `null` for none. */
  readonly refusedBy?: string | null;
  /**
   * Waits until a gateway that lends has a connection, so that a request is sent to it only then; without effect
   * at a gateway that does not announce grants. The request has to be sent at once.
   */
  readonly isGrantWanted?: boolean;
}

/**
 * Time allowed for the gateway's reply that no connection became free, in milliseconds: covers a few
 * cross-zone trips and a scheduling delay.
 */
const REPLY_MARGIN_MS = 50;

/**
 * Maximum wait at a gateway for a request that may wait `waitMs`, in milliseconds. It is shorter, so that the
 * gateway's reply arrives before the borrower ends the loan; after that it would be unknown whether the
 * request was sent.
 */
function gatewayWaitMs(waitMs: number): number {
  return Math.round(Math.max(waitMs - REPLY_MARGIN_MS, waitMs / 2));
}

/** True if a daemon is one of those that connect to the member. */
export function isAssigned({ gateways, standbys }: Assignment, daemonName: string): boolean {
  return gateways === null || [...gateways, ...standbys].some(({ name }) => name === daemonName);
}

/** Provides connections to one member. */
export class MemberConnections {
  readonly #borrowed = new Set<SessionLink>();
  /** The gateways of each tenant among `#rankedLenders`; ranking takes time, and each read needs them. */
  readonly #gatewaysByTenant = new Map<string, readonly DaemonRecord[]>();
  #rankedLenders: readonly DaemonRecord[] | null = null;
  #hasEnded = false;

  constructor(private readonly sources: ConnectionSources) {}

  /** The pool of this daemon's own connections. */
  get ownPool(): LinkPool {
    return this.sources.pool;
  }

  /** Number of connections in use and of requests waiting for one. */
  get load(): number {
    return this.sources.pool.load + this.#borrowed.size;
  }

  /**
   * The load that the gateways report which a tenant's request would use; without weight if this daemon uses its
   * own connections, whose load it knows.
   */
  reportedLoad(tenantName: string, nowMs: number): WeightedLoad {
    const { gateways } = this.sources.assignment();
    if (gateways === null || this.usesOwnPool) return NO_REPORT;
    const lenders = this.#gatewaysFor(tenantName, gateways);
    return this.sources.gatewayClient.loads.average(this.sources.memberId, lenders, nowMs);
  }

  /**
   * True if this daemon uses its own pool and a request would have to wait for a connection to be released.
   */
  get isExhausted(): boolean {
    return this.usesOwnPool && this.sources.pool.isExhausted;
  }

  /** True if this daemon is one of those that connect to the member. */
  get isAssigned(): boolean {
    return isAssigned(this.sources.assignment(), this.sources.ownName);
  }

  /** True if only gateways connect to the member. */
  get hasGateways(): boolean {
    return this.sources.assignment().gateways !== null;
  }

  /**
   * True if this daemon uses its own connections to the member. False while the member refuses them and
   * another daemon can lend: for seconds after a power loss, members still count the connections of processes
   * that no longer exist.
   */
  get usesOwnPool(): boolean {
    return this.isAssigned && !(this.sources.pool.isUnavailable && this.sources.fallbackLenders().length > 0);
  }

  /**
   * Acquires a connection for exclusive use, to be released with {@link MemberConnections.release}.
   *
   * @throws PoolTimeoutError, DialError, AdmissionError: nothing was sent
   */
  async acquire(demand: LinkDemand, waitMs: number, options: AcquireOptions = {}): Promise<SessionLink> {
    if (this.usesOwnPool) return this.sources.pool.acquire(demand, waitMs);
    const link = this.borrow(demand, waitMs, options.refusedBy);
    if (options.isGrantWanted === true) await this.#awaitGrant(link, demand, waitMs);
    return link;
  }

  async #awaitGrant(link: BorrowedLink, { values }: LinkDemand, waitMs: number): Promise<void> {
    const timer = setTimeout(() => link.close(), Math.max(0, waitMs));
    try {
      await link.requestGrant(values);
    } catch (error) {
      this.release(link);
      throw error;
    } finally {
      clearTimeout(timer);
    }
  }

  /**
   * Borrows a connection from a gateway, to be released with {@link MemberConnections.release}.
   *
   * @param refusedBy - name of a gateway that has refused the request, and is not asked again
   * @throws PoolTimeoutError: nothing was sent
   */
  borrow(demand: LinkDemand, waitMs: number, refusedBy: string | null = null): BorrowedLink {
    if (this.#hasEnded) throw new PoolTimeoutError('the member has ended');
    const { tenantName, priority, isWrite, dueAtMs } = demand;
    const { gatewayClient: gateways, groupName, memberId } = this.sources;
    const { gateways: lenders, standbys } = this.sources.assignment();
    const without = (records: readonly DaemonRecord[]): readonly DaemonRecord[] =>
      refusedBy === null ? records : records.filter(({ name }) => name !== refusedBy);
    const gateway = this.isAssigned
      ? gateways.choose(without(this.sources.fallbackLenders()))
      : this.#chooseGatewayFor(tenantName, without(lenders ?? []), without(standbys));
    if (gateway === null) throw new PoolTimeoutError('no gateway in reach');
    const bornMs = this.sources.bornMs();
    const terms: LoanTerms = {
      groupName,
      memberId,
      bornMs,
      tenantName,
      priority,
      waitMs: gatewayWaitMs(waitMs),
      ...(Number.isFinite(dueAtMs) ? { dueInMs: Math.round(dueAtMs - performance.now()) } : {}),
      ...(isWrite ? { isWrite } : {}),
    };
    const link = gateways.borrow(gateway, terms);
    this.#borrowed.add(link);
    return link;
  }

  /** Chooses one of the tenant's gateways, or another gateway if none of these is available. */
  #chooseGatewayFor(
    tenantName: string | null,
    lenders: readonly DaemonRecord[],
    standbys: readonly DaemonRecord[],
  ): DaemonRecord | null {
    const { gatewayClient: gateways, memberId } = this.sources;
    if (tenantName === null) return gateways.choose(lenders, standbys, memberId);
    const tenantGateways = this.#gatewaysFor(tenantName, lenders);
    return (
      gateways.choose(tenantGateways, tenantGateways === lenders ? standbys : lenders, memberId) ??
      gateways.choose(lenders, standbys, memberId)
    );
  }

  /** A tenant's gateways. The list of gateways is replaced when the daemons or the tenants' shares change. */
  #gatewaysFor(tenantName: string, lenders: readonly DaemonRecord[]): readonly DaemonRecord[] {
    if (lenders !== this.#rankedLenders) {
      this.#rankedLenders = lenders;
      this.#gatewaysByTenant.clear();
    }
    let gateways = this.#gatewaysByTenant.get(tenantName);
    if (gateways === undefined) {
      const { memberId, tenantShare } = this.sources;
      gateways = gatewaysOfTenant(tenantName, tenantShare(tenantName), memberId, lenders);
      this.#gatewaysByTenant.set(tenantName, gateways);
    }
    return gateways;
  }

  /** Closes all connections, own and borrowed, even those in use: the member's incarnation has ended. */
  end(): void {
    this.#hasEnded = true;
    this.sources.pool.closePermanently();
    for (const link of [...this.#borrowed]) this.release(link);
  }

  /** Releases an acquired or borrowed connection. */
  release(link: SessionLink): void {
    if (link instanceof PooledLink) {
      this.sources.pool.release(link);
      return;
    }
    this.#borrowed.delete(link);
    link.close();
  }
}
