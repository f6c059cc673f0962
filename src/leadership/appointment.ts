/**
 * Asks the platform to promote a member, and waits until the member leads or the platform cannot promote it
 * any more.
 *
 * A call that was not refused may take effect long after it was made: until then, nothing may be acknowledged
 * that the successor has not received. So the calls are repeated for the same member rather than another, and
 * the wait extends beyond the last call.
 *
 * @packageDocumentation
 */
import { delay } from '../common/signal.js';
import { hasReached, type Position } from '../position/position.js';
import type { MemberStatus } from '../relay/member-link.js';
import type { ControlAnswer } from './member-control.js';

/** Time limit for the platform's answer, in milliseconds. */
const CALL_TIMEOUT_MS = 700;
/** Number of calls to a platform that answers them, and the interval between them, in milliseconds. */
const MAX_ANSWERED_CALLS = 2;
const CALL_INTERVAL_MS = 1500;
/**
 * Period in which calls without an answer are retried, and the retry interval, in milliseconds. The platform
 * may be unreachable for some seconds, and repeating a call for the same member does no harm.
 */
const RETRY_PERIOD_MS = 4500;
const RETRY_INTERVAL_MS = 500;
/**
 * Time after a call in which the platform may still execute it, in milliseconds: a slow platform takes some
 * seconds.
 */
export const CALL_EFFECT_WINDOW_MS = 5000;
/** Shortest time in which the platform promotes, in milliseconds: the member is not asked earlier. */
const MIN_PROMOTION_MS = 100;
/** Interval between status requests to the member, in milliseconds. */
const POLL_INTERVAL_MS = 10;
/** Interval between status requests after the last call, in milliseconds. */
const LATE_POLL_INTERVAL_MS = 100;
/**
 * Interval at which the revocation of the old leader is renewed, in milliseconds: one order is valid for less
 * than the whole wait.
 */
const REVOCATION_RENEWAL_MS = 700;

/** Dependencies of an appointment. */
export interface AppointmentPorts {
  /** Calls the platform; false when it refused, `null` when the duty is not held for long enough to call. */
  call(timeoutMs: number): Promise<boolean> | null;
  /** Asks the member for its status. */
  status(): Promise<ControlAnswer>;
  /** Repeats the order to all daemons that revokes the old leader. */
  renewRevocation(): void;
  /** Pauses other replicas that are not paused any more; called with each status request to the member. */
  enforcePauses(): void;
  now(): number;
}

/**
 * Result of an appointment. `leads`: the member leads and holds all that it had received; `lacks`: it leads
 * with less, so it is another incarnation with the same id; `ended`: its process has ended, and no open call
 * can promote its next incarnation any more; `not_done`: it does not lead, and no open call can promote it
 * any more.
 */
export type AppointmentOutcome =
  | {
      readonly kind: 'leads' | 'lacks';
      readonly status: MemberStatus;
      /**
       * Until when another open call may promote the member again, in monotonic milliseconds; `null` when
       * there was one call.
       */
      readonly openUntilMs: number | null;
    }
  | { readonly kind: 'ended' }
  | { readonly kind: 'not_done' };

/** The member to appoint, and the term it replaces. */
export interface Appointee {
  /** Term of the leader that is replaced. */
  readonly oldTerm: number;
  /** What the member had received when it was chosen. */
  readonly received: Position;
}

/** Promotes a member to lead a term after the old one. */
export async function appoint(ports: AppointmentPorts, appointee: Appointee): Promise<AppointmentOutcome> {
  const appointment = new Appointment(ports, appointee);
  const untilMs = ports.now() + RETRY_PERIOD_MS;
  for (let number = 1; appointment.mayCall; number += 1) {
    const outcome = await appointment.attempt();
    if (outcome !== null) return outcome;
    if (!appointment.isOpen) return NOT_DONE;
    if (appointment.hasEnded) break;
    const isRetried = appointment.isUnanswered && ports.now() < untilMs;
    if (number >= MAX_ANSWERED_CALLS && !isRetried) break;
  }
  return appointment.awaitLateEffect();
}

const NOT_DONE: AppointmentOutcome = { kind: 'not_done' };

class Appointment {
  /** True when a call has been made that the platform has not refused. */
  isOpen = false;
  /**
   * The member's process has ended: no more calls are made, but an open one may promote its next incarnation.
   */
  hasEnded = false;
  /** False once the duty is not held for long enough to call. */
  mayCall = true;
  /** The last call got no answer. */
  isUnanswered = false;
  #calledAtMs = Number.NEGATIVE_INFINITY;
  /** Number of calls that the platform has not refused. */
  #openCalls = 0;
  /**
   * When the revocation was last renewed. Independent of the calls, which may follow each other faster than
   * the orders.
   */
  #revocationRenewedAtMs: number;

  constructor(
    private readonly ports: AppointmentPorts,
    private readonly appointee: Appointee,
  ) {
    this.#revocationRenewedAtMs = ports.now();
  }

  /** Makes one call and waits for its effect until the next call is due. */
  async attempt(): Promise<AppointmentOutcome | null> {
    const { ports } = this;
    const call = ports.call(CALL_TIMEOUT_MS);
    if (call === null) {
      this.mayCall = false;
      return null;
    }
    const wasOpen = this.isOpen;
    this.isOpen = true;
    this.#openCalls += 1;
    this.#calledAtMs = ports.now();
    let isRefused = false;
    this.isUnanswered = false;
    const refusal = new Promise<void>((resolve) => {
      const onReply = (accepted: boolean): void => {
        isRefused = !accepted;
        if (isRefused) resolve();
      };
      call.then(onReply, () => (this.isUnanswered = true));
    });
    await Promise.race([refusal, delay(MIN_PROMOTION_MS)]);
    while (!isRefused && !this.hasEnded && ports.now() - this.#calledAtMs < this.#callIntervalMs) {
      const outcome = await this.#pollMember();
      if (outcome !== null) return outcome;
      await Promise.race([refusal, delay(POLL_INTERVAL_MS)]);
    }
    if (isRefused) {
      this.isOpen = wasOpen;
      this.#openCalls -= 1;
    }
    return null;
  }

  get #callIntervalMs(): number {
    return this.isUnanswered ? RETRY_INTERVAL_MS : CALL_INTERVAL_MS;
  }

  /** Waits until the platform cannot execute any call any more. */
  async awaitLateEffect(): Promise<AppointmentOutcome> {
    while (this.ports.now() - this.#calledAtMs < CALL_EFFECT_WINDOW_MS) {
      const outcome = await this.#pollMember();
      if (outcome !== null) return outcome;
      await delay(LATE_POLL_INTERVAL_MS);
    }
    return this.hasEnded ? { kind: 'ended' } : NOT_DONE;
  }

  /** Asks the member for its status; `null` while it does not lead. */
  async #pollMember(): Promise<AppointmentOutcome | null> {
    const { ports } = this;
    if (ports.now() - this.#revocationRenewedAtMs > REVOCATION_RENEWAL_MS) {
      this.#revocationRenewedAtMs = ports.now();
      ports.renewRevocation();
    }
    ports.enforcePauses();
    const answer = await ports.status();
    // The platform may restart the member and promote the next incarnation: the call stays open.
    if (answer.kind === 'refused') this.hasEnded = true;
    if (answer.kind !== 'answered') return null;
    const { status } = answer;
    if (!status.isPrimary || status.term <= this.appointee.oldTerm) return null;
    const holdsAll = hasReached(status.received, this.appointee.received);
    const openUntilMs = this.#openCalls > 1 ? this.#calledAtMs + CALL_EFFECT_WINDOW_MS : null;
    return { kind: holdsAll ? 'leads' : 'lacks', status, openUntilMs };
  }
}
