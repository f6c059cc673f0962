/**
 * The configuration that operators publish: databases and policy under a common version number.
 *
 * @packageDocumentation
 */
import { z } from 'zod';

const memberSchema = z.strictObject({
  id: z.string().min(1).max(100),
  zone: z.string().min(1).max(100),
  host: z.union([z.ipv4(), z.ipv6()]),
  port: z.number().int().min(1).max(65535),
});

/** Schema of one database. */
export const databaseSchema = z.strictObject({
  name: z.string().min(1).max(63),
  /** Maximum number of connections that a member accepts. */
  connectionLimit: z.number().int().min(4).max(10_000),
  /** Maximum number of statements that a member executes concurrently. */
  slots: z.number().int().min(1).max(1000),
  members: z.array(memberSchema).min(1).max(9),
});

/** Schema of the input of `config publish`. */
export const databasesDocumentSchema = z.strictObject({
  databases: z.array(databaseSchema).max(2000),
});

/** Schema of a stored configuration. */
export const configurationSchema = z.strictObject({
  version: z.number().int().min(1),
  /** Unique id of the publication, by which a publisher recognises its own after a lost response. */
  identity: z.string().min(1),
  publishedBy: z.string(),
  publishedAt: z.string(),
  databases: z.array(databaseSchema),
  policy: z.string(),
});

/** One database of the configuration. */
export type DatabaseConfiguration = z.infer<typeof databaseSchema>;
/** A published configuration. @public */
export type Configuration = z.infer<typeof configurationSchema>;
