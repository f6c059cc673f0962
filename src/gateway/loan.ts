/**
 * One use of a member connection by another daemon, as handled by the gateway that lends it.
 *
 * @packageDocumentation
 */
import { AdmissionError } from '../admission/admission-error.js';
import type { Leader } from '../leadership/leadership-evidence.js';
import type { LinkPool } from '../relay/link-pool.js';
import { isNonEmptyLog, OTHER_INCARNATION } from '../relay/leader-identity.js';
import { LinkAcquisition } from '../relay/link-acquisition.js';
import { NotSentError, type MemberReply, type MemberRequest } from '../relay/member-link.js';
import { ZERO_POSITION } from '../position/position.js';
import type { PooledLink } from '../relay/pooled-link.js';
import type { LeaderCheck, LeaderVerdict, SessionValues } from '../relay/session-link.js';
import type { BorrowMessage, GatewayMessage, LoanRequestMessage, ValuesMessage } from './gateway-messages.js';
import type { StatusQuestions } from './status-questions.js';

/**
 * Shutdown stage of a gateway. `leaving`: no loan may wait for a connection. `winding_up`: in addition, loans
 * that are idle in a transaction are ended, and no loan gets a connection.
 */
export type LendingStage = 'lending' | 'leaving' | 'winding_up';

/** Parameters and callbacks of a loan. */
export interface LoanOptions {
  readonly terms: BorrowMessage;
  /** The pool of the member; `null` if this daemon does not connect to it. */
  readonly pool: LinkPool | null;
  readonly statusQuestions: StatusQuestions;
  /** Verifies the process of the group's leader; `null` if this daemon does not know the group. */
  readonly leaderCheck: LeaderCheck | null;
  /** The gateway's current stage. */
  stage(): LendingStage;
  answer(message: GatewayMessage): void;
  /** Called when the loan was ended by this gateway; later messages for it are to be discarded. */
  onLost(): void;
}

/**
 * Maximum time that a request may have waited at a gateway without evidence of the leader, in milliseconds.
 * The borrower has checked its evidence before it sent the request; a promotion that does not reach the gateway
 * waits longer than this for its answer.
 */
const MAX_UNPROVEN_WAIT_MS = 100;

/**
 * How long a granted connection is kept for the request that it was granted for, in milliseconds. Covers a
 * round trip between zones and a scheduling delay of the borrower.
 */
const GRANT_USE_MS = 100;

const GRANT_OVER = 'the granted connection was not used in time';
const GATEWAY_STOPPING = 'the gateway is about to stop';
const MEMBER_ENDED = 'the member has ended';
const NOT_A_GATEWAY = 'not a gateway of the member';
const NOT_LENT = 'not a request of a session';

/** A reply stating that nothing was sent to the member. */
export function notSentReply(reason: string): MemberReply {
  return {
    rows: [],
    result: { isComplete: false, code: 'busy', text: reason },
    state: 'idle',
    position: null,
    isOfGateway: true,
  };
}

/**
 * A reply stating that nothing was sent to a process that may not be the leader's. An empty process refuses
 * what names a position, by which the borrower knows that the leader has lost its log.
 */
function wrongProcessReply(verdict: Exclude<LeaderVerdict, 'leader'>, request: MemberRequest): MemberReply {
  const namesPosition = 'after' in request && isNonEmptyLog(request.after);
  if (verdict !== 'empty' || !namesPosition) return notSentReply(`gateway: ${OTHER_INCARNATION}`);
  const result = { isComplete: false, code: 'behind', text: OTHER_INCARNATION } as const;
  return { rows: [], result, state: 'idle', position: ZERO_POSITION };
}

/**
 * True if a borrower may have the request sent. Names and session values of a connection are set by its gateway
 * alone, so a prepared statement has to come with what it does, whatever name the borrower has for it.
 */
function isLent({ request, prepared }: LoanRequestMessage): boolean {
  switch (request.kind) {
    case 'begin':
    case 'rollback':
    case 'statement':
    case 'status':
      return true;
    case 'execute':
      return prepared !== null;
    case 'reset':
    case 'set':
    case 'prepare':
    case 'pause':
    case 'resume':
    case 'demote':
      return false;
  }
}

/** False if the leader may have been replaced since the borrower sent the request. */
function mayStillLead(check: LeaderCheck, leader: Leader, receivedAtMs: number): boolean {
  if (check.isReplaced(leader)) return false;
  return performance.now() - receivedAtMs <= MAX_UNPROVEN_WAIT_MS || check.isProven(leader);
}

/**
 * When a loan's request is due, in monotonic milliseconds of this gateway. Daemons of earlier builds send no due
 * time: the end of their wait counts as such.
 */
function dueAtGateway({ dueInMs, waitMs }: BorrowMessage, borrowedAtMs: number): number {
  const isGiven = typeof dueInMs === 'number' && Number.isFinite(dueInMs);
  return isGiven ? borrowedAtMs + dueInMs : performance.now() + waitMs;
}

/** A message of the borrower, and when it was received, in monotonic milliseconds. */
interface QueuedMessage {
  readonly message: BorrowMessage | ValuesMessage | LoanRequestMessage;
  readonly receivedAtMs: number;
}

/** Processes the messages of one loan in order. */
export class Loan {
  readonly #queue: QueuedMessage[] = [];
  /** When the terms were received, in monotonic milliseconds. */
  readonly #receivedAtMs = performance.now();
  #values: SessionValues = new Map();
  #wait: LinkAcquisition<LinkPool> | null = null;
  #link: PooledLink | null = null;
  #isProcessing = false;
  /** Runs while a granted connection waits for its request. */
  #grantTimer: NodeJS.Timeout | undefined;
  /** True once a grant was refused or has expired: requests of this loan are not sent to the member. */
  #isGrantOver = false;
  /** True while a request has been sent to the member and its reply has not arrived. */
  #isRequestInFlight = false;
  #hasEnded = false;

  constructor(private readonly options: LoanOptions) {}

  /** Acquires a connection for the request to come, and tells the borrower when there is one. */
  requestGrant(): void {
    this.enqueue(this.options.terms);
  }

  /** Queues a message and starts processing if necessary. */
  enqueue(message: BorrowMessage | ValuesMessage | LoanRequestMessage): void {
    if (this.#hasEnded) return;
    this.#queue.push({ message, receivedAtMs: performance.now() });
    if (!this.#isProcessing) void this.#processQueue();
  }

  /** Ends the loan because the borrower returned it or disconnected. */
  end(): void {
    this.#hasEnded = true;
    this.#queue.length = 0;
    this.#wait?.cancel();
    clearTimeout(this.#grantTimer);
    this.#releaseLink();
  }

  /**
   * Applies the gateway's new stage: cancels a wait, or ends an idle loan. A request in progress is completed
   * first.
   */
  stageChanged(): void {
    if (this.options.stage() !== 'lending') this.#wait?.cancel();
    if (!this.#isProcessing) this.#endIfIdle();
  }

  /**
   * Ends the loan if it holds a connection of a pool whose member's incarnation has ended. The pool itself
   * fails waiting loans.
   */
  endIfUsing(pool: LinkPool): void {
    if (this.options.pool === pool && this.#link !== null)
      this.#endAsLost(MEMBER_ENDED, !this.#isRequestInFlight);
  }

  /** Ends the loan at once, even if a request is in flight. */
  finish(): void {
    this.#endAsLost(GATEWAY_STOPPING, !this.#isRequestInFlight);
  }

  async #processQueue(): Promise<void> {
    this.#isProcessing = true;
    for (let next = this.#queue.shift(); next !== undefined; next = this.#queue.shift()) {
      const { message, receivedAtMs } = next;
      if (message.type === 'borrow') await this.#grant();
      else if (message.type === 'values') this.#values = new Map(message.values);
      else if (message.request.kind === 'status' && this.#link === null) await this.#serveStatus();
      else await this.#serve(message, receivedAtMs);
    }
    this.#isProcessing = false;
  }

  /** Acquires a connection and keeps it for a short time; replies that nothing was sent if there is none. */
  async #grant(): Promise<void> {
    // Values that arrived together with the loan select the connection.
    await Promise.resolve();
    while (this.#queue[0]?.message.type === 'values')
      this.#values = new Map((this.#queue.shift()?.message as ValuesMessage).values);
    if (this.#hasEnded) return;
    if ((await this.#acquireLink()) === null) {
      this.#isGrantOver = true;
      return;
    }
    this.#grantTimer = setTimeout(() => this.#expireGrant(), GRANT_USE_MS);
    this.options.answer({ type: 'granted', loan: this.options.terms.loan });
    this.#endIfIdle();
  }

  #expireGrant(): void {
    this.#isGrantOver = true;
    this.#releaseLink();
  }

  async #serveStatus(): Promise<void> {
    if (this.options.pool === null) {
      this.#reply(notSentReply(NOT_A_GATEWAY));
      return;
    }
    try {
      this.#reply(await this.options.statusQuestions.ask(this.options.pool));
    } catch (error) {
      this.#reply(notSentReply(`gateway: ${String(error)}`));
    }
  }

  async #serve(message: LoanRequestMessage, receivedAtMs: number): Promise<void> {
    clearTimeout(this.#grantTimer);
    if (this.#isGrantOver) {
      this.#reply(notSentReply(`gateway: ${GRANT_OVER}`));
      return;
    }
    if (!isLent(message)) {
      this.#endAsLost(NOT_LENT, true);
      return;
    }
    const link = this.#link ?? (await this.#acquireLink());
    if (link === null) return;
    const wasIdle = link.state === 'idle';
    let { request } = message;
    let verdict: LeaderVerdict;
    try {
      await link.setSessionValues(this.#values);
      if (request.kind === 'execute' && message.prepared !== null)
        request = { ...request, name: await link.prepare(message.prepared) };
      verdict = await this.#verifyLeader(link, message.leader, receivedAtMs);
    } catch (error) {
      this.#releaseLink();
      if (wasIdle) this.#reply(notSentReply(`gateway: ${String(error)}`));
      else this.#endAsLost(error, true);
      return;
    }
    if (this.#link !== link) return;
    if (verdict !== 'leader') {
      this.#releaseLink();
      this.#reply(wrongProcessReply(verdict, request));
      return;
    }
    try {
      this.#isRequestInFlight = true;
      const reply = await link.send(request);
      if (link.isClean) this.#releaseLink();
      this.#reply(reply, message.leader !== undefined && link.isVerifiedLeader(message.leader));
      this.#endIfIdle();
    } catch (error) {
      this.#endAsLost(error, error instanceof NotSentError);
    } finally {
      this.#isRequestInFlight = false;
    }
  }

  /**
   * Whether the process at the other end of a connection is the leader that the borrower requires, if any. An
   * open transaction goes on when its leader is replaced, as over a direct connection.
   */
  async #verifyLeader(
    link: PooledLink,
    leader: Leader | undefined,
    receivedAtMs: number,
  ): Promise<LeaderVerdict> {
    const { leaderCheck } = this.options;
    if (leader === undefined) return 'leader';
    if (leaderCheck === null) return 'unknown';
    const isBeginning = link.state === 'idle';
    if (isBeginning && !mayStillLead(leaderCheck, leader, receivedAtMs)) return 'unknown';
    const verdict = await link.verifyLeader(leader, leaderCheck);
    if (verdict !== 'leader' || !isBeginning) return verdict;
    return mayStillLead(leaderCheck, leader, receivedAtMs) ? 'leader' : 'unknown';
  }

  /**
   * Acquires a connection for the following requests; replies that nothing was sent and returns `null` if
   * there is none.
   */
  async #acquireLink(): Promise<PooledLink | null> {
    const { pool, terms } = this.options;
    const refusalReason = this.#refusalReason();
    if (pool === null || refusalReason !== null) {
      this.#reply(notSentReply(`gateway: ${refusalReason ?? NOT_A_GATEWAY}`));
      return null;
    }
    const { tenantName, priority, waitMs, isWrite = false } = terms;
    const dueAtMs = dueAtGateway(terms, this.#receivedAtMs);
    const deadlineMs = performance.now() + waitMs;
    const wait = new LinkAcquisition<LinkPool>(
      { tenantName, values: this.#values, isWrite, priority, dueAtMs, deadlineMs },
      waitMs,
    );
    this.#wait = wait;
    wait.enqueueAll([{ source: pool, member: pool }]);
    // A borrower left waiting until the process ends would not learn that nothing was sent.
    if (this.options.stage() !== 'lending') wait.cancel();
    try {
      const link = (await wait.granted).link as PooledLink;
      if (this.#hasEnded) {
        pool.release(link);
        return null;
      }
      this.#link = link;
      return link;
    } catch (error) {
      const retryAfterMs = error instanceof AdmissionError ? error.retryAfterMs : null;
      this.#reply(notSentReply(`gateway: ${String(error)}`), false, retryAfterMs);
      return null;
    } finally {
      this.#wait = null;
    }
  }

  /** The reason for which no connection may be acquired, or `null`. */
  #refusalReason(): string | null {
    if (this.options.stage() === 'winding_up') return GATEWAY_STOPPING;
    return this.options.pool?.isUnavailable === true ? 'the member has too many connections' : null;
  }

  /**
   * While winding up, ends a loan that still holds a connection between requests, so that the borrower learns
   * of the rollback before it sends the next request.
   */
  #endIfIdle(): void {
    if (this.options.stage() === 'winding_up' && this.#link !== null) this.#endAsLost(GATEWAY_STOPPING, true);
  }

  #releaseLink(): void {
    const link = this.#link;
    this.#link = null;
    if (link === null) return;
    if (!link.isClean) link.close();
    this.options.pool?.release(link);
  }

  #reply(reply: MemberReply, isLeader = false, retryAfterMs: number | null = null): void {
    if (this.#hasEnded) return;
    const { loan } = this.options.terms;
    this.options.answer({
      type: 'reply',
      loan,
      reply,
      ...(isLeader ? { isLeader } : {}),
      ...(retryAfterMs === null ? {} : { retryAfterMs }),
    });
  }

  /**
   * Ends the loan and reports this to the borrower. Requests that are unanswered or still to come are not run
   * after this.
   */
  #endAsLost(error: unknown, isUnsent: boolean): void {
    if (this.#hasEnded) return;
    this.options.answer({ type: 'lost', loan: this.options.terms.loan, reason: String(error), isUnsent });
    this.end();
    this.options.onLost();
  }
}
