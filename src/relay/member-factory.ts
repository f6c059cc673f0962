/**
 * Creates the members of groups, with the pools of connections to them.
 *
 * @packageDocumentation
 */
import type { AdmissionObserver } from '../admission/pool-admission.js';
import type { DaemonRecord } from '../cluster/daemon-record.js';
import type { Assignments } from '../gateway/assignments.js';
import type { GatewayClient } from '../gateway/gateway-client.js';
import { MemberConnections } from '../gateway/member-connections.js';
import type { Catalog } from '../topology/catalog.js';
import { Member, type MemberEntry } from '../topology/member-group.js';
import { LinkPool } from './link-pool.js';
import type { MemberDialer } from './member-link.js';

const DIAL_TIMEOUT_MS = 400;
const LIMIT_BACKOFF_MS = 100;
/** Idle time after which a connection above the minimum is closed, in milliseconds. */
const IDLE_TIMEOUT_MS = 800;

/** Dependencies of {@link MemberFactory}. */
export interface MemberFactoryPorts {
  readonly ownName: string;
  readonly dialer: MemberDialer;
  readonly assignments: Assignments;
  readonly gatewayClient: GatewayClient;
  readonly catalog: Catalog;
  readonly observer: AdmissionObserver;
  liveDaemons(): readonly DaemonRecord[];
  /** Called when a connection to a member could not be opened or has broken. */
  memberFailed(groupName: string, member: Member, reason: string): void;
  now(): number;
  random(): number;
}

/** Creates members. */
export class MemberFactory {
  constructor(private readonly ports: MemberFactoryPorts) {}

  /** Creates the member of a directory entry. */
  create(entry: MemberEntry): Member {
    const { ports } = this;
    const pool: LinkPool = new LinkPool({
      dialer: ports.dialer,
      address: entry,
      budget: () => ports.assignments.budget(member.entry),
      dialTimeoutMs: DIAL_TIMEOUT_MS,
      limitBackoffMs: LIMIT_BACKOFF_MS,
      idleTimeoutMs: IDLE_TIMEOUT_MS,
      random: ports.random,
      serviceMs: () => member.latencyMs,
      tenantWeight: (tenantName) => ports.catalog.tenants.shareWeightOf(tenantName),
      onExit: () => member.recordExit(),
      onFailure: (reason) => {
        if (reason === 'wrong_member') member.recordExit();
        member.continuity.recordInterruption(ports.now());
        ports.memberFailed(entry.groupName, member, reason);
      },
      now: ports.now,
      admissionObserver: ports.observer,
    });
    const connections = new MemberConnections({
      groupName: entry.groupName,
      memberId: entry.memberId,
      bornMs: () => member.entry.bornMs,
      pool,
      gatewayClient: ports.gatewayClient,
      assignment: () => ports.assignments.of(member.entry),
      fallbackLenders: () => ports.liveDaemons().filter(({ name }) => name !== ports.ownName),
      tenantShare: (tenantName) => ports.catalog.tenants.rateShareOf(tenantName),
      ownName: ports.ownName,
    });
    const member: Member = new Member(entry, connections);
    return member;
  }
}
