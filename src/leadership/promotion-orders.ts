/**
 * The orders of one promotion to the other daemons, and their answers.
 *
 * @packageDocumentation
 */
import { delay } from '../common/signal.js';
import type { HolderOrder, OrderOutcome } from '../cluster/peer-mesh.js';
import type { Position } from '../position/position.js';
import type { MemberGroup } from '../topology/member-group.js';
import type { Acknowledged } from './acknowledged.js';
import { CALL_EFFECT_WINDOW_MS } from './appointment.js';
import type { GroupSupervisorOptions } from './group-supervisor.js';
import { EVIDENCE_VALIDITY_MS, REGISTRATION_SETTLE_MS } from './leadership-evidence.js';
import type { OpenCall } from './open-calls.js';
import { acknowledgedBy, hasUnanswered, mergeLeaderPositions } from './order-outcomes.js';

/**
 * Safety margin before the end of the registration wait, in milliseconds. Pauses that complete within this
 * margin of it count as late: a daemon that registered in the meantime may already hold evidence.
 */
const REGISTRATION_MARGIN_MS = 100;
/** Time limit for the other daemons to answer an order, in milliseconds. */
const ORDER_TIMEOUT_MS = 200;
/**
 * Interval at which revoke and seal orders are repeated during a wait, in milliseconds: one order is valid
 * for less than the whole wait.
 */
export const REVOCATION_RENEWAL_MS = 700;
/**
 * Interval at which daemons that have not answered a revoke order are asked again, in milliseconds: far shorter
 * than the validity of the evidence that is otherwise waited out.
 */
const UNANSWERED_RETRY_MS = 150;

/** An order to daemons to drop their evidence of a leader. */
type RevocationOrder = Extract<HolderOrder, { kind: 'revoke' | 'seal' }>;

/** Outcome of an order, by daemon name. */
type Outcomes = ReadonlyMap<string, OrderOutcome>;

/** What the daemons answered when the term was sealed. */
export interface SealAnswers {
  /** What each daemon has acknowledged. */
  readonly acknowledged: readonly Acknowledged[];
  readonly replies: readonly OrderOutcome[];
  /** When all answers were in. */
  readonly answeredAtMs: number;
}

/** A leader to announce to the other daemons. */
export interface Announcement {
  readonly memberId: string;
  readonly term: number;
  readonly held: Position;
  /** A further call to the platform may still take effect. */
  readonly mayBeReplaced: boolean;
}

/** The orders of one promotion. */
export class PromotionOrders {
  /** When the first order was sent, before the register of daemons was read. */
  #startedAtMs = Number.POSITIVE_INFINITY;
  /** When the answers to the revoke order were in. */
  #revokedAtMs = Number.NEGATIVE_INFINITY;
  #hasUnansweredDaemon = false;
  /** The last call to the platform, and until when the platform may still execute it. */
  #lastCall: { readonly memberId: string; readonly fence: number; readonly untilMs: number } | null = null;

  /** @param term - the term whose leader is replaced */
  constructor(
    private readonly group: MemberGroup,
    private readonly options: GroupSupervisorOptions,
    private readonly term: number,
  ) {}

  /** True when a daemon did not confirm an order: it may hold evidence until that expires. */
  get hasUnansweredDaemon(): boolean {
    return this.#hasUnansweredDaemon;
  }

  /** Revokes the evidence of the leader at this daemon and all others. */
  revoke(): Promise<Outcomes> {
    this.#startedAtMs = Math.min(this.#startedAtMs, this.options.now());
    this.group.evidence.revoke(this.term, this.options.now());
    return this.options.order(this.#order('revoke'), ORDER_TIMEOUT_MS);
  }

  /**
   * Waits for the answers to the revoke order, and until the daemons that did not answer have done so or their
   * evidence has expired.
   *
   * @param pausedAtMs - since when the members give no evidence
   */
  async awaitRevocation(revoking: Promise<Outcomes>, pausedAtMs: number): Promise<Outcomes> {
    const first = await revoking;
    const outcomes = new Map([...first, ...(await this.#revokeStartedSince(first))]);
    await this.#awaitAnswers(outcomes, pausedAtMs + EVIDENCE_VALIDITY_MS);
    this.#revokedAtMs = this.options.now();
    this.#hasUnansweredDaemon = hasUnanswered(outcomes);
    await this.awaitExpiry(pausedAtMs);
    return outcomes;
  }

  /** Asks the daemons that have not answered again until they have, and adds their answers to the outcomes. */
  async #awaitAnswers(outcomes: Map<string, OrderOutcome>, untilMs: number): Promise<void> {
    const { now } = this.options;
    let renewedAtMs = now();
    while (hasUnanswered(outcomes) && now() < untilMs) {
      await delay(Math.min(untilMs - now(), UNANSWERED_RETRY_MS));
      if (now() - renewedAtMs > REVOCATION_RENEWAL_MS) {
        renewedAtMs = now();
        void this.revoke();
      }
      const asking = this.#askAgain(outcomes);
      await Promise.race([asking, delay(Math.max(0, untilMs - now()))]);
    }
  }

  async #askAgain(outcomes: Map<string, OrderOutcome>): Promise<void> {
    const unanswered = [...outcomes].filter(([, { kind }]) => kind === 'silent').map(([name]) => name);
    const answers = await this.options.order(this.#order('revoke'), ORDER_TIMEOUT_MS, {
      only: new Set(unanswered),
    });
    for (const [name, outcome] of answers) if (outcome.kind !== 'silent') outcomes.set(name, outcome);
  }

  /**
   * Waits until evidence from members that were paused at the given time has expired, if a daemon may hold
   * it that did not answer or that has registered since the promotion began.
   */
  async awaitExpiry(pausedAtMs: number): Promise<void> {
    if (this.#hasUnansweredDaemon || this.#mayNewDaemonCountEvidence(pausedAtMs))
      await this.#waitWhileRevoked(pausedAtMs + EVIDENCE_VALIDITY_MS);
  }

  /**
   * Seals the term at all daemons and returns what they have acknowledged. A daemon acknowledges nothing of
   * the term after its reply; the evidence of one that does not reply has expired when this resolves. The
   * replies to the revoke order are not final: a write in flight at that time may have been acknowledged
   * since.
   */
  async seal(outcomes: Outcomes): Promise<SealAnswers> {
    const { group, options } = this;
    group.evidence.seal(this.term, options.now());
    const sealedAtMs = options.now();
    const unanswered = new Set(
      [...outcomes].filter(([, { kind }]) => kind === 'silent').map(([name]) => name),
    );
    // Includes daemons that have registered since: their evidence counts some time after registration, which
    // may be during the promotion.
    const replies = await options.order(this.#order('seal'), ORDER_TIMEOUT_MS, { except: unanswered });
    const answeredAtMs = options.now();
    const haveAllAnswered = [...replies].every(
      ([name, { kind }]) => unanswered.has(name) || kind !== 'silent',
    );
    if (!haveAllAnswered) this.#hasUnansweredDaemon = true;
    if (!haveAllAnswered) await this.#waitWhileRevoked(this.#revokedAtMs + EVIDENCE_VALIDITY_MS);
    const reported = [...outcomes].map(([name, outcome]) => {
      const reply = replies.get(name);
      return reply?.kind === 'answered' ? reply : withoutLimit(outcome);
    });
    const registeredSince = [...replies]
      .filter(([name]) => !outcomes.has(name))
      .map(([, outcome]) => outcome);
    const ownPositionSince = (ms: number): Position | null =>
      group.positions.floorSince(ms)?.position ?? null;
    const leaderPositionSince = mergeLeaderPositions(ownPositionSince, replies.values(), sealedAtMs);
    const acknowledged = [...reported, ...registeredSince].map((reply) =>
      acknowledgedBy(reply, answeredAtMs, leaderPositionSince),
    );
    return { acknowledged, replies: [...outcomes.values(), ...replies.values()], answeredAtMs };
  }

  /**
   * Repeats the seal order, which is valid for a limited time only; daemons that have started since receive
   * it too.
   */
  renewSeal(): void {
    this.group.evidence.seal(this.term, this.options.now());
    void this.options.order({ ...this.#order('seal'), ...this.#openCall() }, ORDER_TIMEOUT_MS);
  }

  /** A call to the platform is about to be made: the daemons are told with each further order. */
  recordCall(memberId: string, fence: number): void {
    this.#lastCall = { memberId, fence, untilMs: this.options.now() + CALL_EFFECT_WINDOW_MS };
  }

  /** Tells the daemons who leads. */
  announce({ mayBeReplaced, ...leader }: Announcement): void {
    const furtherCall = mayBeReplaced ? this.#openCall() : {};
    const announcement = { kind: 'leader', groupName: this.group.name, ...leader } as const;
    void this.options.order({ ...announcement, ...furtherCall }, ORDER_TIMEOUT_MS);
  }

  /** Lifts the revocation: the promotion was abandoned. */
  allow(): void {
    this.group.evidence.liftRevocation();
    void this.options.order({ kind: 'allow', groupName: this.group.name }, ORDER_TIMEOUT_MS);
  }

  #order(kind: RevocationOrder['kind']): RevocationOrder {
    return { kind, groupName: this.group.name, term: this.term };
  }

  /** The last call, which the platform may still execute: the daemons report it to the next duty holder. */
  #openCall(): { readonly call?: OpenCall } {
    if (this.#lastCall === null) return {};
    const { untilMs, ...call } = this.#lastCall;
    return { call: { ...call, leftMs: Math.max(0, untilMs - this.options.now()) } };
  }

  /**
   * Repeats the revoke order to daemons whose process was not running before the pauses: one that has started
   * since may have obtained evidence from members that were not paused yet. Answers that it gets from now on do
   * not count as evidence.
   */
  async #revokeStartedSince(outcomes: Outcomes): Promise<Outcomes> {
    const gone = [...outcomes].filter(([, { kind }]) => kind === 'gone').map(([name]) => name);
    if (gone.length === 0) return new Map();
    return this.options.order(this.#order('revoke'), ORDER_TIMEOUT_MS, { only: new Set(gone) });
  }

  /** Waits, and repeats the revoke order, which is valid for a limited time only. */
  async #waitWhileRevoked(untilMs: number): Promise<void> {
    const { now } = this.options;
    for (;;) {
      const leftMs = untilMs - now();
      if (leftMs <= 0) return;
      await delay(Math.min(leftMs, REVOCATION_RENEWAL_MS));
      if (now() < untilMs) void this.revoke();
    }
  }

  /** True when a daemon that has registered since the promotion began may count evidence at that time. */
  #mayNewDaemonCountEvidence(atMs: number): boolean {
    return atMs - this.#startedAtMs > REGISTRATION_SETTLE_MS - REGISTRATION_MARGIN_MS;
  }
}

/**
 * The answer of a daemon that was not sent the seal order, or did not reply to it: it may have acknowledged
 * more since.
 */
function withoutLimit(outcome: OrderOutcome): OrderOutcome {
  if (outcome.kind !== 'answered') return outcome;
  return { kind: 'answered', answer: { latest: outcome.answer.latest, limit: null } };
}
