/**
 * Reads and publishes configurations in the platform's store.
 *
 * @packageDocumentation
 */
import { randomUUID } from 'node:crypto';
import { Either, Left, Right } from 'purify-ts';
import { setTimeout as delay } from 'node:timers/promises';
import { Policy } from '../policy/policy.js';
import { backoffDelayMs } from '../retry/backoff.js';
import { JsonHttpError } from '../store/json-http.js';
import type { StoreClient, StoredValue } from '../store/store-client.js';
import { configurationSchema, type Configuration } from './configuration.js';

/** What a publication changes. */
export type ConfigurationChange = Partial<Pick<Configuration, 'databases' | 'policy'>>;

/** A configuration as it stands in the store. */
export interface StoredConfiguration {
  readonly configuration: Configuration;
  /** Revision at which it was written. */
  readonly modRevision: number;
}

/** Why a publication did not take effect, or may not have. */
export type PublishFailure =
  /** The change itself is not acceptable. */
  | { readonly kind: 'invalid'; readonly problems: readonly string[] }
  /** Somebody else published first; nothing was changed. */
  | { readonly kind: 'conflict'; readonly currentVersion: number }
  /** The store could not be asked; nothing was changed. */
  | { readonly kind: 'unavailable'; readonly message: string }
  /** The store did not answer, neither to the change nor to the question whether it took effect. */
  | { readonly kind: 'unknown'; readonly version: number; readonly identity: string };

/** Settings of a publication. */
export interface PublishOptions {
  readonly publishedBy: string;
  /** Version that the operator has seen; `null` to build on whatever is current. */
  readonly expectedVersion: number | null;
  /** Attempts to read back after a lost answer. */
  readonly readBackAttempts: number;
}

const READ_BACK_BACKOFF = { initialDelayMs: 100, maxDelayMs: 2000 };

/** The configuration in the store. */
export class ConfigurationStore {
  readonly #currentKey: string;

  /** @param prefix - prefix of all keys, without a slash at the end */
  constructor(
    private readonly store: StoreClient,
    private readonly prefix: string,
  ) {
    this.#currentKey = `${prefix}/configuration/current`;
  }

  /** The current configuration; `null` when none was ever published. @throws JsonHttpError */
  async read(): Promise<Configuration | null> {
    return (await this.readStored())?.configuration ?? null;
  }

  /** The current configuration as it stands in the store; `null` when there is none. @throws JsonHttpError */
  async readStored(): Promise<StoredConfiguration | null> {
    const stored = await this.store.get(this.#currentKey);
    return stored === null ? null : toStored(stored);
  }

  /**
   * Writes a configuration that had been accepted before, in place of an older one that stands under a revision; false when that has
   * been replaced meanwhile. @throws JsonHttpError
   */
  restore(configuration: Configuration, modRevision: number): Promise<boolean> {
    return this.#write(configuration, modRevision);
  }

  /** A past configuration; `null` when there is none of that version. @throws JsonHttpError */
  async readVersion(version: number): Promise<Configuration | null> {
    const stored = await this.store.get(this.#historyKey(version));
    return stored === null ? null : parseConfiguration(stored.value);
  }

  /** Follows the current configuration; resolves when the watch has ended. */
  watch(onConfiguration: (stored: StoredConfiguration) => void, signal: AbortSignal): Promise<void> {
    const onValue = (value: StoredValue): void => {
      const stored = toStored(value);
      if (stored !== null) onConfiguration(stored);
    };
    return this.store.watch(this.#currentKey, onValue, signal);
  }

  /**
   * Publishes a change as the next version.
   *
   * The publication carries an identity of its own, so that a lost answer is resolved by reading back.
   */
  async publish(
    change: ConfigurationChange,
    options: PublishOptions,
  ): Promise<Either<PublishFailure, Configuration>> {
    const problems = checkChange(change);
    if (problems.length > 0) return Left({ kind: 'invalid', problems });
    let stored;
    try {
      stored = await this.store.get(this.#currentKey);
    } catch (error) {
      return Left({ kind: 'unavailable', message: (error as Error).message });
    }
    const current = stored === null ? null : parseConfiguration(stored.value);
    if (stored !== null && current === null) {
      const problem =
        'the store holds something that is not a configuration; look at it before you publish over it';
      return Left({ kind: 'invalid', problems: [problem] });
    }
    if (options.expectedVersion !== null && options.expectedVersion !== (current?.version ?? 0)) {
      return Left({ kind: 'conflict', currentVersion: current?.version ?? 0 });
    }
    const next = nextConfiguration(current, change, options.publishedBy);
    return this.#swap(next, stored?.modRevision ?? 0, options);
  }

  async #swap(
    next: Configuration,
    expectedModRevision: number,
    options: PublishOptions,
  ): Promise<Either<PublishFailure, Configuration>> {
    try {
      if (await this.#write(next, expectedModRevision)) return Right(next);
    } catch (error) {
      if (!(error instanceof JsonHttpError)) throw error;
    }
    return this.#readBack(next, options);
  }

  #write(configuration: Configuration, expectedModRevision: number): Promise<boolean> {
    const value = JSON.stringify(configuration);
    return this.store.compareAndSwap({
      key: this.#currentKey,
      expectedModRevision,
      puts: [
        { key: this.#currentKey, value },
        { key: this.#historyKey(configuration.version), value },
      ],
    });
  }

  /** After a refusal or a lost answer: whose is the version that we meant to write? */
  async #readBack(
    next: Configuration,
    options: PublishOptions,
  ): Promise<Either<PublishFailure, Configuration>> {
    for (let attempt = 0; attempt < options.readBackAttempts; attempt += 1) {
      try {
        const written = await this.readVersion(next.version);
        if (written?.identity === next.identity) return Right(next);
        const current = await this.read();
        return Left({ kind: 'conflict', currentVersion: current?.version ?? 0 });
      } catch {
        await delay(backoffDelayMs(READ_BACK_BACKOFF, attempt, Math.random()));
      }
    }
    return Left({ kind: 'unknown', version: next.version, identity: next.identity });
  }

  #historyKey(version: number): string {
    return `${this.prefix}/configuration/history/${String(version).padStart(12, '0')}`;
  }
}

function toStored({ value, modRevision }: StoredValue): StoredConfiguration | null {
  const configuration = parseConfiguration(value);
  return configuration === null ? null : { configuration, modRevision };
}

/** Reads a stored configuration; `null` when it is not one. */
export function parseConfiguration(text: string): Configuration | null {
  try {
    const result = configurationSchema.safeParse(JSON.parse(text));
    return result.success ? result.data : null;
  } catch {
    return null;
  }
}

function checkChange(change: ConfigurationChange): readonly string[] {
  if (change.policy === undefined) return [];
  return Policy.compile(change.policy).caseOf({
    Left: (problems) => problems,
    Right: (policy) => policy.runTests(),
  });
}

function nextConfiguration(
  current: Configuration | null,
  change: ConfigurationChange,
  publishedBy: string,
): Configuration {
  return {
    version: (current?.version ?? 0) + 1,
    identity: randomUUID(),
    publishedBy,
    publishedAt: new Date().toISOString(),
    databases: change.databases ?? current?.databases ?? [],
    policy: change.policy ?? current?.policy ?? 'rules: []\n',
  };
}
