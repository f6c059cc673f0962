/**
 * Reads configurations from the platform's store and publishes them there.
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

/** The parts of the configuration that a publication changes. */
export type ConfigurationChange = Partial<Pick<Configuration, 'databases' | 'policy'>>;

/** A configuration with its revision in the store. */
export interface StoredConfiguration {
  readonly configuration: Configuration;
  /** Store revision at which it was written. */
  readonly modRevision: number;
}

/** Why a publication did not take effect, or may not have taken effect. */
export type PublishFailure =
  /** The change is invalid. */
  | { readonly kind: 'invalid'; readonly problems: readonly string[] }
  /** Another version was published first; nothing was changed. */
  | { readonly kind: 'conflict'; readonly currentVersion: number }
  /** The store could not be read; nothing was changed. */
  | { readonly kind: 'unavailable'; readonly message: string }
  /** The store confirmed neither the change nor, when read back, whether it took effect. */
  | { readonly kind: 'unknown'; readonly version: number; readonly identity: string };

/** Settings of a publication. */
export interface PublishOptions {
  readonly publishedBy: string;
  /** Version that must still be current, as seen by the operator; `null` to publish on top of any version. */
  readonly expectedVersion: number | null;
  /**
   * Maximum number of attempts to read the version back when the write was refused or its response was lost.
   */
  readonly readBackAttempts: number;
}

const READ_BACK_BACKOFF = { initialDelayMs: 100, maxDelayMs: 2000 };

/** Access to the configuration in the store. */
export class ConfigurationStore {
  readonly #currentKey: string;

  /** @param prefix - prefix of all keys, without a trailing slash */
  constructor(
    private readonly store: StoreClient,
    private readonly prefix: string,
  ) {
    this.#currentKey = `${prefix}/configuration/current`;
  }

  /** The current configuration; `null` when none is stored or it is invalid. @throws JsonHttpError */
  async read(): Promise<Configuration | null> {
    return (await this.readStored())?.configuration ?? null;
  }

  /**
   * The current configuration with its revision; `null` when none is stored or it is invalid.
   *
   * @throws JsonHttpError
   */
  async readStored(): Promise<StoredConfiguration | null> {
    const stored = await this.store.get(this.#currentKey);
    return stored === null ? null : parseStored(stored);
  }

  /**
   * Writes back a configuration that was accepted earlier, replacing an older one that was read at the given
   * revision; returns false when the stored configuration has changed since that revision.
   *
   * @throws JsonHttpError
   */
  restore(configuration: Configuration, modRevision: number): Promise<boolean> {
    return this.#write(configuration, modRevision);
  }

  /** The configuration of a version; `null` when none is stored or it is invalid. @throws JsonHttpError */
  async readVersion(version: number): Promise<Configuration | null> {
    const stored = await this.store.get(this.#historyKey(version));
    return stored === null ? null : parseConfiguration(stored.value);
  }

  /** Watches the current configuration; resolves when the watch has ended. */
  watch(onConfiguration: (stored: StoredConfiguration) => void, signal: AbortSignal): Promise<void> {
    const onValue = (value: StoredValue): void => {
      const stored = parseStored(value);
      if (stored !== null) onConfiguration(stored);
    };
    return this.store.watch(this.#currentKey, onValue, signal);
  }

  /**
   * Publishes a change as the next version.
   *
   * Each publication carries a unique id, so that after a lost response its outcome is found by reading the
   * version back.
   */
  async publish(
    change: ConfigurationChange,
    options: PublishOptions,
  ): Promise<Either<PublishFailure, Configuration>> {
    const problems = validateChange(change);
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
    const next = buildNextConfiguration(current, change, options.publishedBy);
    return this.#compareAndSwap(next, stored?.modRevision ?? 0, options);
  }

  async #compareAndSwap(
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

  /** Determines after a refused write or a lost response whether the stored version is this publication. */
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

function parseStored({ value, modRevision }: StoredValue): StoredConfiguration | null {
  const configuration = parseConfiguration(value);
  return configuration === null ? null : { configuration, modRevision };
}

/** Parses a stored configuration; `null` when it is invalid. */
export function parseConfiguration(text: string): Configuration | null {
  try {
    const result = configurationSchema.safeParse(JSON.parse(text));
    return result.success ? result.data : null;
  } catch {
    return null;
  }
}

function validateChange(change: ConfigurationChange): readonly string[] {
  if (change.policy === undefined) return [];
  return Policy.compile(change.policy).caseOf({
    Left: (problems) => problems,
    Right: (policy) => policy.runTests(),
  });
}

function buildNextConfiguration(
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
