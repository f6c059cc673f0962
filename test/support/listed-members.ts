/**
 * A member directory with real connection pools; the test controls its entries, clock and connections.
 *
 * @packageDocumentation
 */
import { GatewayClient } from '../../src/gateway/gateway-client.js';
import { MemberConnections } from '../../src/gateway/member-connections.js';
import { LinkPool } from '../../src/relay/link-pool.js';
import type { SessionLink } from '../../src/relay/session-link.js';
import { MemberDirectory } from '../../src/topology/member-directory.js';
import { Member, MemberGroup, type MemberEntry } from '../../src/topology/member-group.js';
import { FakeLink } from './fake-link.js';

/** Time for which a member that leaves may still get work, in milliseconds. */
export const LEAVE_MS = 4000;
/** Interval between two heartbeats of a member, in milliseconds. */
export const HEARTBEAT_MS = 500;
/** Timeout for acquiring a connection, in milliseconds; the dialer of the tests connects at once. */
const ACQUIRE_TIMEOUT_MS = 1000;

const ENTRY: MemberEntry = {
  memberId: 'm',
  groupName: 'g',
  host: 'h',
  port: 1,
  zone: 'a',
  slots: 2,
  isDraining: false,
  saysPrimary: false,
  bornMs: 1000,
};

/** A directory entry of member `m` in group `g`, with the given fields replaced. */
export function entryOf(given: Partial<MemberEntry> = {}): MemberEntry {
  return { ...ENTRY, ...given };
}

/** An opened connection and its port. */
export interface OpenedConnection {
  readonly link: FakeLink;
  readonly port: number;
}

/** A directory and the groups that it populates. */
export class ListedMembers {
  readonly directory: MemberDirectory;
  readonly groups = new Map<string, MemberGroup>();
  /** All members that were created, oldest first. */
  readonly created: Member[] = [];
  readonly opened: OpenedConnection[] = [];
  /** Ids of the members whose control connections the directory has closed. */
  readonly closedControlConnections: string[] = [];
  /** Names of the groups whose leader the directory reported as in doubt. */
  readonly doubtedGroups: string[] = [];
  readonly events: { readonly event: string; readonly details: Readonly<Record<string, unknown>> }[] = [];
  now = 0;

  constructor(groupNames: readonly string[] = ['g', 'other']) {
    for (const name of groupNames) this.groups.set(name, new MemberGroup(name));
    this.directory = new MemberDirectory({
      leaveMs: LEAVE_MS,
      heartbeatMs: HEARTBEAT_MS,
      lagMs: () => 0,
      group: (name) => this.groups.get(name) ?? null,
      create: (entry) => this.#create(entry),
      changed: () => undefined,
      leaderInDoubt: ({ name }) => void this.doubtedGroups.push(name),
      incarnationEnded: () => undefined,
      closeControlConnections: (memberId) => void this.closedControlConnections.push(memberId),
      log: (event, details) => void this.events.push({ event, details }),
      now: () => this.now,
    });
    this.directory.loaded();
    this.now = 10 * HEARTBEAT_MS;
  }

  /** Adds a group, with its listed members. */
  addGroup(name: string): void {
    const group = new MemberGroup(name);
    this.groups.set(name, group);
    this.directory.addListedMembers(group);
  }

  /** Returns a group by name. */
  group(name = 'g'): MemberGroup {
    const group = this.groups.get(name);
    if (group === undefined) throw new Error(`no group ${name}`);
    return group;
  }

  /** Returns a member that may get work. */
  member(memberId = 'm', groupName = 'g'): Member {
    const member = this.group(groupName).members.get(memberId);
    if (member === undefined) throw new Error(`${memberId} is not in ${groupName}`);
    return member;
  }

  /** Advances the clock, then checks all groups. */
  advance(ms: number): void {
    this.now += ms;
    for (const group of this.groups.values()) this.directory.check(group);
  }

  /** Acquires a connection of a member. */
  async acquireConnection(member: Member): Promise<SessionLink> {
    const demand = {
      tenantName: null,
      values: new Map<string, string>(),
      isWrite: false,
      priority: 1,
      dueAtMs: Number.POSITIVE_INFINITY,
    };
    return member.pool.acquire(demand, ACQUIRE_TIMEOUT_MS);
  }

  /** Returns the details of all events logged under a name. */
  loggedDetails(event: string): readonly Readonly<Record<string, unknown>>[] {
    return this.events.filter((line) => line.event === event).map(({ details }) => details);
  }

  #create(entry: MemberEntry): Member {
    const { groupName, memberId } = entry;
    const now = (): number => this.now;
    const pool = new LinkPool({
      dialer: {
        dial: ({ port, tenantName }) => {
          const link = new FakeLink(tenantName);
          this.opened.push({ link, port });
          return Promise.resolve(link);
        },
      },
      address: entry,
      budget: () => 4,
      dialTimeoutMs: 50,
      limitBackoffMs: 5,
      idleTimeoutMs: 60_000,
      serviceMs: () => 5,
      onFailure: () => undefined,
      random: () => 0.5,
      now,
    });
    const connections = new MemberConnections({
      groupName,
      memberId,
      bornMs: () => member.entry.bornMs,
      pool,
      gatewayClient: new GatewayClient('h', now, () => 0.5),
      assignment: () => ({ gateways: null, standbys: [], budget: 4 }),
      tenantShare: () => 1,
      fallbackLenders: () => [],
      ownName: 'd',
    });
    const member: Member = new Member(entry, connections);
    this.created.push(member);
    return member;
  }
}
