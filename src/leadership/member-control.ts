/**
 * Questions and orders of the daemon's own to members: status, pause, resume, demote.
 *
 * @packageDocumentation
 */
import {
  DialError,
  type MemberDialer,
  type MemberLink,
  type MemberRequest,
  type MemberStatus,
  type StatusReader,
} from '../relay/member-link.js';
import type { LinkDemand } from '../relay/link-queue.js';
import type { PooledLink } from '../relay/pooled-link.js';
import type { SessionLink } from '../relay/session-link.js';
import { NO_TENANT } from '../tenancy/tenant-register.js';
import type { Member } from '../topology/member-group.js';

/** What went wrong on the way to a member: no connection of a pool came free, none could be opened, or one that was open broke or was late. */
export type ControlStage = 'pool' | 'dial' | 'answer' | 'gateway';

/**
 * How a question went. `refused`: the member does not run there, or another has its address; `silent`: no answer in time, or the connection
 * broke; `slow`: the host took the connection, but the member did not accept it in time: it may have no slot free, or
 * hang; `busy`: the member refused for want of slots or connections.
 */
export type ControlAnswer =
  | { readonly kind: 'answered'; readonly status: MemberStatus; readonly askedAtMs: number }
  | { readonly kind: 'refused' }
  | { readonly kind: 'silent' | 'slow' | 'busy'; readonly stage?: ControlStage };

/** What the control part needs. */
export interface MemberControlOptions {
  readonly dialer: MemberDialer;
  readonly readStatus: StatusReader;
  /**
   * True while this daemon may open connections beside those of its pools, also to members that others connect to: one
   * daemon at a time, since members accept few.
   */
  mayConnect(): boolean;
  now(): number;
}

/** Time after which an own connection that is not used is ended, in milliseconds. */
const OWN_LINK_IDLE_MS = 500;

/**
 * Longest wait for a status through a gateway, in milliseconds, where a connection of its own can be asked after it: some
 * round trips between zones and the time of a statement.
 */
const THROUGH_GATEWAY_MS = 60;

const REFUSED: ControlAnswer = { kind: 'refused' };
const GIVEN_UP: ControlAnswer = { kind: 'silent', stage: 'pool' };
const UNANSWERED: ControlAnswer = { kind: 'silent', stage: 'answer' };
const NOT_OPENED: ControlAnswer = { kind: 'silent', stage: 'dial' };
const NO_GATEWAY: ControlAnswer = { kind: 'busy', stage: 'gateway' };
const NO_CONNECTION: ControlAnswer = { kind: 'busy', stage: 'dial' };

/**
 * Asks members over idle pooled connections, else through a gateway of the member, else over a connection of its own.
 * Where some daemons hold the connections for all, only one may open any beside them.
 */
export class MemberControl {
  readonly #ownLinks = new Map<string, MemberLink>();
  readonly #usedAtMs = new Map<string, number>();
  /** Own connections that are being opened, by member: questions that come meanwhile wait for the same one. */
  readonly #dials = new Map<string, Promise<MemberLink | ControlAnswer>>();

  constructor(private readonly options: MemberControlOptions) {}

  /**
   * Asks one member; never rejects.
   *
   * @param timeoutMs - longest wait; a question through a gateway that finds out nothing may come on top
   * @param opensPool - a connection that has to be opened for it is the first of the pool, where it has none. Not for a
   * sign of life: the pool does not tell a member that keeps new connections waiting from a silent one.
   */
  async ask(
    member: Member,
    request: MemberRequest,
    timeoutMs: number,
    opensPool = false,
  ): Promise<ControlAnswer> {
    // Whoever answers at its address, or over a connection that goes by its id, is another life.
    if (member.hasEnded) return REFUSED;
    const answer = await this.#askLiving(member, request, timeoutMs, opensPool);
    return member.hasEnded ? REFUSED : answer;
  }

  async #askLiving(
    member: Member,
    request: MemberRequest,
    timeoutMs: number,
    opensPool: boolean,
  ): Promise<ControlAnswer> {
    const deadlineMs = this.options.now() + timeoutMs;
    const pooled =
      member.pool.own.takeIdle() ?? (opensPool ? await this.#waitForPooled(member, timeoutMs) : null);
    if (pooled !== null && 'kind' in pooled) return pooled;
    if (pooled !== null) return this.#askOver(pooled, member, request, deadlineMs);
    const mayConnect = !member.pool.hasGateways || this.options.mayConnect();
    if (request.kind === 'status' && !member.pool.isAssigned) {
      const answer = await this.#askThroughGateway(member, mayConnect ? THROUGH_GATEWAY_MS : timeoutMs);
      // What a gateway cannot say may be the gateway's own trouble.
      if (answer.kind === 'answered' || !mayConnect) return answer;
    }
    if (!mayConnect) return NO_CONNECTION;
    if (member.hasEnded) return REFUSED;
    const ownDeadlineMs = this.options.now() + timeoutMs;
    const link = await this.#ownLink(member, timeoutMs);
    if ('kind' in link) return link;
    const answer = await this.#send(link, request, ownDeadlineMs - this.options.now());
    if (!link.isOpen) this.#dropOwnLink(member.entry.memberId, link);
    if (answer.kind === 'answered') member.trust(this.options.now());
    return answer;
  }

  /** Ends the own connection to a member that has ended, also one that is being opened. */
  forget(memberId: string): void {
    this.#dials.delete(memberId);
    this.#endOwnLink(memberId);
  }

  /** A connection is of no use any more; one that has taken its place is kept. */
  #dropOwnLink(memberId: string, link: MemberLink): void {
    if (this.#ownLinks.get(memberId) === link) this.#ownLinks.delete(memberId);
  }

  #endOwnLink(memberId: string): void {
    this.#ownLinks.get(memberId)?.close();
    this.#ownLinks.delete(memberId);
    this.#usedAtMs.delete(memberId);
  }

  /** Ends own connections that were not used for a while: they count against the members' limits. */
  trim(): void {
    const unusedSinceMs = this.options.now() - OWN_LINK_IDLE_MS;
    for (const [memberId, usedAtMs] of this.#usedAtMs)
      if (usedAtMs < unusedSinceMs) this.#endOwnLink(memberId);
  }

  /**
   * A connection of the pool: the first one where it has none, which the requests use next, or one that comes free where
   * others may not be opened. `null` where the question has to find another way.
   */
  async #waitForPooled(member: Member, timeoutMs: number): Promise<PooledLink | ControlAnswer | null> {
    const { own, hasGateways, isAssigned } = member.pool;
    const mustWait = hasGateways && isAssigned && !this.options.mayConnect();
    if (!own.canOpenFirst && !mustWait) return null;
    const dueAtMs = this.options.now() + timeoutMs;
    const demand = ownDemand(dueAtMs);
    try {
      return await own.acquire(demand, timeoutMs);
    } catch (error) {
      if (error instanceof DialError) return answerOf(error);
      return GIVEN_UP;
    }
  }

  async #askOver(
    pooled: PooledLink,
    member: Member,
    request: MemberRequest,
    deadlineMs: number,
  ): Promise<ControlAnswer> {
    const answer = await this.#send(pooled, request, deadlineMs - this.options.now());
    member.pool.own.release(pooled);
    if (answer.kind === 'answered') member.trust(this.options.now());
    return answer;
  }

  /** The status of a member over a connection that a gateway lends. Silence says nothing of the member. */
  async #askThroughGateway(member: Member, timeoutMs: number): Promise<ControlAnswer> {
    const demand = ownDemand(0);
    let link: SessionLink;
    try {
      link = member.pool.borrow(demand, timeoutMs);
    } catch {
      // No gateway is in reach: nothing is known of the member.
      return NO_GATEWAY;
    }
    const answer = await this.#send(link, { kind: 'status' }, timeoutMs);
    member.pool.release(link);
    return answer.kind === 'answered' ? answer : NO_GATEWAY;
  }

  async #ownLink(member: Member, timeoutMs: number): Promise<MemberLink | ControlAnswer> {
    const { memberId } = member.entry;
    this.#usedAtMs.set(memberId, this.options.now());
    const known = this.#ownLinks.get(memberId);
    if (known !== undefined && known.isOpen) return known;
    return this.#dials.get(memberId) ?? this.#openOwn(member, timeoutMs);
  }

  #openOwn(member: Member, timeoutMs: number): Promise<MemberLink | ControlAnswer> {
    const { memberId } = member.entry;
    const dial: Promise<MemberLink | ControlAnswer> = this.#dialOwn(member, timeoutMs)
      .then((outcome) => this.#opened(memberId, outcome, this.#dials.get(memberId) === dial))
      .finally(() => {
        if (this.#dials.get(memberId) === dial) this.#dials.delete(memberId);
      });
    this.#dials.set(memberId, dial);
    return dial;
  }

  /** Keeps a connection that was opened, unless the member was forgotten meanwhile. */
  #opened(
    memberId: string,
    outcome: MemberLink | ControlAnswer,
    isWanted: boolean,
  ): MemberLink | ControlAnswer {
    if ('kind' in outcome) return outcome;
    if (isWanted) {
      this.#ownLinks.set(memberId, outcome);
      return outcome;
    }
    outcome.close();
    return NOT_OPENED;
  }

  async #dialOwn(member: Member, timeoutMs: number): Promise<MemberLink | ControlAnswer> {
    try {
      const target = { ...member.address, tenantName: NO_TENANT };
      return await this.options.dialer.dial(target, timeoutMs);
    } catch (error) {
      if (!(error instanceof DialError)) throw error;
      return answerOf(error);
    }
  }

  async #send(
    link: Pick<MemberLink | SessionLink, 'send' | 'close'>,
    request: MemberRequest,
    timeoutMs: number,
  ): Promise<ControlAnswer> {
    const askedAtMs = this.options.now();
    const timer = setTimeout(() => link.close(), Math.max(1, timeoutMs));
    try {
      const reply = await link.send(request);
      const status = this.options.readStatus(reply);
      return status === null ? { kind: 'busy', stage: 'answer' } : { kind: 'answered', status, askedAtMs };
    } catch {
      return UNANSWERED;
    } finally {
      clearTimeout(timer);
    }
  }
}

/** What a question of the daemon's own wants of a connection. */
function ownDemand(dueAtMs: number): LinkDemand {
  return { tenantName: null, values: new Map(), isWrite: false, priority: 0, dueAtMs };
}

/** What a connection that could not be opened says of the member. */
function answerOf({ reason }: DialError): ControlAnswer {
  switch (reason) {
    case 'refused':
    case 'wrong_member':
      return { kind: 'refused' };
    case 'slow':
      return { kind: 'slow', stage: 'dial' };
    case 'silent':
    case 'lost':
      return NOT_OPENED;
    case 'too_many_connections':
    case 'busy':
      return NO_CONNECTION;
  }
}
