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
import type { PooledLink } from '../relay/pooled-link.js';
import type { Member } from '../topology/member-group.js';

/**
 * How a question went. `refused`: the member does not run there, or another has its address; `silent`: no answer in time, or the connection
 * broke; `slow`: the host took the connection, but the member did not accept it in time: it may have no slot free, or
 * hang; `busy`: the member refused for want of slots or connections.
 */
export type ControlAnswer =
  | { readonly kind: 'answered'; readonly status: MemberStatus; readonly askedAtMs: number }
  | { readonly kind: 'refused' }
  | { readonly kind: 'silent' }
  | { readonly kind: 'slow' }
  | { readonly kind: 'busy' };

/** What the control part needs. */
export interface MemberControlOptions {
  readonly dialer: MemberDialer;
  readonly readStatus: StatusReader;
  now(): number;
}

/** Time after which an own connection that is not used is ended, in milliseconds. */
const OWN_LINK_IDLE_MS = 500;

const SILENT: ControlAnswer = { kind: 'silent' };

/** Asks members over idle pooled connections, or over one of its own where none is idle. */
export class MemberControl {
  readonly #ownLinks = new Map<string, MemberLink>();
  readonly #usedAtMs = new Map<string, number>();

  constructor(private readonly options: MemberControlOptions) {}

  /**
   * Asks one member; never rejects.
   *
   * @param opensPool - a connection that has to be opened for it is the first of the pool, where it has none. Not for a
   * sign of life: the pool does not tell a member that keeps new connections waiting from a silent one.
   */
  async ask(
    member: Member,
    request: MemberRequest,
    timeoutMs: number,
    opensPool = false,
  ): Promise<ControlAnswer> {
    const deadlineMs = this.options.now() + timeoutMs;
    const pooled =
      member.pool.own.takeIdle() ?? (opensPool ? await this.#openPooled(member, timeoutMs) : null);
    if (pooled !== null && 'kind' in pooled) return pooled;
    if (pooled !== null) {
      const answer = await this.#send(pooled, request, deadlineMs - this.options.now());
      member.pool.own.release(pooled);
      if (answer.kind === 'answered') member.trust(this.options.now());
      return answer;
    }
    const link = await this.#ownLink(member, timeoutMs);
    if ('kind' in link) return link;
    const answer = await this.#send(link, request, deadlineMs - this.options.now());
    if (!link.isOpen) this.#ownLinks.delete(member.entry.memberId);
    if (answer.kind === 'answered') member.trust(this.options.now());
    return answer;
  }

  /** Ends the own connection to a member that has left. */
  forget(memberId: string): void {
    this.#ownLinks.get(memberId)?.close();
    this.#ownLinks.delete(memberId);
    this.#usedAtMs.delete(memberId);
  }

  /** Ends own connections that were not used for a while: they count against the members' limits. */
  trim(): void {
    const unusedSinceMs = this.options.now() - OWN_LINK_IDLE_MS;
    for (const [memberId, usedAtMs] of this.#usedAtMs) if (usedAtMs < unusedSinceMs) this.forget(memberId);
  }

  /** The first connection of the pool, where it has none: the requests use it next. `null` where it has some. */
  async #openPooled(member: Member, timeoutMs: number): Promise<PooledLink | ControlAnswer | null> {
    const { own } = member.pool;
    if (!own.isUnopened) return null;
    const demand = { values: new Map<string, string>(), isWrite: false, priority: 0, dueAtMs: 0 };
    try {
      return await own.acquire(demand, timeoutMs);
    } catch (error) {
      if (error instanceof DialError) return answerOf(error);
      return SILENT;
    }
  }

  async #ownLink(member: Member, timeoutMs: number): Promise<MemberLink | ControlAnswer> {
    const { memberId } = member.entry;
    this.#usedAtMs.set(memberId, this.options.now());
    const known = this.#ownLinks.get(memberId);
    if (known !== undefined && known.isOpen) return known;
    try {
      const link = await this.options.dialer.dial(member.address, timeoutMs);
      this.#ownLinks.set(memberId, link);
      return link;
    } catch (error) {
      if (!(error instanceof DialError)) throw error;
      return answerOf(error);
    }
  }

  async #send(
    link: Pick<MemberLink, 'send' | 'close'>,
    request: MemberRequest,
    timeoutMs: number,
  ): Promise<ControlAnswer> {
    const askedAtMs = this.options.now();
    const timer = setTimeout(() => link.close(), Math.max(1, timeoutMs));
    try {
      const reply = await link.send(request);
      const status = this.options.readStatus(reply);
      return status === null ? { kind: 'busy' } : { kind: 'answered', status, askedAtMs };
    } catch {
      return SILENT;
    } finally {
      clearTimeout(timer);
    }
  }
}

/** What a connection that could not be opened says of the member. */
function answerOf({ reason }: DialError): ControlAnswer {
  switch (reason) {
    case 'refused':
    case 'wrong_member':
      return { kind: 'refused' };
    case 'slow':
      return { kind: 'slow' };
    case 'silent':
    case 'lost':
      return SILENT;
    case 'too_many_connections':
    case 'busy':
      return { kind: 'busy' };
  }
}
