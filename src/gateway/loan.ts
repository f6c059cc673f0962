/**
 * One use of a member connection by another daemon, at the gateway that lends it.
 *
 * @packageDocumentation
 */
import type { LinkPool } from '../relay/link-pool.js';
import { LinkAcquisition } from '../relay/link-acquisition.js';
import { NotSentError, type MemberReply } from '../relay/member-link.js';
import type { PooledLink } from '../relay/pooled-link.js';
import type { SessionValues } from '../relay/session-link.js';
import type { BorrowMessage, GatewayMessage, LoanRequestMessage, ValuesMessage } from './gateway-messages.js';
import type { StatusQuestions } from './status-questions.js';

/**
 * How far a gateway is with its stop. `leaving`: nobody waits for a connection any more. `winding_up`: what rests in a
 * transaction is ended too, and nothing new is taken.
 */
export type LendingStage = 'lending' | 'leaving' | 'winding_up';

/** What a loan needs. */
export interface LoanOptions {
  readonly terms: BorrowMessage;
  /** The pool of the member, or `null` where this daemon does not connect to it. */
  readonly pool: LinkPool | null;
  readonly statusQuestions: StatusQuestions;
  /** How far the gateway is now. */
  stage(): LendingStage;
  answer(message: GatewayMessage): void;
  /** Told when the loan has ended at this end; what still comes for it is to be thrown away. */
  onLost(): void;
}

const STOPPING = 'the gateway is about to stop';
const MEMBER_ENDED = 'the member has ended';
const NO_GATEWAY = 'not a gateway of the member';

/** An answer that says that nothing was sent to the member. */
export function notSent(reason: string): MemberReply {
  return {
    rows: [],
    result: { isComplete: false, code: 'busy', text: reason },
    state: 'idle',
    position: null,
  };
}

/** A loan. Its messages are handled in order. */
export class Loan {
  readonly #queue: (ValuesMessage | LoanRequestMessage)[] = [];
  #values: SessionValues = new Map();
  #wait: LinkAcquisition<LinkPool> | null = null;
  #link: PooledLink | null = null;
  #isWorking = false;
  /** The member has been sent a request of the loan, and owes the answer. */
  #isAtMember = false;
  #isOver = false;

  constructor(private readonly options: LoanOptions) {}

  /** Takes a message. */
  push(message: ValuesMessage | LoanRequestMessage): void {
    if (this.#isOver) return;
    this.#queue.push(message);
    if (!this.#isWorking) void this.#work();
  }

  /** The other daemon needs it no more, or has gone. */
  end(): void {
    this.#isOver = true;
    this.#queue.length = 0;
    this.#wait?.cancel();
    this.#giveBack();
  }

  /** Does what the gateway's stage asks for, unless a request is being run: then that is done after its answer. */
  stageChanged(): void {
    if (this.options.stage() !== 'lending') this.#wait?.cancel();
    if (!this.#isWorking) this.#endIfResting();
  }

  /** The life of the member behind a pool has ended. Whoever only waits is told by the pool. */
  memberEnded(pool: LinkPool): void {
    if (this.options.pool === pool && this.#link !== null) this.#lose(MEMBER_ENDED, !this.#isAtMember);
  }

  /** Ends the loan at the last moment, whatever is under way. */
  finish(): void {
    this.#lose(STOPPING, !this.#isAtMember);
  }

  async #work(): Promise<void> {
    this.#isWorking = true;
    for (let message = this.#queue.shift(); message !== undefined; message = this.#queue.shift()) {
      if (message.type === 'values') this.#values = new Map(message.values);
      else if (message.request.kind === 'status' && this.#link === null) await this.#serveStatus();
      else await this.#serve(message);
    }
    this.#isWorking = false;
  }

  async #serveStatus(): Promise<void> {
    if (this.options.pool === null) {
      this.#reply(notSent(NO_GATEWAY));
      return;
    }
    try {
      this.#reply(await this.options.statusQuestions.ask(this.options.pool));
    } catch (error) {
      this.#reply(notSent(`gateway: ${String(error)}`));
    }
  }

  async #serve(message: LoanRequestMessage): Promise<void> {
    const link = this.#link ?? (await this.#take());
    if (link === null) return;
    const wasIdle = link.state === 'idle';
    let { request } = message;
    try {
      await link.setSessionValues(this.#values);
      if (request.kind === 'execute' && message.prepared !== null)
        request = { ...request, name: await link.prepare(message.prepared) };
    } catch (error) {
      this.#giveBack();
      if (wasIdle) this.#reply(notSent(`gateway: ${String(error)}`));
      else this.#lose(error, true);
      return;
    }
    if (this.#link !== link) return;
    try {
      this.#isAtMember = true;
      const reply = await link.send(request);
      if (link.isClean) this.#giveBack();
      this.#reply(reply);
      this.#endIfResting();
    } catch (error) {
      this.#lose(error, error instanceof NotSentError);
    } finally {
      this.#isAtMember = false;
    }
  }

  /** A connection for the requests that follow, or `null` after saying that there is none. */
  async #take(): Promise<PooledLink | null> {
    const { pool, terms } = this.options;
    const obstacle = this.#obstacle();
    if (pool === null || obstacle !== null) {
      this.#reply(notSent(`gateway: ${obstacle ?? NO_GATEWAY}`));
      return null;
    }
    const { tenantName, priority, waitMs } = terms;
    const dueAtMs = performance.now() + waitMs;
    const wait = new LinkAcquisition<LinkPool>(
      { tenantName, values: this.#values, isWrite: false, priority, dueAtMs },
      waitMs,
    );
    this.#wait = wait;
    wait.enqueueAll([{ place: pool, member: pool }]);
    // Whoever waited until the end of the process would not learn that nothing was sent.
    if (this.options.stage() !== 'lending') wait.cancel();
    try {
      const link = (await wait.granted).link as PooledLink;
      if (this.#isOver) {
        pool.release(link);
        return null;
      }
      this.#link = link;
      return link;
    } catch (error) {
      this.#reply(notSent(`gateway: ${String(error)}`));
      return null;
    } finally {
      this.#wait = null;
    }
  }

  /** Why no connection is taken at all, or `null`. */
  #obstacle(): string | null {
    if (this.options.stage() === 'winding_up') return STOPPING;
    return this.options.pool?.isUnavailable === true ? 'the member has too many connections' : null;
  }

  /** A borrower that learns before its next request that nothing of the transaction is kept need not send it. */
  #endIfResting(): void {
    if (this.options.stage() === 'winding_up' && this.#link !== null) this.#lose(STOPPING, true);
  }

  #giveBack(): void {
    const link = this.#link;
    this.#link = null;
    if (link === null) return;
    if (!link.isClean) link.close();
    this.options.pool?.release(link);
  }

  #reply(reply: MemberReply): void {
    if (!this.#isOver) this.options.answer({ type: 'reply', loan: this.options.terms.loan, reply });
  }

  /** Says that the loan is over. Requests that have not been answered, or are still to come, are not run after this. */
  #lose(error: unknown, isUnsent: boolean): void {
    if (this.#isOver) return;
    this.options.answer({ type: 'lost', loan: this.options.terms.loan, reason: String(error), isUnsent });
    this.end();
    this.options.onLost();
  }
}
