/**
 * Control requests that the daemon itself sends to members: status, pause, resume, demote.
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
import { NO_TENANT } from '../tenancy/tenant-registry.js';
import type { Member } from '../topology/member-group.js';

/**
 * The stage at which a request to a member failed. `pool`: no pooled connection became free; `dial`: no
 * connection could be opened; `answer`: an open connection broke or the answer was late; `gateway`: no
 * gateway was available or it did not answer.
 */
export type ControlStage = 'pool' | 'dial' | 'answer' | 'gateway';

/**
 * Result of a request. `refused`: its address refuses connections, another member has that address, or its next
 * incarnation is known; only {@link Member.hasExited} tells whether it has ended; `silent`: no answer in time, or
 * the connection broke; `slow`: the host accepted the connection, but the member did not complete the start-up in
 * time: it may have no free slot, or hang; `busy`: the member refused because it has no free slots or connections,
 * or no gateway could answer for it.
 */
export type ControlAnswer =
  | {
      readonly kind: 'answered';
      readonly status: MemberStatus;
      readonly askedAtMs: number;
      /**
       * How long the connection had been open when the request was sent, in milliseconds: the process that
       * answered is at least as old. Absent for a borrowed connection.
       */
      readonly linkMs?: number;
    }
  | { readonly kind: 'refused' }
  | { readonly kind: 'silent' | 'slow' | 'busy'; readonly stage?: ControlStage };

/** Dependencies of {@link MemberControl}. */
export interface MemberControlOptions {
  readonly dialer: MemberDialer;
  readonly readStatus: StatusReader;
  /**
   * True while this daemon may open connections in addition to its pools, also to members whose pools belong
   * to other daemons. Only one daemon may at a time, since members accept few connections.
   */
  mayConnect(): boolean;
  now(): number;
}

/** Idle time after which an own connection, one outside the pools, is closed, in milliseconds. */
const OWN_LINK_IDLE_MS = 500;
/**
 * The same for a leaving member, in milliseconds: longer than the time between two requests of a supervisor, so that
 * the connection shows the end of the process.
 */
const LEAVING_LINK_IDLE_MS = 1500;

/**
 * Time limit for a status request through a gateway, in milliseconds, if the request can be repeated over an
 * own connection: allows for some round trips between zones and the execution of a statement.
 */
const THROUGH_GATEWAY_MS = 60;

const REFUSED: ControlAnswer = { kind: 'refused' };
const GIVEN_UP: ControlAnswer = { kind: 'silent', stage: 'pool' };
const UNANSWERED: ControlAnswer = { kind: 'silent', stage: 'answer' };
const NOT_OPENED: ControlAnswer = { kind: 'silent', stage: 'dial' };
const NO_GATEWAY: ControlAnswer = { kind: 'busy', stage: 'gateway' };
const NO_CONNECTION: ControlAnswer = { kind: 'busy', stage: 'dial' };

/**
 * Sends requests to members over idle pooled connections, else through a gateway of the member, else over an
 * own connection outside the pools. Where some daemons (gateways) hold the connections for all others, only
 * one daemon may open further ones.
 */
export class MemberControl {
  readonly #ownLinks = new Map<string, MemberLink>();
  /** Until when own connections are kept without further requests, by member; monotonic, in milliseconds. */
  readonly #keptUntilMs = new Map<string, number>();
  /** Own connections that are being opened, by member: concurrent requests wait for the same one. */
  readonly #dials = new Map<string, Promise<MemberLink | ControlAnswer>>();

  constructor(private readonly options: MemberControlOptions) {}

  /**
   * Sends a request to one member; never rejects.
   *
   * @param timeoutMs - time limit; an unsuccessful request through a gateway may take additional time before
   * it
   * @param opensPool - if the pool has no connection yet, opens its first one for the request. Not suited to
   * liveness checks: the pool does not tell a member that keeps new connections waiting from one that does
   * not answer.
   */
  async ask(
    member: Member,
    request: MemberRequest,
    timeoutMs: number,
    opensPool = false,
  ): Promise<ControlAnswer> {
    // Any answer at its address, or over a connection registered under its id, comes from another
    // incarnation.
    if (member.hasEnded) return REFUSED;
    const answer = await this.#askRunning(member, request, timeoutMs, opensPool);
    return member.hasEnded ? REFUSED : answer;
  }

  async #askRunning(
    member: Member,
    request: MemberRequest,
    timeoutMs: number,
    opensPool: boolean,
  ): Promise<ControlAnswer> {
    const deadlineMs = this.options.now() + timeoutMs;
    const pooled =
      member.pool.ownPool.takeIdle() ?? (opensPool ? await this.#waitForPooled(member, timeoutMs) : null);
    if (pooled !== null && 'kind' in pooled) return pooled;
    if (pooled !== null) return this.#askOver(pooled, member, request, deadlineMs);
    const mayConnect = !member.pool.hasGateways || this.options.mayConnect();
    if (request.kind === 'status' && !member.pool.isAssigned) {
      const answer = await this.#askThroughGateway(member, mayConnect ? THROUGH_GATEWAY_MS : timeoutMs);
      // Without an answer, the fault may lie with the gateway rather than with the member.
      if (answer.kind === 'answered' || !mayConnect) return answer;
    }
    if (!mayConnect) return NO_CONNECTION;
    if (member.hasEnded) return REFUSED;
    const ownDeadlineMs = this.options.now() + timeoutMs;
    const link = await this.#ownLink(member, timeoutMs);
    if ('kind' in link) return link;
    const answer = await this.#send(link, request, ownDeadlineMs - this.options.now());
    if (!link.isOpen) this.#dropOwnLink(member.entry.memberId, link);
    if (answer.kind === 'answered') member.recordAnswer(this.options.now());
    return answer;
  }

  /** Closes the own connection to a member that has ended, also one that is being opened. */
  forget(memberId: string): void {
    this.#dials.delete(memberId);
    this.#endOwnLink(memberId);
  }

  /** Removes a closed connection, unless another one has already replaced it. */
  #dropOwnLink(memberId: string, link: MemberLink): void {
    if (this.#ownLinks.get(memberId) === link) this.#ownLinks.delete(memberId);
  }

  #endOwnLink(memberId: string): void {
    this.#ownLinks.get(memberId)?.close();
    this.#ownLinks.delete(memberId);
    this.#keptUntilMs.delete(memberId);
  }

  /** Closes idle own connections: they count against the members' connection limits. */
  closeIdleConnections(): void {
    const nowMs = this.options.now();
    for (const [memberId, keptUntilMs] of this.#keptUntilMs)
      if (keptUntilMs < nowMs) this.#endOwnLink(memberId);
  }

  /**
   * Acquires a pooled connection: the first one of a pool without connections, which client requests use
   * afterwards, or one that becomes free if no own connection may be opened. `null` if the request has to be
   * sent another way.
   */
  async #waitForPooled(member: Member, timeoutMs: number): Promise<PooledLink | ControlAnswer | null> {
    const { ownPool: own, hasGateways, isAssigned } = member.pool;
    const mustWait = hasGateways && isAssigned && !this.options.mayConnect();
    if (!own.canOpenFirst && !mustWait) return null;
    const dueAtMs = this.options.now() + timeoutMs;
    const demand = ownDemand(dueAtMs);
    try {
      return await own.acquire(demand, timeoutMs);
    } catch (error) {
      if (error instanceof DialError) return toControlAnswer(error);
      return GIVEN_UP;
    }
  }

  async #askOver(
    pooled: PooledLink,
    member: Member,
    request: MemberRequest,
    deadlineMs: number,
  ): Promise<ControlAnswer> {
    const { openedAtMs } = pooled;
    const answer = await this.#send(pooled, request, deadlineMs - this.options.now());
    member.pool.ownPool.release(pooled);
    if (answer.kind !== 'answered') return answer;
    member.recordAnswer(this.options.now());
    return { ...answer, linkMs: answer.askedAtMs - openedAtMs };
  }

  /**
   * Asks for the status of a member over a connection borrowed from a gateway. A missing answer tells nothing
   * about the member.
   */
  async #askThroughGateway(member: Member, timeoutMs: number): Promise<ControlAnswer> {
    const demand = ownDemand(0);
    let link: SessionLink;
    try {
      link = member.pool.borrow(demand, timeoutMs);
    } catch {
      // No gateway is reachable: this tells nothing about the member.
      return NO_GATEWAY;
    }
    const answer = await this.#send(link, { kind: 'status' }, timeoutMs);
    member.pool.release(link);
    return answer.kind === 'answered' ? answer : NO_GATEWAY;
  }

  async #ownLink(member: Member, timeoutMs: number): Promise<MemberLink | ControlAnswer> {
    const { memberId } = member.entry;
    const idleMs = member.isLeaving ? LEAVING_LINK_IDLE_MS : OWN_LINK_IDLE_MS;
    this.#keptUntilMs.set(memberId, this.options.now() + idleMs);
    const known = this.#ownLinks.get(memberId);
    if (known !== undefined && known.isOpen) return known;
    return this.#dials.get(memberId) ?? this.#openOwn(member, timeoutMs);
  }

  #openOwn(member: Member, timeoutMs: number): Promise<MemberLink | ControlAnswer> {
    const { memberId } = member.entry;
    const dial: Promise<MemberLink | ControlAnswer> = this.#dialOwn(member, timeoutMs)
      .then((outcome) => this.#keepOpened(member, outcome, this.#dials.get(memberId) === dial))
      .finally(() => {
        if (this.#dials.get(memberId) === dial) this.#dials.delete(memberId);
      });
    this.#dials.set(memberId, dial);
    return dial;
  }

  /** Keeps a connection that was opened, unless {@link MemberControl.forget} was called in the meantime. */
  #keepOpened(
    member: Member,
    outcome: MemberLink | ControlAnswer,
    isWanted: boolean,
  ): MemberLink | ControlAnswer {
    if ('kind' in outcome) return outcome;
    if (isWanted) {
      outcome.onClosed((end) => {
        if (end === 'exited') member.recordExit();
      });
      this.#ownLinks.set(member.entry.memberId, outcome);
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
      if (error.reason === 'wrong_member') member.recordExit();
      return toControlAnswer(error);
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

/** Requirements of a control request on a pooled connection. */
function ownDemand(dueAtMs: number): LinkDemand {
  return { tenantName: null, values: new Map(), isWrite: false, priority: 0, dueAtMs };
}

/** Maps a failure to open a connection to the result of the request. */
function toControlAnswer({ reason }: DialError): ControlAnswer {
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
