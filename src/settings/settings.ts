/**
 * Settings of a daemon: a YAML file, overridden by command-line flags and validated against a schema.
 *
 * @packageDocumentation
 */
import { readFileSync } from 'node:fs';
import { Either, Left, Right } from 'purify-ts';
import { parse as parseYaml } from 'yaml';
import { z } from 'zod';
import { LOG_LEVELS } from '../observability/logger.js';
import { formatIssues } from './format-issues.js';

const host = z.union([z.ipv4(), z.ipv6()]);
const port = z.number().int().min(1).max(65535);
const address = z.strictObject({ host, port });
const durationMs = z.number().int().min(1).max(3_600_000);

/** Schema of the settings file. */
export const settingsSchema = z.strictObject({
  daemon: z.strictObject({
    id: z.string().regex(/^[\w.-]{1,100}$/, 'expected 1 to 100 letters, digits, dots, dashes or underscores'),
    zone: z.string().min(1).max(100),
  }),
  listen: z.strictObject({
    client: address,
    peer: address,
    http: address,
  }),
  /** Address at which other daemons reach this one, if it differs from `listen.peer`. */
  advertise: z.strictObject({ peer: address }).optional(),
  /** Local IP address of outgoing connections. */
  outboundAddress: host.nullable().default(null),
  store: z.strictObject({
    url: z.url({ protocol: /^http$/ }),
    prefix: z
      .string()
      .regex(/^\/[\w./-]*[\w]$/, 'expected a path without a slash at the end')
      .default('/sorrelladder'),
    timeoutMs: durationMs.default(2000),
  }),
  machineList: z
    .strictObject({
      url: z.url({ protocol: /^http$/ }),
      intervalMs: durationMs.default(1000),
      timeoutMs: durationMs.default(1000),
    })
    .nullable()
    .default(null),
  seeds: z.array(z.strictObject({ id: z.string(), host, port })).default([]),
  limits: z
    .strictObject({
      maxClientConnections: z.number().int().min(1).default(20_000),
      maxRequestBytes: z
        .number()
        .int()
        .min(1024)
        .default(16 * 1024 * 1024),
      maxUnreadBytes: z
        .number()
        .int()
        .min(1024)
        .default(32 * 1024 * 1024),
      maxQueueLength: z.number().int().min(1).default(1000),
      maxSessions: z.number().int().min(1).default(100_000),
      /** Connections per member that are kept free for monitoring and for changes of owner. */
      reservedConnections: z.number().int().min(2).default(3),
    })
    .prefault({}),
  timing: z
    .strictObject({
      leaseMs: durationMs.default(2000),
      leaseMarginMs: durationMs.default(200),
      statusIntervalMs: durationMs.default(200),
      statusTimeoutMs: durationMs.default(1000),
      connectTimeoutMs: durationMs.default(1000),
      evidenceTimeoutMs: durationMs.default(2000),
      acquireTimeoutMs: durationMs.default(1500),
      rankDelayMs: durationMs.default(500),
      yieldAfterMs: durationMs.default(3500),
      gossipIntervalMs: durationMs.default(500),
      probeTimeoutMs: durationMs.default(400),
      suspicionTimeoutMs: durationMs.default(800),
      syncIntervalMs: durationMs.default(30_000),
      linkIdleTimeoutMs: durationMs.default(30_000),
      linkSilenceTimeoutMs: durationMs.default(1200),
      drainTimeoutMs: durationMs.default(20_000),
      startupTimeoutMs: durationMs.default(10_000),
    })
    .refine((timing) => timing.leaseMarginMs < timing.leaseMs, {
      path: ['leaseMarginMs'],
      message: 'expected less than leaseMs',
    })
    .refine((timing) => timing.statusIntervalMs * 3 < timing.leaseMs, {
      path: ['statusIntervalMs'],
      message: 'expected less than a third of leaseMs',
    })
    .prefault({}),
  log: z.strictObject({ level: z.enum(LOG_LEVELS).default('info') }).prefault({}),
});

/** Validated settings of a daemon. @public */
export type Settings = z.infer<typeof settingsSchema>;

/** Flags that override the file: values by path, for example `daemon.id`. */
export type SettingOverrides = ReadonlyMap<string, string>;

/** Reads and validates a settings file; returns the issues, one per line, if there are any. */
export function loadSettings(path: string, overrides: SettingOverrides): Either<readonly string[], Settings> {
  let text: string;
  try {
    text = readFileSync(path, 'utf8');
  } catch (error) {
    return Left([`settings: cannot read the file: ${(error as Error).message}`]);
  }
  return parseSettings(text, overrides);
}

/** Validates the text of a settings file. */
export function parseSettings(
  text: string,
  overrides: SettingOverrides,
): Either<readonly string[], Settings> {
  let raw: unknown;
  try {
    raw = parseYaml(text);
  } catch (error) {
    return Left([`settings: not valid YAML: ${(error as Error).message.split('\n')[0]}`]);
  }
  if (raw === null || typeof raw !== 'object') return Left(['settings: expected a mapping']);
  for (const [path, value] of overrides)
    setAtPath(raw as Record<string, unknown>, path.split('.'), parseYaml(value));
  const result = settingsSchema.safeParse(raw);
  return result.success ? Right(result.data) : Left(formatIssues('settings', result.error.issues));
}

function setAtPath(target: Record<string, unknown>, path: readonly string[], value: unknown): void {
  const [name = '', ...rest] = path;
  if (rest.length === 0) {
    target[name] = value;
    return;
  }
  const existing = target[name];
  const next = existing !== null && typeof existing === 'object' ? (existing as Record<string, unknown>) : {};
  target[name] = next;
  setAtPath(next, rest, value);
}
