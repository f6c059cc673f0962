/**
 * Client of the platform's store, which offers the JSON gateway of the etcd v3 API.
 *
 * @packageDocumentation
 */
import type { IncomingMessage } from 'node:http';
import { openResponse, requestJson, type JsonHttpOptions } from './json-http.js';

/** The value of a key and the revision of its last modification. */
export interface StoredValue {
  readonly value: string;
  readonly modRevision: number;
}

/** A write of several keys that takes effect only if one key has not been modified since it was read. */
export interface CompareAndSwap {
  readonly key: string;
  /** Revision at which the key was read; 0 when it did not exist. */
  readonly expectedModRevision: number;
  readonly puts: readonly { readonly key: string; readonly value: string }[];
}

interface KeyValueJson {
  readonly key?: string;
  readonly value?: string;
  readonly mod_revision?: string;
}

/** The store operations that daemons and commands use; a write may have taken effect although it failed. */
export class StoreClient {
  constructor(private readonly options: JsonHttpOptions) {}

  /** Reads a key; `null` when it does not exist. @throws JsonHttpError */
  async get(key: string): Promise<StoredValue | null> {
    const response = (await requestJson(this.options, 'POST', '/v3/kv/range', { key: encode(key) })) as {
      kvs?: KeyValueJson[];
    };
    const [pair] = response.kvs ?? [];
    return pair === undefined ? null : toStoredValue(pair);
  }

  /**
   * Writes the keys if the compared key has the expected revision; returns false otherwise.
   *
   * @throws JsonHttpError
   */
  async compareAndSwap(swap: CompareAndSwap): Promise<boolean> {
    const response = (await requestJson(this.options, 'POST', '/v3/kv/txn', {
      compare: [
        {
          key: encode(swap.key),
          target: 'MOD',
          result: 'EQUAL',
          mod_revision: String(swap.expectedModRevision),
        },
      ],
      success: swap.puts.map(({ key, value }) => ({
        request_put: { key: encode(key), value: encode(value) },
      })),
    })) as { succeeded?: boolean };
    return response.succeeded === true;
  }

  /**
   * Watches a key; resolves when the watch has ended.
   *
   * @param onValue - called with each new value
   */
  async watch(key: string, onValue: (value: StoredValue) => void, signal: AbortSignal): Promise<void> {
    const response = await openResponse(this.options, 'POST', '/v3/watch', {
      create_request: { key: encode(key) },
    });
    const stop = (): void => void response.destroy();
    signal.addEventListener('abort', stop);
    try {
      await readLines(response, (line) => {
        for (const value of parseWatchLine(line)) onValue(value);
      });
    } finally {
      signal.removeEventListener('abort', stop);
      response.destroy();
    }
  }
}

function encode(text: string): string {
  return Buffer.from(text, 'utf8').toString('base64');
}

function toStoredValue(pair: KeyValueJson): StoredValue {
  return {
    value: Buffer.from(pair.value ?? '', 'base64').toString('utf8'),
    modRevision: Number(pair.mod_revision ?? 0),
  };
}

function parseWatchLine(line: string): readonly StoredValue[] {
  const message = JSON.parse(line) as { result?: { events?: { kv?: KeyValueJson }[] } };
  const events = message.result?.events ?? [];
  return events.flatMap(({ kv }) => (kv?.value === undefined ? [] : [toStoredValue(kv)]));
}

async function readLines(response: IncomingMessage, onLine: (line: string) => void): Promise<void> {
  let pending = '';
  for await (const chunk of response) {
    pending += String(chunk);
    const lines = pending.split('\n');
    pending = lines.pop() ?? '';
    for (const line of lines) if (line.trim() !== '') onLine(line);
  }
}
