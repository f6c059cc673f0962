/**
 * A member as a model: slots that new connections and statements take for a while, and a queue. For tests whose timers and
 * clock are moved by hand.
 *
 * @packageDocumentation
 */
import {
  DialError,
  LinkLostError,
  NotSentError,
  type MemberLink,
  type MemberReply,
  type MemberRequest,
} from '../../src/relay/member-link.js';

/** What the member can do. */
export interface MemberModel {
  /** Requests that it works on at once. */
  readonly slots: number;
  /** Time of a slot that a new connection takes, in milliseconds. */
  readonly handshakeMs: number;
  /** Time of a slot that a statement takes, in milliseconds. */
  readonly workMs: number;
  /** Requests that wait for a slot; more are refused. New connections wait without a limit. */
  readonly queue: number;
}

const STATUS_ROW = 'replica 1 1.1 0 0 0 0';
/** Time of a slot that a question for the status takes, in milliseconds. */
const STATUS_MS = 1;

/** One work for a slot. */
interface Work {
  readonly ms: number;
  readonly done: () => void;
}

/** The member; it dials for itself. */
export class ModelledMember {
  /** Connections that were begun. */
  dials = 0;
  /** Statements that were answered. */
  served = 0;
  /** Questions for the status that were answered. */
  statuses = 0;
  readonly #waiting: Work[] = [];
  #busy = 0;

  constructor(private readonly model: MemberModel) {}

  /** Opens a connection; one that is given up takes its slot all the same. */
  dial(_address: unknown, timeoutMs: number, acceptMs = timeoutMs): Promise<MemberLink> {
    this.dials += 1;
    return new Promise((resolve, reject) => {
      const timer = setTimeout(() => reject(new DialError('slow', 'not accepted in time')), acceptMs);
      this.#do(this.model.handshakeMs, () => {
        clearTimeout(timer);
        resolve(new ModelledLink(this));
      });
    });
  }

  /** Answers a request, or refuses it when too many wait. */
  answer(request: MemberRequest): Promise<MemberReply> {
    if (this.#waiting.length >= this.model.queue) return Promise.resolve(refusal());
    const isStatus = request.kind === 'status';
    return new Promise((resolve) =>
      this.#do(isStatus ? STATUS_MS : this.model.workMs, () => {
        if (isStatus) this.statuses += 1;
        else this.served += 1;
        resolve(completion(isStatus ? [STATUS_ROW] : []));
      }),
    );
  }

  #do(ms: number, done: () => void): void {
    this.#waiting.push({ ms, done });
    this.#next();
  }

  #next(): void {
    if (this.#busy >= this.model.slots) return;
    const work = this.#waiting.shift();
    if (work === undefined) return;
    this.#busy += 1;
    setTimeout(() => {
      this.#busy -= 1;
      work.done();
      this.#next();
    }, work.ms);
  }
}

class ModelledLink implements MemberLink {
  isOpen = true;
  lastReceivedMs = 0;
  #onClosed: ((isByPeer: boolean) => void) | null = null;

  constructor(private readonly member: ModelledMember) {}

  async send(request: MemberRequest): Promise<MemberReply> {
    if (!this.isOpen) throw new NotSentError('not open');
    const reply = await this.member.answer(request);
    if (!this.isOpen) throw new LinkLostError('given up');
    return reply;
  }

  close(): void {
    if (!this.isOpen) return;
    this.isOpen = false;
    this.#onClosed?.(false);
  }

  onClosed(listener: (isByPeer: boolean) => void): void {
    this.#onClosed = listener;
  }
}

function completion(rows: readonly string[]): MemberReply {
  return { rows, result: { isComplete: true, signature: 's' }, state: 'idle', position: null };
}

function refusal(): MemberReply {
  const result = { isComplete: false, code: 'busy', text: 'full' } as const;
  return { rows: [], result, state: 'idle', position: null };
}
