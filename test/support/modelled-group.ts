/**
 * A group of members as a model, with the daemons and the platform around it, for a supervisor under test: who receives
 * which commit, who is paused, who has ended, and what the platform does about a promotion.
 *
 * @packageDocumentation
 */
import { delay } from '../../src/common/signal.js';
import type { Recipients } from '../../src/cluster/order-delivery.js';
import type { HolderOrder, OrderOutcome } from '../../src/cluster/peer-mesh.js';
import { GroupSupervisor } from '../../src/leadership/group-supervisor.js';
import type { ControlAnswer, MemberControl } from '../../src/leadership/member-control.js';
import type { Position } from '../../src/position/position.js';
import type { MemberRequest, MemberStatus } from '../../src/relay/member-link.js';
import { Member, MemberGroup, type MemberEntry } from '../../src/topology/member-group.js';
import type { MemberConnections } from '../../src/gateway/member-connections.js';

/** Term of the first primary. */
export const FIRST_TERM = 3;
/** Time from the platform's acceptance of a promotion to its effect, in milliseconds. */
const EFFECT_MS = 50;
/** Time for which a dark member is waited for, in milliseconds. */
const DARK_MS = 100;
/** Time between two looks of {@link ModelledGroup.until}, in milliseconds, and how long it looks at most. */
const LOOK_MS = 5;
const LONGEST_MS = 20_000;

/** One member of the model. */
export class GroupMember {
  isPrimary = false;
  /** `ended`: it refuses connections; `dark`: it does not answer. */
  state: 'running' | 'ended' | 'dark' = 'running';
  /** Receives nothing, though it answers. */
  isDeaf = false;
  /** Silent to the holder of the duty alone. */
  isCutFromHolder = false;
  pausedForTerm = 0;
  term = FIRST_TERM;
  received: Position = { term: FIRST_TERM, index: 1 };
  /** Questions for its status. */
  statuses = 0;

  constructor(
    readonly memberId: string,
    readonly port: number,
  ) {}
}

/** A group whose first member leads, and the supervisor that sees to it. */
export class ModelledGroup {
  readonly events: string[] = [];
  /** Outcomes of the orders of the supervisor, by daemon. */
  readonly daemons = new Map<string, OrderOutcome>();
  readonly group = new MemberGroup('g');
  readonly supervisor: GroupSupervisor;
  readonly #members = new Map<string, GroupMember>();
  /** What the platform does with a call; by default it accepts, and the member leads soon. */
  platform: (memberId: string) => Promise<boolean> = (memberId) => {
    setTimeout(() => this.lead(memberId), EFFECT_MS);
    return Promise.resolve(true);
  };
  isDutyHeld = true;
  /** For how long the duty is held at any time, in milliseconds. */
  heldForMs = Number.POSITIVE_INFINITY;

  constructor(memberIds: readonly string[]) {
    memberIds.forEach((memberId, index) => this.add(memberId, index));
    const first = this.member(memberIds[0] ?? '');
    first.isPrimary = true;
    this.group.evidence.observeLeader({ memberId: first.memberId, term: FIRST_TERM });
    this.supervisor = new GroupSupervisor(this.group, {
      control: {
        ask: (member: Member, request: MemberRequest) => this.#ask(member, request),
      } as unknown as MemberControl,
      promotion: {
        promote: (_group, memberId) => {
          this.events.push(`promote ${memberId}`);
          return this.platform(memberId);
        },
      },
      heldFence: (reserveMs) => (this.isDutyHeld && reserveMs < this.heldForMs ? 1 : null),
      order: (order, _timeoutMs, recipients) => this.#order(order, recipients),
      connectedDaemonCount: () => 2,
      usesGateways: () => false,
      leaderPromoted: () => undefined,
      log: (event) => void this.events.push(event),
      now: () => performance.now(),
    });
  }

  /** Starts a member and lists it. */
  add(memberId: string, port: number): GroupMember {
    const member = new GroupMember(memberId, port);
    this.#members.set(memberId, member);
    const entry: MemberEntry = {
      memberId,
      groupName: 'g',
      host: '127.0.0.1',
      port,
      zone: 'z',
      slots: 1,
      isDraining: false,
      saysPrimary: false,
      bornMs: null,
    };
    this.group.members.set(memberId, new Member(entry, {} as MemberConnections));
    return member;
  }

  /** A member by its id. */
  member(memberId: string): GroupMember {
    const member = this.#members.get(memberId);
    if (member === undefined) throw new Error(`no member ${memberId}`);
    return member;
  }

  /** The directory lists a member no longer, and it is given no more work. */
  retire(memberId: string): void {
    const member = this.group.members.get(memberId);
    if (member === undefined) return;
    member.leavingSinceMs = performance.now();
    this.group.members.delete(memberId);
    this.group.former.set(memberId, member);
  }

  /** The primary writes a commit. True when a replica has received it: the primary then acknowledges it. */
  commit(primary: GroupMember): boolean {
    primary.received = { term: primary.term, index: primary.received.index + 1 };
    const receivers = [...this.#members.values()].filter(
      (member) =>
        member !== primary &&
        member.state === 'running' &&
        !member.isPrimary &&
        !member.isDeaf &&
        member.pausedForTerm === 0 &&
        member.term === primary.term,
    );
    for (const receiver of receivers) receiver.received = primary.received;
    return receivers.length > 0;
  }

  /** The platform makes a member lead the next term. */
  lead(memberId: string): void {
    const member = this.member(memberId);
    member.isPrimary = true;
    member.pausedForTerm = 0;
    member.term = Math.max(...[...this.#members.values()].map(({ term }) => term)) + 1;
    this.events.push(`leads ${memberId}`);
  }

  /** Supervises until the event; fails if that takes long. */
  async until(event: string): Promise<void> {
    const running = this.supervisor.run();
    await this.reached(event);
    this.supervisor.stop();
    await running;
  }

  /** Supervises, with the leader doubted all the time; true when a promotion ends well within the time, in milliseconds. */
  async isLedWithin(ms: number): Promise<boolean> {
    const running = this.supervisor.run();
    const untilMs = performance.now() + ms;
    while (!this.events.includes('promotion_ends') && performance.now() < untilMs) {
      this.supervisor.suspect();
      await delay(LOOK_MS);
    }
    this.supervisor.stop();
    await running;
    return this.events.includes('promotion_ends');
  }

  /** Waits for an event. */
  async reached(event: string): Promise<void> {
    const deadlineMs = performance.now() + LONGEST_MS;
    while (!this.events.includes(event)) {
      if (performance.now() > deadlineMs)
        throw new Error(`${event} was not reached: ${this.events.join(', ')}`);
      await delay(LOOK_MS);
    }
  }

  #ask({ entry }: Member, request: MemberRequest): Promise<ControlAnswer> {
    const member = this.member(entry.memberId);
    if (request.kind === 'status') member.statuses += 1;
    if (member.state === 'ended') return Promise.resolve({ kind: 'refused' });
    if (member.isCutFromHolder) return Promise.resolve({ kind: 'silent' });
    if (member.state === 'dark') return delay(DARK_MS).then(() => ({ kind: 'silent' }));
    if (request.kind === 'pause' && !member.isPrimary) member.pausedForTerm = request.term;
    if (request.kind === 'resume') member.pausedForTerm = 0;
    if (request.kind === 'demote' && member.term < request.term) member.isPrimary = false;
    if (request.kind !== 'status') this.events.push(`${request.kind} ${member.memberId}`);
    return Promise.resolve({ kind: 'answered', askedAtMs: performance.now(), status: statusOf(member) });
  }

  #order(order: HolderOrder, recipients?: Recipients): Promise<ReadonlyMap<string, OrderOutcome>> {
    this.events.push(order.kind);
    const isMeant = (name: string): boolean => {
      if (recipients === undefined) return true;
      return 'only' in recipients ? recipients.only.has(name) : !recipients.except.has(name);
    };
    const asked = [...this.daemons].filter(([name]) => isMeant(name));
    return Promise.resolve(new Map(asked));
  }
}

function statusOf({ isPrimary, term, received, pausedForTerm }: GroupMember): MemberStatus {
  return { isPrimary, term, received, pausedForTerm };
}
