/**
 * Matches the replies to a batch of protocol messages with the messages that cause them. Replies to messages
 * that the daemon added are hidden from the client, and the end of a batch that ends with Flush is detected.
 *
 * @packageDocumentation
 */
import { BackendType } from '../wire/message-types.js';

/** Kind of reply to a message of a batch. */
export type ReplyKind = 'parse' | 'bind' | 'close' | 'describeStatement' | 'describeRows' | 'execute';

/** The expected reply to one message. */
export interface ReplyStep {
  readonly kind: ReplyKind;
  /** True when the message was added by the daemon. */
  readonly isHidden: boolean;
  /** Prepared statement that the message creates; empty for none. */
  readonly statementName: string;
}

/** Message types that complete a reply of each kind. */
const FINAL_TYPES: Readonly<Record<ReplyKind, ReadonlySet<number>>> = {
  parse: new Set([BackendType.parseComplete]),
  bind: new Set([BackendType.bindComplete]),
  close: new Set([BackendType.closeComplete]),
  describeStatement: new Set([BackendType.parameterDescription]),
  describeRows: new Set([BackendType.rowDescription, BackendType.noData]),
  execute: new Set([
    BackendType.commandComplete,
    BackendType.emptyQueryResponse,
    BackendType.portalSuspended,
  ]),
};

/** The outstanding replies to one batch. */
export class ReplyPlan {
  #next = 0;
  #failed = false;

  /**
   * @param steps - expected replies in order
   * @param onPrepared - called with the name of each statement that the server has prepared
   */
  constructor(
    private readonly steps: readonly ReplyStep[],
    private readonly onPrepared: (statementName: string) => void,
  ) {}

  /** True once all replies have been received, or an error has ended the batch. */
  get isDone(): boolean {
    return this.#failed || this.#next >= this.steps.length;
  }

  /** Processes a reply; true when it is to be forwarded to the client. */
  accept(type: number): boolean {
    if (type === BackendType.errorResponse) {
      this.#failed = true;
      return true;
    }
    const step = this.steps[this.#next];
    if (step === undefined || this.#failed) return true;
    if (FINAL_TYPES[step.kind].has(type)) {
      this.#next += 1;
      if (step.kind === 'parse') this.onPrepared(step.statementName);
    }
    return !step.isHidden;
  }
}
