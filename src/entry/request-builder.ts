/**
 * Turns the messages of one client connection into requests.
 *
 * @packageDocumentation
 */
import { createHash } from 'node:crypto';
import type { PreparedReference } from '../engine/statement-request.js';
import { classify, combineFacts } from '../statement/classify.js';
import { NO_TAGS, readTags, withDefaults, type RequestTags } from '../statement/request-tags.js';
import type { StatementFacts } from '../statement/statement-kind.js';
import {
  buildObjectMessage,
  buildParse,
  readBindStatement,
  readObjectReference,
  readParse,
  readQueryText,
  renameBindStatement,
} from '../wire/frontend-messages.js';
import { FrontendType } from '../wire/message-types.js';

/** A request as the client's messages give it. */
export interface ClientRequest {
  readonly frames: Buffer;
  readonly terminator: 'query' | 'sync' | 'flush';
  readonly facts: StatementFacts;
  readonly tags: RequestTags;
  readonly prepared: readonly PreparedReference[];
  /** Texts of the statements executed, without their tags. */
  readonly texts: readonly string[];
}

interface NamedStatement {
  readonly reference: PreparedReference;
  readonly facts: StatementFacts;
  readonly tags: RequestTags;
}

const MAX_NAMED_STATEMENTS = 5000;
const READ_FACTS: StatementFacts = {
  kind: 'read',
  count: 0,
  controlsTransaction: false,
  leavesSessionState: false,
  isReadOnlyTransaction: false,
};

/** Thrown when a client holds more prepared statements than allowed. */
export class TooManyStatementsError extends Error {}

/** Keeps the prepared statements and portals of one client connection. */
export class RequestBuilder {
  readonly #statements = new Map<string, NamedStatement>();
  readonly #portals = new Map<string, NamedStatement>();

  /** @param defaults - tags of the connection */
  constructor(private readonly defaults: RequestTags) {}

  /** Forgets all prepared statements, as DISCARD ALL does. */
  clear(): void {
    this.#statements.clear();
    this.#portals.clear();
  }

  /** Builds a request from messages, the last of which is Query, Sync or Flush. */
  build(frames: readonly Buffer[]): ClientRequest {
    const last = frames.at(-1);
    if (last !== undefined && last[0] === FrontendType.query) return this.#buildQuery(last);
    return this.#buildExtended(frames);
  }

  #buildQuery(frame: Buffer): ClientRequest {
    const { text, tags } = readTags(readQueryText(frame));
    return {
      frames: frame,
      terminator: 'query',
      facts: classify(text),
      tags: withDefaults(tags, this.defaults),
      prepared: [],
      texts: [text],
    };
  }

  #buildExtended(frames: readonly Buffer[]): ClientRequest {
    const batch = new Batch();
    const rewritten = frames.map((frame) => this.#rewrite(frame, batch));
    const terminator = frames.at(-1)?.[0] === FrontendType.flush ? 'flush' : 'sync';
    const executed =
      batch.executed.length > 0 ? batch.executed : terminator === 'flush' ? batch.mentioned : [];
    const tags = executed.find((statement) => statement.tags !== NO_TAGS)?.tags ?? NO_TAGS;
    return {
      frames: Buffer.concat(rewritten),
      terminator,
      facts: executed.length === 0 ? READ_FACTS : combineFacts(executed.map(({ facts }) => facts)),
      tags: withDefaults(tags, this.defaults),
      prepared: [...batch.references.values()],
      texts: executed.map(({ reference }) => reference.text),
    };
  }

  #rewrite(frame: Buffer, batch: Batch): Buffer {
    switch (frame[0]) {
      case FrontendType.parse:
        return this.#rewriteParse(frame, batch);
      case FrontendType.bind:
        return this.#rewriteBind(frame, batch);
      case FrontendType.describe:
      case FrontendType.close:
        return this.#rewriteObject(frame, batch);
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

  #rewriteParse(frame: Buffer, batch: Batch): Buffer {
    const parse = readParse(frame);
    const { text, tags } = readTags(parse.text);
    const name = hashName(text, parse.typesPart);
    const statement = {
      reference: { name, text, typesPart: Buffer.from(parse.typesPart) },
      facts: classify(text),
      tags,
    };
    this.#statements.set(parse.name, statement);
    if (this.#statements.size > MAX_NAMED_STATEMENTS) throw new TooManyStatementsError();
    batch.parsed.add(name);
    batch.mentioned.push(statement);
    return buildParse({ name, text, typesPart: parse.typesPart });
  }

  #rewriteBind(frame: Buffer, batch: Batch): Buffer {
    const statement = this.#statements.get(readBindStatement(frame));
    if (statement === undefined) return frame;
    const portal = frame.toString('utf8', 5, frame.indexOf(0, 5));
    this.#portals.set(portal, statement);
    batch.refer(statement);
    return renameBindStatement(frame, statement.reference.name);
  }

  #rewriteObject(frame: Buffer, batch: Batch): Buffer {
    const { kind, name } = readObjectReference(frame);
    if (kind === 'portal') return frame;
    const statement = this.#statements.get(name);
    if (statement === undefined) return frame;
    if (frame[0] === FrontendType.close) this.#statements.delete(name);
    else batch.refer(statement);
    return buildObjectMessage(frame[0] ?? 0, { kind, name: statement.reference.name });
  }
}

/** What the messages of one request refer to. */
class Batch {
  readonly parsed = new Set<string>();
  readonly references = new Map<string, PreparedReference>();
  readonly executed: NamedStatement[] = [];
  readonly mentioned: NamedStatement[] = [];

  /** Notes a statement that must be there before the request's own messages. */
  refer(statement: NamedStatement): void {
    this.mentioned.push(statement);
    const { reference } = statement;
    if (!this.parsed.has(reference.name)) this.references.set(reference.name, reference);
  }
}

function hashName(text: string, typesPart: Buffer): string {
  return `s_${createHash('sha1').update(text).update('\0').update(typesPart).digest('hex')}`;
}
