/**
 * JSON requests over HTTP, optionally from a given local address.
 *
 * @packageDocumentation
 */
import { request, type IncomingMessage } from 'node:http';

/** Options of a JSON request. */
export interface JsonHttpOptions {
  readonly baseUrl: string;
  readonly localAddress: string | null;
  readonly timeoutMs: number;
}

/** Thrown when there was no response or an unusable one; the request may have taken effect. */
export class JsonHttpError extends Error {
  /** @param status - HTTP status; `null` when there was no usable response */
  constructor(
    message: string,
    readonly status: number | null,
  ) {
    super(message);
  }
}

const MAX_BODY_BYTES = 16 * 1024 * 1024;

/** Sends a request and parses the JSON response. @throws JsonHttpError */
export async function requestJson(
  options: JsonHttpOptions,
  method: 'GET' | 'POST',
  path: string,
  body?: unknown,
): Promise<unknown> {
  const response = await openResponse(options, method, path, body);
  const timer = setTimeout(() => response.destroy(), options.timeoutMs);
  try {
    const text = await readBody(response);
    if (response.statusCode !== 200)
      throw new JsonHttpError(`HTTP status ${response.statusCode}`, response.statusCode ?? null);
    return JSON.parse(text) as unknown;
  } catch (error) {
    if (error instanceof JsonHttpError) throw error;
    throw new JsonHttpError((error as Error).message, null);
  } finally {
    clearTimeout(timer);
  }
}

/** Response to a conditional request. */
export type ConditionalResponse =
  | { readonly kind: 'unchanged'; readonly bytes: number }
  | {
      readonly kind: 'changed';
      readonly body: unknown;
      readonly entityTag: string | null;
      readonly bytes: number;
    };

/** Approximate size of the headers of a request and its response. */
const HEADER_BYTES = 350;

/** Fetches a document unless its entity tag is still the given one. @throws JsonHttpError */
export async function requestIfChanged(
  options: JsonHttpOptions,
  path: string,
  entityTag: string | null,
): Promise<ConditionalResponse> {
  const headers: Record<string, string> = entityTag === null ? {} : { 'if-none-match': entityTag };
  const response = await openResponse(options, 'GET', path, undefined, headers);
  const timer = setTimeout(() => response.destroy(), options.timeoutMs);
  try {
    const text = await readBody(response);
    const bytes = HEADER_BYTES + text.length;
    if (response.statusCode === 304) return { kind: 'unchanged', bytes };
    if (response.statusCode !== 200) throw new Error(`HTTP status ${response.statusCode}`);
    return {
      kind: 'changed',
      body: JSON.parse(text) as unknown,
      entityTag: response.headers.etag ?? null,
      bytes,
    };
  } catch (error) {
    throw new JsonHttpError((error as Error).message, response.statusCode ?? null);
  } finally {
    clearTimeout(timer);
  }
}

/** Sends a request and returns the response with its body unread, for streaming. @throws JsonHttpError */
export function openResponse(
  options: JsonHttpOptions,
  method: 'GET' | 'POST',
  path: string,
  body?: unknown,
  extraHeaders: Readonly<Record<string, string>> = {},
): Promise<IncomingMessage> {
  return new Promise((resolve, reject) => {
    const url = new URL(path, options.baseUrl);
    const { localAddress, timeoutMs } = options;
    const headers = { 'content-type': 'application/json', ...extraHeaders };
    const outgoing = request(url, {
      method,
      headers,
      agent: false,
      ...(localAddress === null ? {} : { localAddress }),
    });
    const timer = setTimeout(() => outgoing.destroy(new Error('timed out')), timeoutMs);
    outgoing.once('response', (response) => {
      clearTimeout(timer);
      response.on('error', () => undefined);
      resolve(response);
    });
    outgoing.on('error', (error) => {
      clearTimeout(timer);
      reject(new JsonHttpError(error.message, null));
    });
    outgoing.end(body === undefined ? undefined : JSON.stringify(body));
  });
}

async function readBody(response: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of response) {
    bytes += (chunk as Buffer).length;
    if (bytes > MAX_BODY_BYTES) throw new Error('answer too large');
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks).toString('utf8');
}
