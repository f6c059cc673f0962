/**
 * Calls to the platform by an earlier duty holder that the platform may still execute, as far as they concern
 * one promotion.
 *
 * @packageDocumentation
 */
import { delay } from '../common/signal.js';
import type { OrderOutcome } from '../cluster/peer-mesh.js';
import type { MemberGroup } from '../topology/member-group.js';
import type { GroupSupervisorOptions } from './group-supervisor.js';
import type { OpenCalls } from './open-calls.js';
import { REVOCATION_RENEWAL_MS } from './promotion-orders.js';
import type { ReplicaPauses } from './replica-pauses.js';

/** Time limit for a member to report its status, in milliseconds. */
const STATUS_TIMEOUT_MS = 200;
/**
 * Interval between status requests to the member named in a call of an earlier duty holder, in milliseconds.
 */
const POLL_INTERVAL_MS = 100;

/** Dependencies of {@link EarlierCalls}. */
export interface EarlierCallsPorts {
  readonly group: MemberGroup;
  readonly openCalls: OpenCalls;
  readonly pauses: ReplicaPauses;
  readonly options: GroupSupervisorOptions;
  /** The term whose leader is replaced. */
  readonly term: number;
  /** The fencing token while the duty is held, else `null`. */
  fence(): number | null;
  /** Repeats the seal order, which is valid for a limited time only. */
  renewSeal(): void;
}

/** The earlier calls that one promotion waits for. */
export class EarlierCalls {
  constructor(private readonly ports: EarlierCallsPorts) {}

  /** Records the calls of an earlier duty holder that this or another daemon knows of. */
  collect(outcomes: readonly OrderOutcome[], answeredAtMs: number): void {
    const { group, openCalls } = this.ports;
    const reported = outcomes.map((outcome) =>
      outcome.kind === 'answered' ? outcome.answer.openCall : null,
    );
    const fence = this.ports.fence();
    for (const call of [group.calls.open(answeredAtMs), ...reported])
      if (call != null && call.fence !== fence) openCalls.recordEarlier(call, answeredAtMs);
  }

  /**
   * Waits until the platform cannot execute an earlier call any more. A leader promoted before that could be
   * replaced by the member of the earlier call, which may lack the new leader's commits.
   */
  async wait(): Promise<void> {
    const { now } = this.ports.options;
    let sealedAtMs = now();
    for (;;) {
      const leftMs = this.ports.openCalls.untilMs - now();
      if (leftMs <= 0 || (await this.#isSuccessorLeading())) return;
      await delay(Math.min(leftMs, POLL_INTERVAL_MS));
      if (now() - sealedAtMs < REVOCATION_RENEWAL_MS) continue;
      sealedAtMs = now();
      this.ports.renewSeal();
    }
  }

  /**
   * True when the member named in a call of an earlier duty holder leads by now: there is no leader to
   * replace then.
   */
  async #isSuccessorLeading(): Promise<boolean> {
    const { group, openCalls, options, pauses, term } = this.ports;
    const successor =
      openCalls.earlierSuccessorId === null ? undefined : group.members.get(openCalls.earlierSuccessorId);
    if (successor === undefined) return false;
    const answer = await options.control.ask(successor, { kind: 'status' }, STATUS_TIMEOUT_MS);
    const isLeading = answer.kind === 'answered' && answer.status.isPrimary && answer.status.term > term;
    if (isLeading) pauses.observeTerm(answer.status.term);
    return isLeading;
  }
}
