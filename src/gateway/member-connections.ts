/**
 * All ways to one member: connections of this daemon's own, or loans from gateways.
 *
 * @packageDocumentation
 */
import type { DaemonRecord } from '../cluster/daemon-record.js';
import type { LinkPool } from '../relay/link-pool.js';
import type { LinkDemand } from '../relay/link-queue.js';
import { PoolTimeoutError } from '../relay/link-acquisition.js';
import { PooledLink } from '../relay/pooled-link.js';
import type { SessionLink } from '../relay/session-link.js';
import type { Assignment } from './assign-gateways.js';
import { gatewaysOfTenant } from './tenant-gateways.js';
import type { GatewayClient } from './gateway-client.js';

/** What the connections need. */
export interface MemberConnectionsOptions {
  readonly groupName: string;
  readonly memberId: string;
  /** When the member's process started, in milliseconds of the Unix epoch; `null` where that is not known. */
  bornMs(): number | null;
  /** Connections of this daemon's own. */
  readonly pool: LinkPool;
  readonly gateways: GatewayClient;
  /** Who connects to the member now. */
  assignment(): Assignment;
  /** Other daemons that may have a connection when this one is given none. */
  others(): readonly DaemonRecord[];
  /** Share of a tenant in all work, 0 to 1. */
  tenantShare(tenantName: string): number;
  /** This daemon's name. */
  readonly ownName: string;
}

/**
 * Time for which a gateway's word that no connection came free may be on its way, in milliseconds: a few ways between zones, and a
 * wait for the processor.
 */
const WORD_RESERVE_MS = 50;

/**
 * How long a gateway waits for a connection on behalf of a request that waits so long, in milliseconds. Its word has to come before
 * the loan is given up: after that nobody could tell whether the request was sent.
 */
function gatewayWaitMs(waitMs: number): number {
  return Math.round(Math.max(waitMs - WORD_RESERVE_MS, waitMs / 2));
}

/** True when a daemon connects to the member itself. */
export function connectsItself({ gateways, standbys }: Assignment, daemonName: string): boolean {
  return gateways === null || [...gateways, ...standbys].some(({ name }) => name === daemonName);
}

/** Hands out connections to one member. */
export class MemberConnections {
  readonly #borrowed = new Set<SessionLink>();
  #hasEnded = false;

  constructor(private readonly options: MemberConnectionsOptions) {}

  /** Connections of this daemon's own. */
  get own(): LinkPool {
    return this.options.pool;
  }

  /** Connections in use, and requests that wait for one. */
  get load(): number {
    return this.options.pool.load + this.#borrowed.size;
  }

  /** True when a request would have to wait for another to finish. */
  get isExhausted(): boolean {
    return this.isDirect && this.options.pool.isExhausted;
  }

  /** True when this daemon is one of those that connect to the member. */
  get isAssigned(): boolean {
    return connectsItself(this.options.assignment(), this.options.ownName);
  }

  /** True when some daemons hold the connections to the member for all. */
  get hasGateways(): boolean {
    return this.options.assignment().gateways !== null;
  }

  /**
   * True when this daemon uses connections of its own to the member. Not while the member refuses it one: for seconds after
   * a loss of power, members count the connections of processes that are no more.
   */
  get isDirect(): boolean {
    return this.isAssigned && !(this.options.pool.isUnavailable && this.options.others().length > 0);
  }

  /**
   * A connection for exclusive use; give it back with {@link MemberConnections.release}.
   *
   * @throws PoolTimeoutError, DialError: nothing was sent
   */
  async acquire(demand: LinkDemand, waitMs: number): Promise<SessionLink> {
    if (this.isDirect) return this.options.pool.acquire(demand, waitMs);
    return this.borrow(demand, waitMs);
  }

  /**
   * A connection that a gateway lends; give it back with {@link MemberConnections.release}.
   *
   * @throws PoolTimeoutError: nothing was sent
   */
  borrow({ tenantName, priority }: LinkDemand, waitMs: number): SessionLink {
    if (this.#hasEnded) throw new PoolTimeoutError('the member has ended');
    const { gateways, groupName, memberId } = this.options;
    const { gateways: lenders, standbys } = this.options.assignment();
    const gateway = this.isAssigned
      ? gateways.choose(this.options.others())
      : this.#chooseFor(tenantName, lenders ?? [], standbys);
    if (gateway === null) throw new PoolTimeoutError('no gateway in reach');
    const bornMs = this.options.bornMs();
    const terms = { groupName, memberId, bornMs, tenantName, priority, waitMs: gatewayWaitMs(waitMs) };
    const link = gateways.borrow(gateway, terms);
    this.#borrowed.add(link);
    return link;
  }

  /** Others than the tenant's own gateways are asked when none of these is there. */
  #chooseFor(
    tenantName: string | null,
    lenders: readonly DaemonRecord[],
    standbys: readonly DaemonRecord[],
  ): DaemonRecord | null {
    const { gateways, memberId, tenantShare } = this.options;
    if (tenantName === null) return gateways.choose(lenders, standbys);
    const own = gatewaysOfTenant(tenantName, tenantShare(tenantName), memberId, lenders);
    return gateways.choose(own, own === lenders ? standbys : lenders) ?? gateways.choose(lenders, standbys);
  }

  /** The member's life has ended: all connections end now, own ones and loans, also those in use. */
  end(): void {
    this.#hasEnded = true;
    this.options.pool.closePermanently();
    for (const link of [...this.#borrowed]) this.release(link);
  }

  /** Takes a connection back. */
  release(link: SessionLink): void {
    if (link instanceof PooledLink) {
      this.options.pool.release(link);
      return;
    }
    this.#borrowed.delete(link);
    link.close();
  }
}
