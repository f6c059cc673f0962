/**
 * Asks the platform to make a member lead, and waits until it does or until the platform can do it no more.
 *
 * A call without a refusal may take effect long after it: until then nothing may be acknowledged that the named member has
 * not received. So the same member is named again rather than another, and the wait goes on beyond the last call.
 *
 * @packageDocumentation
 */
import { delay } from '../common/signal.js';
import { hasReached, type Position } from '../position/position.js';
import type { MemberStatus } from '../relay/member-link.js';
import type { ControlAnswer } from './member-control.js';

/** Longest wait for the platform's answer, in milliseconds. */
const CALL_MS = 700;
/** How often a platform that takes the calls is asked, and the time between, in milliseconds. */
const CALLS = 2;
const CALL_SPACING_MS = 1500;
/**
 * For how long one that gives no answer is asked again, and the time between, in milliseconds: it may be away for some seconds,
 * and naming the same member once more does no harm.
 */
const RETRIED_MS = 4500;
const RETRY_MS = 500;
/** Time after a call in which the platform may act on it, in milliseconds: a slow one takes some seconds. */
export const LATE_CALL_MS = 5000;
/** How long the platform takes at least, in milliseconds: the member is not asked before. */
const LEAST_MS = 100;
/** Time between questions to the member, in milliseconds. */
const LOOK_MS = 10;
/** Time between questions once the member is late, in milliseconds. */
const LATE_LOOK_MS = 100;
/** Time between two orders to let go of the old leader, in milliseconds: one holds for less than the whole wait. */
const LET_GO_MS = 700;

/** What an appointment needs. */
export interface AppointmentPorts {
  /** Calls the platform; false when it refused, `null` when the duty is not held for long enough any more. */
  call(timeoutMs: number): Promise<boolean> | null;
  /** Asks the member for its status. */
  status(): Promise<ControlAnswer>;
  /** Asks all daemons again to let go of the old leader. */
  letGo(): void;
  /** Sees that the other replicas stay paused; called with each question to the member. */
  keepPaused(): void;
  now(): number;
}

/**
 * How an appointment ended. `leads`: the member leads with all that it had received; `lacks`: it leads with less, so another life goes
 * by its id; `ended`: its process had ended, and no call is left that could have made its next life lead; `not_done`: it does not
 * lead, and no call is left that may still make it lead.
 */
export type AppointmentOutcome =
  | {
      readonly kind: 'leads' | 'lacks';
      readonly status: MemberStatus;
      /** Until when a further call may make the member lead again, in monotonic milliseconds; `null` when there was one call. */
      readonly openUntilMs: number | null;
    }
  | { readonly kind: 'ended' }
  | { readonly kind: 'not_done' };

/** Whom to appoint over whom. */
export interface Appointee {
  /** Term of the leader that is replaced. */
  readonly oldTerm: number;
  /** What the member had received when it was chosen. */
  readonly received: Position;
}

/** Has a member lead a term after the old one. */
export async function appoint(ports: AppointmentPorts, appointee: Appointee): Promise<AppointmentOutcome> {
  const appointment = new Appointment(ports, appointee);
  const untilMs = ports.now() + RETRIED_MS;
  for (let number = 1; appointment.mayCall; number += 1) {
    const outcome = await appointment.attempt();
    if (outcome !== null) return outcome;
    if (!appointment.isOpen) return NOT_DONE;
    if (appointment.hasEnded) break;
    const isRetried = appointment.isUnanswered && ports.now() < untilMs;
    if (number >= CALLS && !isRetried) break;
  }
  return appointment.awaitLate();
}

const NOT_DONE: AppointmentOutcome = { kind: 'not_done' };

class Appointment {
  /** A call has been made that the platform has not refused. */
  isOpen = false;
  /** The member's process has ended: it is not named again, but its next life may be made to lead. */
  hasEnded = false;
  /** False once the duty is not held for long enough any more. */
  mayCall = true;
  /** The last call got no answer. */
  isUnanswered = false;
  #calledAtMs = Number.NEGATIVE_INFINITY;
  /** Calls that the platform has not refused. */
  #openCalls = 0;
  /** When daemons were last asked to let go. Calls do not count: they may follow each other faster than orders. */
  #letGoAtMs: number;

  constructor(
    private readonly ports: AppointmentPorts,
    private readonly appointee: Appointee,
  ) {
    this.#letGoAtMs = ports.now();
  }

  /** One call, and the usual wait for its effect. */
  async attempt(): Promise<AppointmentOutcome | null> {
    const { ports } = this;
    const call = ports.call(CALL_MS);
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
      const told = (accepted: boolean): void => {
        isRefused = !accepted;
        if (isRefused) resolve();
      };
      call.then(told, () => (this.isUnanswered = true));
    });
    await Promise.race([refusal, delay(LEAST_MS)]);
    while (!isRefused && !this.hasEnded && ports.now() - this.#calledAtMs < this.#spacingMs) {
      const outcome = await this.#look();
      if (outcome !== null) return outcome;
      await Promise.race([refusal, delay(LOOK_MS)]);
    }
    if (isRefused) {
      this.isOpen = wasOpen;
      this.#openCalls -= 1;
    }
    return null;
  }

  get #spacingMs(): number {
    return this.isUnanswered ? RETRY_MS : CALL_SPACING_MS;
  }

  /** Waits until the platform can act on no call any more. */
  async awaitLate(): Promise<AppointmentOutcome> {
    while (this.ports.now() - this.#calledAtMs < LATE_CALL_MS) {
      const outcome = await this.#look();
      if (outcome !== null) return outcome;
      await delay(LATE_LOOK_MS);
    }
    return this.hasEnded ? { kind: 'ended' } : NOT_DONE;
  }

  /** What has become of the member, or `null` while it neither leads nor has ended. */
  async #look(): Promise<AppointmentOutcome | null> {
    const { ports } = this;
    if (ports.now() - this.#letGoAtMs > LET_GO_MS) {
      this.#letGoAtMs = ports.now();
      ports.letGo();
    }
    ports.keepPaused();
    const answer = await ports.status();
    // The platform may start it again, and act on the next life: the call stays open.
    if (answer.kind === 'refused') this.hasEnded = true;
    if (answer.kind !== 'answered') return null;
    const { status } = answer;
    if (!status.isPrimary || status.term <= this.appointee.oldTerm) return null;
    const holdsAll = hasReached(status.received, this.appointee.received);
    const openUntilMs = this.#openCalls > 1 ? this.#calledAtMs + LATE_CALL_MS : null;
    return { kind: holdsAll ? 'leads' : 'lacks', status, openUntilMs };
  }
}
