/**
 * Configurations as daemons send them to one another: the databases are omitted when the receiver already has
 * the same ones. Pure.
 *
 * Most changes concern only the policy, while in a large installation the databases are by far the larger
 * part.
 *
 * @packageDocumentation
 */
import { createHash } from 'node:crypto';
import type { Configuration, DatabaseConfiguration } from './configuration.js';

/** A configuration as sent to another daemon. */
export interface ConfigurationDocument {
  /** The configuration; its databases are empty when they are omitted. */
  readonly configuration: Configuration;
  readonly omitsDatabases: boolean;
  /** Digest of the databases, also when they are omitted. */
  readonly databasesDigest: string;
}

const digestCache = new WeakMap<readonly DatabaseConfiguration[], string>();

/** Digest of the databases of a configuration; empty when there is no configuration. */
export function digestDatabases(configuration: Configuration | null): string {
  if (configuration === null) return '';
  const { databases } = configuration;
  let digest = digestCache.get(databases);
  if (digest === undefined) {
    digest = createHash('sha256').update(JSON.stringify(databases)).digest('hex');
    digestCache.set(databases, digest);
  }
  return digest;
}

/** Builds the document for a daemon whose databases have the given digest. */
export function toDocument(configuration: Configuration, knownDigest: string): ConfigurationDocument {
  const databasesDigest = digestDatabases(configuration);
  const omitsDatabases = databasesDigest === knownDigest;
  return {
    configuration: omitsDatabases ? { ...configuration, databases: [] } : configuration,
    omitsDatabases,
    databasesDigest,
  };
}

/**
 * The complete configuration; `null` when the omitted databases differ from those of the current
 * configuration.
 */
export function fromDocument(
  document: ConfigurationDocument,
  current: Configuration | null,
): Configuration | null {
  if (!document.omitsDatabases) return document.configuration;
  if (current === null || digestDatabases(current) !== document.databasesDigest) return null;
  return { ...document.configuration, databases: current.databases };
}
