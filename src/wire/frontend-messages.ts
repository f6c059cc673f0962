/**
 * Decodes and re-encodes the messages that a client sends (PostgreSQL protocol, version 3).
 *
 * @packageDocumentation
 */
import { buildMessage, cstring } from './message-builder.js';
import { FrontendType } from './message-types.js';

/** A StartupMessage: protocol version and parameters. */
export interface StartupMessage {
  readonly protocolVersion: number;
  readonly parameters: ReadonlyMap<string, string>;
}

/** A Parse message. */
export interface ParseMessage {
  readonly name: string;
  readonly text: string;
  /** The encoded parameter types, which follow the text. */
  readonly typesPart: Buffer;
}

/** Thrown when a message body does not have the format of its type. */
export class MessageFormatError extends Error {}

function readCString(frame: Buffer, offset: number): { readonly value: string; readonly end: number } {
  const end = frame.indexOf(0, offset);
  if (end < 0) throw new MessageFormatError('string without terminator');
  return { value: frame.toString('utf8', offset, end), end: end + 1 };
}

/** Reads the body of a StartupMessage (after the length field). */
export function readStartup(body: Buffer): StartupMessage {
  const parameters = new Map<string, string>();
  const protocolVersion = body.readUInt32BE(0);
  let offset = 4;
  while (offset < body.length && body[offset] !== 0) {
    const name = readCString(body, offset);
    const value = readCString(body, name.end);
    parameters.set(name.value, value.value);
    offset = value.end;
  }
  return { protocolVersion, parameters };
}

/** Reads the text of a Query message. */
export function readQueryText(frame: Buffer): string {
  return readCString(frame, 5).value;
}

/** Reads a Parse message. */
export function readParse(frame: Buffer): ParseMessage {
  const name = readCString(frame, 5);
  const text = readCString(frame, name.end);
  return { name: name.value, text: text.value, typesPart: frame.subarray(text.end) };
}

/** Builds a Parse message from its parts. */
export function buildParse(parse: ParseMessage): Buffer {
  return buildMessage(FrontendType.parse, cstring(parse.name), cstring(parse.text), parse.typesPart);
}

/** Reads the statement name of a Bind message. */
export function readBindStatement(frame: Buffer): string {
  return readCString(frame, readCString(frame, 5).end).value;
}

/** Returns a copy of the Bind message with another statement name. */
export function renameBindStatement(frame: Buffer, statement: string): Buffer {
  const portal = readCString(frame, 5);
  const oldStatement = readCString(frame, portal.end);
  return buildMessage(
    FrontendType.bind,
    cstring(portal.value),
    cstring(statement),
    frame.subarray(oldStatement.end),
  );
}

/** The prepared statement or portal that a Describe or Close message names. */
export interface DescribeOrCloseTarget {
  readonly kind: 'statement' | 'portal';
  readonly name: string;
}

/** Reads a Describe or Close message. */
export function readDescribeOrClose(frame: Buffer): DescribeOrCloseTarget {
  const kind = frame[5] === 0x53 ? 'statement' : 'portal';
  return { kind, name: readCString(frame, 6).value };
}

/** Builds a Describe or Close message. */
export function buildDescribeOrClose(type: number, reference: DescribeOrCloseTarget): Buffer {
  const kind = Buffer.from(reference.kind === 'statement' ? 'S' : 'P');
  return buildMessage(type, kind, cstring(reference.name));
}
