/**
 * Follows the replies to a batch of protocol messages, so that replies to messages which a daemon added are
 * hidden and the end of a Flush batch is recognised.
 *
 * @packageDocumentation
 */
import { BackendType } from '../wire/message-types.js';

/** What a message of a batch is answered with. */
export type ReplyKind = 'parse' | 'bind' | 'close' | 'describeStatement' | 'describeRows' | 'execute';

/** The expected reply to one message. */
export interface ReplyStep {
  readonly kind: ReplyKind;
  /** True when the message was added by the daemon. */
  readonly isHidden: boolean;
  /** Prepared statement that the message makes; empty for none. */
  readonly statementName: string;
}

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

/** The replies that are still to come. */
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

  /** True once all replies have come, or an error has ended the batch. */
  get isDone(): boolean {
    return this.#failed || this.#next >= this.steps.length;
  }

  /** Takes a reply into account; true when the client is to see it. */
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
