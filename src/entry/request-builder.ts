/**
 * Builds requests from the protocol messages of one client connection.
 *
 * @packageDocumentation
 */
import { createHash } from 'node:crypto';
import type { PreparedReference } from '../engine/statement-request.js';
import { classify, combineClassifications } from '../statement/classify.js';
import { NO_TAGS, parseTags, withDefaultTags, type RequestTags } from '../statement/request-tags.js';
import type { StatementClassification } from '../statement/statement-kind.js';
import {
  buildDescribeOrClose,
  buildParse,
  readBindStatement,
  readDescribeOrClose,
  readParse,
  readQueryText,
  renameBindStatement,
} from '../wire/frontend-messages.js';
import { FrontendType } from '../wire/message-types.js';

/** A request built from a client's messages. */
export interface ClientRequest {
  readonly frames: Buffer;
  readonly terminator: 'query' | 'sync' | 'flush';
  readonly classification: StatementClassification;
  readonly tags: RequestTags;
  readonly prepared: readonly PreparedReference[];
  /** SQL texts of the executed statements, without their tags. */
  readonly texts: readonly string[];
}

interface PreparedStatement {
  readonly reference: PreparedReference;
  readonly classification: StatementClassification;
  readonly tags: RequestTags;
}

const MAX_PREPARED_STATEMENTS = 5000;
/** Classification of a request that executes no statement. */
const NOTHING_EXECUTED: StatementClassification = {
  kind: 'read',
  count: 0,
  controlsTransaction: false,
  leavesSessionState: false,
  isReadOnlyTransaction: false,
};

/** Thrown when a client keeps more prepared statements than allowed. */
export class TooManyStatementsError extends Error {}

/** Tracks the prepared statements and portals of one client connection, and builds its requests. */
export class RequestBuilder {
  readonly #statements = new Map<string, PreparedStatement>();
  readonly #portals = new Map<string, PreparedStatement>();

  /** @param defaultTags - tags from the start-up parameters of the connection */
  constructor(private readonly defaultTags: RequestTags) {}

  /** Discards all prepared statements and portals, as DISCARD ALL does. */
  clear(): void {
    this.#statements.clear();
    this.#portals.clear();
  }

  /** Builds a request from messages, the last of which must be Query, Sync or Flush. */
  build(frames: readonly Buffer[]): ClientRequest {
    const last = frames.at(-1);
    if (last !== undefined && last[0] === FrontendType.query) return this.#buildQuery(last);
    return this.#buildExtended(frames);
  }

  #buildQuery(frame: Buffer): ClientRequest {
    const { text, tags } = parseTags(readQueryText(frame));
    return {
      frames: frame,
      terminator: 'query',
      classification: classify(text),
      tags: withDefaultTags(tags, this.defaultTags),
      prepared: [],
      texts: [text],
    };
  }

  #buildExtended(frames: readonly Buffer[]): ClientRequest {
    const batch = new BatchStatements();
    const rewritten = frames.map((frame) => this.#rewrite(frame, batch));
    const terminator = frames.at(-1)?.[0] === FrontendType.flush ? 'flush' : 'sync';
    const executed =
      batch.executed.length > 0 ? batch.executed : terminator === 'flush' ? batch.referenced : [];
    const tags = executed.find((statement) => statement.tags !== NO_TAGS)?.tags ?? NO_TAGS;
    return {
      frames: Buffer.concat(rewritten),
      terminator,
      classification:
        executed.length === 0
          ? NOTHING_EXECUTED
          : combineClassifications(executed.map(({ classification }) => classification)),
      tags: withDefaultTags(tags, this.defaultTags),
      prepared: [...batch.requiredStatements.values()],
      texts: executed.map(({ reference }) => reference.text),
    };
  }

  #rewrite(frame: Buffer, batch: BatchStatements): Buffer {
    switch (frame[0]) {
      case FrontendType.parse:
        return this.#rewriteParse(frame, batch);
      case FrontendType.bind:
        return this.#rewriteBind(frame, batch);
      case FrontendType.describe:
      case FrontendType.close:
        return this.#rewriteDescribeOrClose(frame, batch);
      case FrontendType.execute: {
        const portal = frame.toString('utf8', 5, frame.indexOf(0, 5));
        const statement = this.#portals.get(portal);
        if (statement !== undefined) batch.executed.push(statement);
        return frame;
      }
      default:
        return frame;
    }
  }

  #rewriteParse(frame: Buffer, batch: BatchStatements): Buffer {
    const parse = readParse(frame);
    const { text, tags } = parseTags(parse.text);
    const name = preparedStatementName(text, parse.typesPart);
    const statement = {
      reference: { name, text, typesPart: Buffer.from(parse.typesPart) },
      classification: classify(text),
      tags,
    };
    this.#statements.set(parse.name, statement);
    if (this.#statements.size > MAX_PREPARED_STATEMENTS) throw new TooManyStatementsError();
    batch.parsedNames.add(name);
    batch.referenced.push(statement);
    return buildParse({ name, text, typesPart: parse.typesPart });
  }

  #rewriteBind(frame: Buffer, batch: BatchStatements): Buffer {
    const statement = this.#statements.get(readBindStatement(frame));
    if (statement === undefined) return frame;
    const portal = frame.toString('utf8', 5, frame.indexOf(0, 5));
    this.#portals.set(portal, statement);
    batch.addReference(statement);
    return renameBindStatement(frame, statement.reference.name);
  }

  #rewriteDescribeOrClose(frame: Buffer, batch: BatchStatements): Buffer {
    const { kind, name } = readDescribeOrClose(frame);
    if (kind === 'portal') return frame;
    const statement = this.#statements.get(name);
    if (statement === undefined) return frame;
    if (frame[0] === FrontendType.close) this.#statements.delete(name);
    else batch.addReference(statement);
    return buildDescribeOrClose(frame[0] ?? 0, { kind, name: statement.reference.name });
  }
}

/** Statements that the messages of one request execute or refer to. */
class BatchStatements {
  readonly parsedNames = new Set<string>();
  readonly requiredStatements = new Map<string, PreparedReference>();
  readonly executed: PreparedStatement[] = [];
  readonly referenced: PreparedStatement[] = [];

  /** Adds a statement; unless the request itself parses it, it must be prepared before the request is run. */
  addReference(statement: PreparedStatement): void {
    this.referenced.push(statement);
    const { reference } = statement;
    if (!this.parsedNames.has(reference.name)) this.requiredStatements.set(reference.name, reference);
  }
}

function preparedStatementName(text: string, typesPart: Buffer): string {
  return `s_${createHash('sha1').update(text).update('\0').update(typesPart).digest('hex')}`;
}
