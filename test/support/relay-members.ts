/**
 * Members of a group with one connection each, for tests of the relay.
 *
 * @packageDocumentation
 */
import type { DaemonRecord } from '../../src/cluster/daemon-record.js';
import { GatewayClient } from '../../src/gateway/gateway-client.js';
import { MemberConnections } from '../../src/gateway/member-connections.js';
import { LinkPool } from '../../src/relay/link-pool.js';
import type { MemberDialer } from '../../src/relay/member-link.js';
import { Member, MemberGroup } from '../../src/topology/member-group.js';

const GROUP = 'g';

/** A gateway from which connections are borrowed. */
export interface TestGateway {
  readonly client: GatewayClient;
  readonly record: DaemonRecord;
  /** Further gateways of the same members. */
  readonly others?: readonly DaemonRecord[];
}

/** Creates a member with a pool of at most one connection, or with connections borrowed from a gateway. */
function createMember(
  memberId: string,
  dialer: MemberDialer,
  now: () => number,
  gateway: TestGateway | null,
  zone: string,
): Member {
  const entry = {
    memberId,
    groupName: GROUP,
    host: 'h',
    port: 1,
    zone,
    slots: 1,
    isDraining: false,
    saysPrimary: memberId === 'leader',
    bornMs: null,
  };
  const pool = new LinkPool({
    dialer,
    address: entry,
    budget: () => 1,
    dialTimeoutMs: 50,
    limitBackoffMs: 5,
    idleTimeoutMs: 1000,
    serviceMs: () => 5,
    onFailure: () => undefined,
    random: () => 0.5,
    now,
  });
  const connections = new MemberConnections({
    groupName: GROUP,
    memberId,
    bornMs: () => null,
    pool,
    gatewayClient: gateway?.client ?? new GatewayClient('h', now, Math.random),
    assignment: () => ({
      gateways: gateway === null ? null : [gateway.record, ...(gateway.others ?? [])],
      standbys: [],
      budget: 1,
    }),
    tenantShare: () => 1,
    fallbackLenders: () => [],
    ownName: 'd',
  });
  return new Member(entry, connections);
}

/**
 * Creates a group of the members given by id. `leader` leads term 1; the test has to add evidence for it.
 *
 * @param zones - zones by member id; `a` if not given
 */
export function createTestGroup(
  dialers: Readonly<Record<string, MemberDialer>>,
  now: () => number,
  gateway: TestGateway | null = null,
  zones: Readonly<Record<string, string>> = {},
): MemberGroup {
  const group = new MemberGroup(GROUP);
  for (const [memberId, dialer] of Object.entries(dialers))
    group.members.set(memberId, createMember(memberId, dialer, now, gateway, zones[memberId] ?? 'a'));
  group.evidence.observeLeader({ memberId: 'leader', term: 1 });
  return group;
}
