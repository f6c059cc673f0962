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

  /** Asks one member; never rejects. */
  async ask(member: Member, request: MemberRequest, timeoutMs: number): Promise<ControlAnswer> {
    const deadlineMs = this.options.now() + timeoutMs;
    const pooled = member.pool.own.takeIdle();
    if (pooled !== null) {
      const answer = await this.#send(pooled, request, timeoutMs);
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
      if (error.reason === 'refused' || error.reason === 'wrong_member') return { kind: 'refused' };
      if (error.reason === 'slow') return { kind: 'slow' };
      return error.reason === 'silent' || error.reason === 'lost' ? SILENT : { kind: 'busy' };
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
