/**
 * A pooled member connection that tracks its session state at the member.
 *
 * @packageDocumentation
 */
import type { Leader } from '../leadership/leadership-evidence.js';
import type { Position } from '../position/position.js';
import { isNonEmptyLog } from './leader-identity.js';
import {
  LinkLostError,
  type LinkEnd,
  type MemberLink,
  type MemberReply,
  type MemberRequest,
} from './member-link.js';
import { PreparedNames } from './prepared-names.js';
import type { LeaderCheck, LeaderVerdict, SessionLink, SessionValues } from './session-link.js';
import type { PreparedStatement, TransactionState } from './statement.js';

/**
 * Maximum number of prepared statements on a connection, and size of their shapes in bytes; a connection that would
 * exceed one is closed. The shape of one statement, which a session may keep, always fits.
 */
const MAX_PREPARED_NAMES = 500;
const MAX_PREPARED_BYTES = 256 * 1024;

/** Timeout of the status request by which a process with an empty log is verified, in milliseconds. */
const STATUS_TIMEOUT_MS = 200;

/** A member connection that is set to the state of the session that uses it. */
export class PooledLink implements SessionLink {
  #values = new Map<string, string>();
  readonly #prepared = new PreparedNames();
  #state: TransactionState = 'idle';
  #inFlight = 0;
  /** When the connection was opened, in monotonic milliseconds. */
  readonly openedAtMs = performance.now();
  #awaitingReplySinceMs: number | null = null;
  /** Latest log position that the process at the other end has reported over this connection. */
  #position: Position | null;
  #verifiedLeader: Leader | null = null;

  /** @param tenantName - the tenant that was sent to the member, fixed for the lifetime of the connection */
  constructor(
    private readonly link: MemberLink,
    readonly tenantName: string,
  ) {
    this.#position = link.openedAt;
  }

  get isOpen(): boolean {
    return this.link.isOpen;
  }

  /** True if the connection is open, no request is in flight and no transaction is open. */
  get isClean(): boolean {
    return this.link.isOpen && this.#inFlight === 0 && this.#state === 'idle';
  }

  /** Transaction state after the last reply. */
  get state(): TransactionState {
    return this.#state;
  }

  /** Sets the listener that is called when the connection has ended. */
  onClosed(listener: (end: LinkEnd) => void): void {
    this.link.onClosed(listener);
  }

  /** Closes the connection; the member rolls back an open transaction. */
  close(): void {
    this.link.close();
  }

  /** True if the session values of the connection are exactly these. */
  hasValues(values: SessionValues): boolean {
    if (values.size !== this.#values.size) return false;
    for (const [name, value] of values) if (this.#values.get(name) !== value) return false;
    return true;
  }

  /** Sends a request and updates the number of requests in flight. */
  async send(request: MemberRequest): Promise<MemberReply> {
    if (this.#inFlight === 0) this.#awaitingReplySinceMs = performance.now();
    this.#inFlight += 1;
    try {
      const reply = await this.link.send(request);
      this.#state = reply.state;
      this.#position = reply.position ?? this.#position;
      return reply;
    } finally {
      this.#inFlight -= 1;
      if (this.#inFlight === 0) this.#awaitingReplySinceMs = null;
    }
  }

  /**
   * Since when requests have been in flight without interruption, in monotonic milliseconds; `null` if none
   * is.
   */
  get awaitingReplySinceMs(): number | null {
    return this.#awaitingReplySinceMs;
  }

  /** When bytes were last received, in monotonic milliseconds. */
  get lastReceivedMs(): number {
    return this.link.lastReceivedMs;
  }

  /**
   * Sets exactly these session values and removes those of earlier sessions.
   *
   * @throws {@link LinkLostError}, also if the member refuses a value: the session state is then unknown
   */
  async setSessionValues(values: SessionValues): Promise<void> {
    if (this.hasValues(values)) return;
    const hasStaleValues = [...this.#values.keys()].some((name) => !values.has(name));
    const steps: Promise<void>[] = [];
    if (hasStaleValues) {
      steps.push(this.#sendOrClose({ kind: 'reset' }));
      this.#values.clear();
      this.#prepared.clear();
    }
    for (const [name, value] of values) {
      if (this.#values.get(name) === value) continue;
      steps.push(this.#sendOrClose({ kind: 'set', name, value }));
      this.#values.set(name, value);
    }
    await Promise.all(steps);
  }

  /** Prepares a statement unless that is already done, and returns its name at the member. */
  async prepare(prepared: PreparedStatement): Promise<string> {
    const known = this.#prepared.find(prepared);
    if (known !== undefined) return known;
    const bytes = this.#prepared.bytes + prepared.shape.length;
    if (this.#prepared.size >= MAX_PREPARED_NAMES || bytes > MAX_PREPARED_BYTES)
      throw this.#closeWithError('too many prepared names');
    const name = this.#prepared.add(prepared);
    await this.#sendOrClose({ kind: 'prepare', name, prepared });
    return name;
  }

  requireLeader(): void {
    // A direct connection has no gateway.
  }

  onUnresponsive(): void {
    // A direct connection has no gateway.
  }

  isVerifiedLeader({ memberId, term }: Leader): boolean {
    return this.#verifiedLeader?.memberId === memberId && this.#verifiedLeader.term === term;
  }

  /**
   * Verifies that the process at the other end is the leader; needed once, since a connection ends with its
   * process.
   *
   * While the leader is proven, no later one has a log to copy, so a process that has restarted under its id
   * is empty. One with a non-empty log is the leader; one with an empty log has to report that it leads.
   */
  async verifyLeader(leader: Leader, check: LeaderCheck): Promise<LeaderVerdict> {
    if (this.isVerifiedLeader(leader)) return 'leader';
    const hasWholeLog = isNonEmptyLog(this.#position) && check.isProven(leader);
    const verdict = hasWholeLog ? 'leader' : await this.#askWhetherItLeads(leader, check);
    if (verdict === 'leader') this.#verifiedLeader = leader;
    return verdict;
  }

  async #askWhetherItLeads({ term }: Leader, { readStatus }: LeaderCheck): Promise<LeaderVerdict> {
    const timer = setTimeout(() => this.close(), STATUS_TIMEOUT_MS);
    try {
      const status = readStatus(await this.send({ kind: 'status' }));
      if (status === null) return 'unknown';
      if (status.isPrimary && status.term === term) return 'leader';
      return isNonEmptyLog(status.received) ? 'unknown' : 'empty';
    } finally {
      clearTimeout(timer);
    }
  }

  async #sendOrClose(request: MemberRequest): Promise<void> {
    const reply = await this.send(request).catch((error: unknown) => {
      this.link.close();
      throw error;
    });
    if (!reply.result.isComplete) throw this.#closeWithError(`${request.kind} refused: ${reply.result.code}`);
  }

  /** Closes a connection that cannot be reused, for example because its state at the member is unknown. */
  #closeWithError(reason: string): LinkLostError {
    this.link.close();
    return new LinkLostError(reason);
  }
}
