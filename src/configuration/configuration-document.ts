/**
 * Configurations as daemons send them to one another: without the databases where the receiver has the same. Pure.
 *
 * Most changes are changes of policy, and at size the databases are the larger part by far.
 *
 * @packageDocumentation
 */
import { createHash } from 'node:crypto';
import type { Configuration, DatabaseConfiguration } from './configuration.js';

/** A configuration on its way to a daemon. */
export interface ConfigurationDocument {
  /** The configuration; its databases are empty when they are omitted. */
  readonly configuration: Configuration;
  readonly omitsDatabases: boolean;
  /** Digest of the databases, omitted or not. */
  readonly databasesDigest: string;
}

const digests = new WeakMap<readonly DatabaseConfiguration[], string>();

/** Digest of the databases of a configuration; empty for none. */
export function digestDatabases(configuration: Configuration | null): string {
  if (configuration === null) return '';
  const { databases } = configuration;
  let digest = digests.get(databases);
  if (digest === undefined) {
    digest = createHash('sha256').update(JSON.stringify(databases)).digest('hex');
    digests.set(databases, digest);
  }
  return digest;
}

/** Prepares a configuration for a daemon whose databases have the given digest. */
export function toDocument(configuration: Configuration, knownDigest: string): ConfigurationDocument {
  const databasesDigest = digestDatabases(configuration);
  const omitsDatabases = databasesDigest === knownDigest;
  return {
    configuration: omitsDatabases ? { ...configuration, databases: [] } : configuration,
    omitsDatabases,
    databasesDigest,
  };
}

/** The whole configuration; `null` when the omitted databases are not the ones at hand (any more). */
export function fromDocument(
  document: ConfigurationDocument,
  current: Configuration | null,
): Configuration | null {
  if (!document.omitsDatabases) return document.configuration;
  if (current === null || digestDatabases(current) !== document.databasesDigest) return null;
  return { ...document.configuration, databases: current.databases };
}
