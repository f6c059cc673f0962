/**
 * What the parts of the relay share.
 *
 * @packageDocumentation
 */
import type { OperationQuotas } from '../quota/operation-quotas.js';
import type { ConfigurationLease } from '../tenancy/configuration-lease.js';
import type { Catalog } from '../topology/catalog.js';
import type { Member, MemberGroup } from '../topology/member-group.js';
import type { StatusReader } from './member-link.js';
import type { PlannedStop } from './planned-stop.js';

/** One decision that touches a request. */
export interface Decision {
  readonly requestId: string;
  readonly decision: string;
  readonly [input: string]: string | number | boolean | null | undefined;
}

/** Where decisions are told and counted. */
export interface RelayObserver {
  /** A decision about a request that goes well: may be left out of the log under load. */
  routine(decision: Decision): void;
  /** A decision about a request that is in trouble. */
  notable(decision: Decision): void;
  /** The time of an answer of a member, in milliseconds. */
  memberAnswered(kind: string, isLeader: boolean, ms: number): void;
  /** A request has ended; `outcome` is `served` or the code of its refusal. */
  requestEnded(statement: string, outcome: string, ms: number): void;
}

/** What the parts of the relay share. */
export interface RelayContext {
  readonly catalog: Catalog;
  /** For how long the configuration may be acted on. */
  readonly configurationLease: Pick<ConfigurationLease, 'isProven'>;
  /** What tenants may still have run. */
  readonly quotas: OperationQuotas;
  readonly zone: string;
  readonly observer: RelayObserver;
  /** The group of a name; groups come and go with the configuration. */
  group(name: string): MemberGroup | null;
  /** The plan by which this daemon stops; `null` while it goes on. */
  plannedStop(): PlannedStop | null;
  /** Monotonic time, in milliseconds. */
  now(): number;
  /** Reads what a member says of itself. */
  readonly readStatus: StatusReader;
  /** A member went silent, refused connections or denied its lead. */
  suspect(group: MemberGroup, member: Member, reason: string): void;
}

/** Pause before members that refused are asked again, in milliseconds. */
export const RETRY_PAUSE_MS = 15;

/** How long the answer to a request that its client no longer waits for may occupy a connection, in milliseconds. */
export const LATE_ANSWER_MS = 300;

/**
 * Advice to a client that is turned away since the configuration cannot be shown to be the newest, in milliseconds: a renewal
 * of the proof is tried more often.
 */
export const UNPROVEN_RETRY_AFTER_MS = 250;

/** Advice to a client whose request was not run, in milliseconds. */
export const RETRY_AFTER_MS = 50;
