/**
 * Prepares the protocol messages of a request for one connection: adds Parse messages for prepared statements
 * that the connection does not have, and lists the expected replies.
 *
 * @packageDocumentation
 */
import type { MemberConnection } from '../member/member-connection.js';
import { ReplyPlan, type ReplyStep } from '../member/reply-plan.js';
import {
  buildDescribeOrClose,
  buildParse,
  readDescribeOrClose,
  readParse,
} from '../wire/frontend-messages.js';
import { asBuffer } from '../wire/as-buffer.js';
import { FrameSplitter } from '../wire/frame-splitter.js';
import { FrontendType } from '../wire/message-types.js';
import type { StatementRequest } from './statement-request.js';

/** Bytes to send and the replies expected for them. */
export interface BatchPlan {
  readonly bytes: Buffer;
  readonly plan: ReplyPlan;
}

const MAX_PREPARED_STATEMENTS_PER_CONNECTION = 256;
const NO_LIMIT = Number.MAX_SAFE_INTEGER;

/** Builds the batch of an extended-protocol request for a connection. */
export function planBatch(request: StatementRequest, connection: MemberConnection): BatchPlan {
  const builder = new BatchBuilder(connection);
  builder.evictPrepared(request.prepared.length);
  for (const reference of request.prepared) {
    if (connection.preparedStatementNames.has(reference.name)) continue;
    const typesPart = asBuffer(reference.typesPart);
    builder.add(
      buildParse({ name: reference.name, text: reference.text, typesPart }),
      'parse',
      true,
      reference.name,
    );
  }
  const frames = new FrameSplitter(NO_LIMIT).push(asBuffer(request.frames));
  for (const frame of frames) builder.addFromClient(frame);
  return builder.build();
}

class BatchBuilder {
  readonly #frames: Buffer[] = [];
  readonly #steps: ReplyStep[] = [];

  constructor(private readonly connection: MemberConnection) {}

  /**
   * Closes the oldest prepared statements when `additionalCount` more would exceed the connection's limit.
   */
  evictPrepared(additionalCount: number): void {
    const { preparedStatementNames: preparedNames } = this.connection;
    for (const name of preparedNames) {
      if (preparedNames.size + additionalCount <= MAX_PREPARED_STATEMENTS_PER_CONNECTION) return;
      this.#closeStatement(name);
    }
  }

  add(frame: Buffer, kind: ReplyStep['kind'], isHidden: boolean, statementName = ''): void {
    this.#frames.push(frame);
    this.#steps.push({ kind, isHidden, statementName });
  }

  addFromClient(frame: Buffer): void {
    switch (frame[0]) {
      case FrontendType.parse:
        this.#addParse(frame);
        break;
      case FrontendType.bind:
        this.add(frame, 'bind', false);
        break;
      case FrontendType.execute:
        this.add(frame, 'execute', false);
        break;
      case FrontendType.describe:
        this.#addDescribe(frame);
        break;
      case FrontendType.close:
        this.#addClose(frame);
        break;
      default:
        this.#frames.push(frame);
    }
  }

  build(): BatchPlan {
    const { preparedStatementNames: preparedNames } = this.connection;
    const plan = new ReplyPlan(this.#steps, (name) => preparedNames.add(name));
    return { bytes: Buffer.concat(this.#frames), plan };
  }

  /** Closes an existing statement of the same name first: the member would reject a second Parse for it. */
  #addParse(frame: Buffer): void {
    const { name } = readParse(frame);
    if (this.connection.preparedStatementNames.has(name)) this.#closeStatement(name);
    this.add(frame, 'parse', false, name);
  }

  #addDescribe(frame: Buffer): void {
    const { kind } = readDescribeOrClose(frame);
    if (kind === 'statement') this.add(frame, 'describeStatement', false);
    if (kind === 'statement') this.#steps.push({ kind: 'describeRows', isHidden: false, statementName: '' });
    else this.add(frame, 'describeRows', false);
  }

  #addClose(frame: Buffer): void {
    const { kind, name } = readDescribeOrClose(frame);
    if (kind === 'statement') this.connection.preparedStatementNames.delete(name);
    this.add(frame, 'close', false);
  }

  #closeStatement(name: string): void {
    this.connection.preparedStatementNames.delete(name);
    this.add(buildDescribeOrClose(FrontendType.close, { kind: 'statement', name }), 'close', true);
  }
}
