/**
 * A pooled member connection, with what is known of its session state at the member.
 *
 * @packageDocumentation
 */
import { LinkLostError, type MemberLink, type MemberReply, type MemberRequest } from './member-link.js';
import type { SessionLink, SessionValues } from './session-link.js';
import type { PreparedShape, TransactionState } from './statement.js';

/** Prepared names that one connection may hold before it is reset. */
const MAX_PREPARED_NAMES = 500;

/** Name under which a shape is prepared at members: the same for all sessions, so that they share it. */
export function memberNameOf(prepared: PreparedShape): string {
  return `${prepared.isWrite ? 'w' : 'r'}_${prepared.shape}`;
}

/** A member connection that takes on the state of the session that uses it. */
export class PooledLink implements SessionLink {
  #values = new Map<string, string>();
  #prepared = new Set<string>();
  #state: TransactionState = 'idle';
  #inFlight = 0;
  #waitingSinceMs: number | null = null;

  /** @param tenantName - the tenant that the member was told, for good */
  constructor(
    private readonly link: MemberLink,
    readonly tenantName: string,
  ) {}

  /** True while the connection can be used. */
  get isOpen(): boolean {
    return this.link.isOpen;
  }

  /** True when nothing is under way and no transaction is open. */
  get isClean(): boolean {
    return this.link.isOpen && this.#inFlight === 0 && this.#state === 'idle';
  }

  /** Transaction state after the last answer. */
  get state(): TransactionState {
    return this.#state;
  }

  /** Sets who is told that the connection has ended. */
  onClosed(listener: (isByPeer: boolean) => void): void {
    this.link.onClosed(listener);
  }

  /** Ends the connection. */
  close(): void {
    this.link.close();
  }

  /** True when the connection already holds exactly these values. */
  hasValues(values: SessionValues): boolean {
    if (values.size !== this.#values.size) return false;
    for (const [name, value] of values) if (this.#values.get(name) !== value) return false;
    return true;
  }

  /** Sends a request and keeps count of what is under way. */
  async send(request: MemberRequest): Promise<MemberReply> {
    if (this.#inFlight === 0) this.#waitingSinceMs = performance.now();
    this.#inFlight += 1;
    try {
      const reply = await this.link.send(request);
      this.#state = reply.state;
      return reply;
    } finally {
      this.#inFlight -= 1;
      if (this.#inFlight === 0) this.#waitingSinceMs = null;
    }
  }

  /** Since when an answer has been waited for, in monotonic milliseconds; `null` when none is. */
  get waitingSinceMs(): number | null {
    return this.#waitingSinceMs;
  }

  /** Monotonic time at which bytes last arrived, in milliseconds. */
  get lastReceivedMs(): number {
    return this.link.lastReceivedMs;
  }

  /**
   * Gives the connection exactly these values; nothing of an earlier session is left.
   *
   * @throws {@link LinkLostError} also when the member refuses: the state is then unknown
   */
  async adoptValues(values: SessionValues): Promise<void> {
    if (this.hasValues(values)) return;
    const isLeftOver = [...this.#values.keys()].some((name) => !values.has(name));
    const steps: Promise<void>[] = [];
    if (isLeftOver) {
      steps.push(this.#must({ kind: 'reset' }));
      this.#values.clear();
      this.#prepared.clear();
    }
    for (const [name, value] of values) {
      if (this.#values.get(name) === value) continue;
      steps.push(this.#must({ kind: 'set', name, value }));
      this.#values.set(name, value);
    }
    await Promise.all(steps);
  }

  /** Makes sure that a shape is prepared, and returns its name at the member. */
  async prepare(prepared: PreparedShape): Promise<string> {
    const name = memberNameOf(prepared);
    if (this.#prepared.has(name)) return name;
    if (this.#prepared.size >= MAX_PREPARED_NAMES) throw this.#broken('too many prepared names');
    await this.#must({ kind: 'prepare', name, prepared });
    this.#prepared.add(name);
    return name;
  }

  async #must(request: MemberRequest): Promise<void> {
    const reply = await this.send(request);
    if (!reply.result.isComplete) throw this.#broken(`${request.kind} refused: ${reply.result.code}`);
  }

  /** Ends a connection whose state at the member is unknown. */
  #broken(reason: string): LinkLostError {
    this.link.close();
    return new LinkLostError(reason);
  }
}
