/**
 * What a gateway lends from in tests: a pool with one connection to a member, and no knowledge of its own.
 *
 * @packageDocumentation
 */
import type { GatewayResources } from '../../src/gateway/gateway-server.js';
import { LinkPool, type LinkPoolOptions } from '../../src/relay/link-pool.js';
import type { MemberDialer } from '../../src/relay/member-link.js';

/** A pool of at most one connection to the member `m` of the group `g`, unless `options` say otherwise. */
export function createLenderPool(dialer: MemberDialer, options: Partial<LinkPoolOptions> = {}): LinkPool {
  return new LinkPool({
    dialer,
    address: { memberId: 'm', groupName: 'g', host: 'h', port: 1 },
    budget: () => 1,
    dialTimeoutMs: 100,
    limitBackoffMs: 10,
    idleTimeoutMs: 60_000,
    serviceMs: () => 10,
    onFailure: () => undefined,
    now: () => performance.now(),
    random: () => 0.5,
    ...options,
  });
}

/** Resources of a gateway that lends from a pool, has no evidence and grants nothing. */
export function createLenderResources(pool: GatewayResources['pool']): GatewayResources {
  return {
    pool,
    leaderCheck: () => null,
    ownEvidence: () => ({ version: 1, leaders: [], agesMs: [] }),
    changes: () => new Promise<never>(() => undefined),
    configuration: () => ({ version: 0, proof: null, item: null }),
    grant: () => Promise.resolve(null),
  };
}
