/**
 * Builds the options of a database's controller from the daemon's settings.
 *
 * @packageDocumentation
 */
import type { DatabaseConfiguration } from '../configuration/configuration.js';
import { CONTROL_APPLICATION_NAME, POOL_APPLICATION_NAME } from '../member/member-statements.js';
import type { EngineMetrics } from '../observability/engine-metrics.js';
import type { Logger } from '../observability/logger.js';
import type { DatabaseControllerOptions } from '../ownership/database-controller.js';
import type { Policy } from '../policy/policy.js';
import { MemberPool } from '../pool/member-pool.js';
import type { Settings } from '../settings/settings.js';

/** Inputs of the options besides the database itself. */
export interface ControllerContext {
  readonly settings: Settings;
  readonly log: Logger;
  readonly metrics: EngineMetrics;
  readonly policy: () => Policy;
  readonly isListedAsLeaving: (memberId: string) => boolean;
  readonly random: () => number;
}

/** User name under which daemons connect to members. */
const MEMBER_USER = 'sorrelladder';

/** Builds the options of one database's controller. */
export function createControllerOptions(
  database: DatabaseConfiguration,
  context: ControllerContext,
): DatabaseControllerOptions {
  const { settings, log, metrics, policy, isListedAsLeaving, random } = context;
  const { timing, limits } = settings;
  const connection = {
    database: database.name,
    user: MEMBER_USER,
    localAddress: settings.outboundAddress,
    connectTimeoutMs: timing.connectTimeoutMs,
  };
  const createPool = (memberId: string, mayOpen: () => boolean): MemberPool => {
    const member = database.members.find(({ id }) => id === memberId);
    if (member === undefined) throw new Error(`member ${memberId} is not configured`);
    return new MemberPool({
      connection: {
        ...connection,
        host: member.host,
        port: member.port,
        applicationName: POOL_APPLICATION_NAME,
      },
      maxConnections: Math.max(1, database.connectionLimit - limits.reservedConnections),
      slots: database.slots,
      maxQueueLength: limits.maxQueueLength,
      mayOpen,
    });
  };
  return {
    database,
    monitor: {
      database: database.name,
      connection: { ...connection, applicationName: CONTROL_APPLICATION_NAME },
      leaseMs: timing.leaseMs,
      leaseMarginMs: timing.leaseMarginMs,
      statusIntervalMs: timing.statusIntervalMs,
      statusTimeoutMs: timing.statusTimeoutMs,
      isListedAsLeaving,
    },
    engine: {
      createPool,
      policy,
      metrics,
      evidenceTimeoutMs: timing.evidenceTimeoutMs,
      maxSessions: limits.maxSessions,
      maxWaiting: limits.maxQueueLength * database.members.length,
      random,
    },
    log,
    acquireTimeoutMs: timing.acquireTimeoutMs,
    rankDelayMs: timing.rankDelayMs,
    yieldAfterMs: timing.yieldAfterMs,
    random,
  };
}
