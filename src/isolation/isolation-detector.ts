/**
 * Decides whether this daemon is cut off from everything outside its zone. Pure: the caller passes the time
 * and what was observed.
 *
 * @packageDocumentation
 */

/** Time without a byte from outside, while an answer is awaited, after which the daemon pings, in milliseconds. */
const SUSPICION_MS = 350;
/** Time for an answer to these pings, in milliseconds. */
const PING_ANSWER_MS = 350;
/** How long bytes have to arrive from outside until the isolation ends, in milliseconds. */
const CONTACT_MS = 500;
/**
 * Time without bytes that interrupts a contact, in milliseconds: the interval of the pings during an
 * isolation, and as much again for their answers.
 */
const MAX_CONTACT_GAP_MS = 400;
/**
 * How long bytes have to arrive until the isolation ends without evidence of most leaders, in milliseconds: the
 * leaders may be missing for all daemons.
 */
const CONTACT_WITHOUT_EVIDENCE_MS = 3000;
/**
 * Time between two updates that counts as a pause of this process, in milliseconds; updates come every 50 or
 * 100 ms. What arrived during the pause may not have been read yet.
 */
const PAUSE_MS = 200;

/** `suspicious`: the path to the other zones is being checked with pings. */
export type IsolationState = 'connected' | 'suspicious' | 'isolated';

/** What is known at the time of an update; times in monotonic milliseconds. */
export interface IsolationObservation {
  readonly nowMs: number;
  /** When bytes were last received from outside. */
  readonly lastReceivedMs: number;
  /** Since when an answer from outside has been awaited without any byte; `null` if none is awaited. */
  readonly silentSinceMs: number | null;
  /** False turns the detection off: no other daemon could serve the clients. */
  readonly hasOutsideDaemons: boolean;
  /** True if most groups have evidence of their leader. */
  readonly hasMostEvidence: boolean;
}

/** State of the detection, to be updated every few tens of milliseconds. */
export class IsolationDetector {
  #state: IsolationState = 'connected';
  #updatedAtMs: number | null = null;
  /** When the last pause of this process was noticed: silence counts only from then on. */
  #resumedAtMs = Number.NEGATIVE_INFINITY;
  #suspiciousSinceMs = 0;
  /** Start of the silence that led to the current suspicion or isolation. */
  #silentSinceMs = 0;
  /** Since when bytes have arrived during an isolation; `null` while none do. */
  #contactSinceMs: number | null = null;

  get state(): IsolationState {
    return this.#state;
  }

  /** Start of the silence that led to the current or last isolation, in monotonic milliseconds. */
  get silentSinceMs(): number {
    return this.#silentSinceMs;
  }

  /** Updates and returns the state. */
  update(observation: IsolationObservation): IsolationState {
    const { nowMs } = observation;
    const sinceUpdateMs = nowMs - (this.#updatedAtMs ?? Number.NEGATIVE_INFINITY);
    if (sinceUpdateMs >= PAUSE_MS) this.#resume(nowMs, sinceUpdateMs);
    this.#updatedAtMs = nowMs;
    this.#state = observation.hasOutsideDaemons ? this.#next(observation) : 'connected';
    return this.#state;
  }

  #resume(nowMs: number, pauseMs: number): void {
    this.#resumedAtMs = nowMs;
    // A shorter pause leaves it to the gap between bytes whether the contact goes on: a process that is short of
    // processor time is paused repeatedly, and its isolation would never end.
    if (pauseMs >= MAX_CONTACT_GAP_MS) this.#contactSinceMs = null;
    if (this.#state === 'suspicious') this.#state = 'connected';
  }

  #next(observation: IsolationObservation): IsolationState {
    const { nowMs, lastReceivedMs } = observation;
    switch (this.#state) {
      case 'connected': {
        const silentSinceMs = this.#countedSilenceStart(observation);
        if (silentSinceMs === null || nowMs - silentSinceMs < SUSPICION_MS) return 'connected';
        this.#silentSinceMs = silentSinceMs;
        this.#suspiciousSinceMs = nowMs;
        return 'suspicious';
      }
      case 'suspicious':
        if (lastReceivedMs > this.#silentSinceMs) return 'connected';
        if (nowMs - this.#suspiciousSinceMs < PING_ANSWER_MS) return 'suspicious';
        this.#contactSinceMs = null;
        return 'isolated';
      case 'isolated':
        this.#updateContact(observation);
        return this.#hasRecovered(observation) ? 'connected' : 'isolated';
    }
  }

  /** Start of the current silence, not counting pauses of this process; `null` without one. */
  #countedSilenceStart({ silentSinceMs }: IsolationObservation): number | null {
    return silentSinceMs === null ? null : Math.max(silentSinceMs, this.#resumedAtMs);
  }

  /** Records whether bytes have arrived without a long gap since the isolation began. */
  #updateContact({ nowMs, lastReceivedMs }: IsolationObservation): void {
    const isInContact = lastReceivedMs > this.#silentSinceMs && nowMs - lastReceivedMs < MAX_CONTACT_GAP_MS;
    this.#contactSinceMs = isInContact ? (this.#contactSinceMs ?? nowMs) : null;
  }

  #hasRecovered({ nowMs, hasMostEvidence }: IsolationObservation): boolean {
    if (this.#contactSinceMs === null) return false;
    const requiredMs = hasMostEvidence ? CONTACT_MS : CONTACT_WITHOUT_EVIDENCE_MS;
    return nowMs - this.#contactSinceMs >= requiredMs;
  }
}
