/**
 * Client of the platform's store: the JSON gateway of etcd's version 3 interface.
 *
 * @packageDocumentation
 */
import type { IncomingMessage } from 'node:http';
import { open, requestJson, type JsonHttpOptions } from './json-http.js';

/** A key's value and the revision at which it was last changed. */
export interface StoredValue {
  readonly value: string;
  readonly modRevision: number;
}

/** A change of several keys that takes effect only if one key has not changed since. */
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

/** The operations that are used of the store; each may fail after it has taken effect. */
export class StoreClient {
  constructor(private readonly options: JsonHttpOptions) {}

  /** Reads a key; `null` when it does not exist. @throws JsonHttpError */
  async get(key: string): Promise<StoredValue | null> {
    const answer = (await requestJson(this.options, 'POST', '/v3/kv/range', { key: encode(key) })) as {
      kvs?: KeyValueJson[];
    };
    const [pair] = answer.kvs ?? [];
    return pair === undefined ? null : toStoredValue(pair);
  }

  /** Changes keys if the compared one is as expected; false when it is not. @throws JsonHttpError */
  async compareAndSwap(swap: CompareAndSwap): Promise<boolean> {
    const answer = (await requestJson(this.options, 'POST', '/v3/kv/txn', {
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
    return answer.succeeded === true;
  }

  /**
   * Follows a key; resolves when the watch has ended.
   *
   * @param onValue - called with each new value
   */
  async watch(key: string, onValue: (value: StoredValue) => void, signal: AbortSignal): Promise<void> {
    const response = await open(this.options, 'POST', '/v3/watch', { create_request: { key: encode(key) } });
    const stop = (): void => void response.destroy();
    signal.addEventListener('abort', stop);
    try {
      await readLines(response, (line) => {
        for (const value of readWatchLine(line)) onValue(value);
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

function readWatchLine(line: string): readonly StoredValue[] {
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
