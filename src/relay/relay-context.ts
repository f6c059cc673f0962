/**
 * Dependencies that the parts of the relay share.
 *
 * @packageDocumentation
 */
import type { Placement } from '../placement/placement.js';
import type { AdmissionObserver } from '../admission/pool-admission.js';
import type { Isolation } from '../isolation/isolation.js';
import type { OperationQuotas } from '../quota/operation-quotas.js';
import type { ConfigurationLease } from '../tenancy/configuration-lease.js';
import type { Catalog } from '../topology/catalog.js';
import type { Member, MemberGroup } from '../topology/member-group.js';
import type { StatusReader } from './member-link.js';
import type { ShutdownSchedule } from './shutdown-schedule.js';

/** A decision about a request, with the inputs that led to it. */
export interface Decision {
  readonly requestId: string;
  readonly decision: string;
  readonly [input: string]: string | number | boolean | null | undefined;
}

/** Logs and counts decisions. */
export interface RelayObserver extends AdmissionObserver {
  /** A decision about a request without problems: the log may omit it under load. */
  routine(decision: Decision): void;
  /** A decision about a request that has run into a problem. */
  notable(decision: Decision): void;
  /** Records the latency of a member's reply, in milliseconds. */
  memberAnswered(kind: string, isLeader: boolean, ms: number): void;
  /** A hedged request, or a retry after a refusal because of load, was sent or withheld by the retry budget. */
  retryDecided(decision: 'sent' | 'withheld'): void;
  /** Records the end of a request; `outcome` is `served` or the code of its refusal. */
  requestEnded(statement: string, outcome: string, ms: number): void;
}

/** Dependencies that sessions, transactions and request runners of one daemon share. */
export interface RelayContext {
  readonly catalog: Catalog;
  /** Tells whether the configuration may still be acted on. */
  readonly configurationLease: Pick<ConfigurationLease, 'isProven'>;
  /** Remaining operations of the tenants. */
  readonly quotas: OperationQuotas;
  readonly zone: string;
  readonly isolation: Isolation;
  readonly observer: RelayObserver;
  /** Returns a group by name, or `null`. Configuration changes add and remove groups. */
  group(name: string): MemberGroup | null;
  /** The schedule of the shutdown in progress; `null` before a shutdown. */
  shutdownSchedule(): ShutdownSchedule | null;
  /** Monotonic time, in milliseconds. */
  now(): number;
  /** Parses a member's reply to a status request. */
  readonly readStatus: StatusReader;
  /** Loads, distances and shares of members for the choice among them; without it, only own requests count. */
  readonly placement?: Placement;
  /** Reports a member that did not answer, refused connections or denied being the leader. */
  suspect(group: MemberGroup, member: Member, reason: string): void;
}

/** Delay before a request is retried at members that refused it, in milliseconds. */
export const RETRY_DELAY_MS = 15;

/** How long a connection may stay in use for a reply that the client no longer waits for, in milliseconds. */
export const LATE_REPLY_TIMEOUT_MS = 300;

/**
 * Retry delay suggested to a client that is rejected because the configuration cannot be proven to be the
 * newest, in milliseconds. The proof is renewed at shorter intervals than this.
 */
export const UNPROVEN_RETRY_AFTER_MS = 250;

/** Retry delay suggested to a client whose request was not run, in milliseconds. */
export const RETRY_AFTER_MS = 50;
