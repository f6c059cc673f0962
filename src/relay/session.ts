/**
 * One client session: its values, its prepared names, its transaction. Requests are handled one at a time.
 *
 * @packageDocumentation
 */
import type { Position } from '../position/position.js';
import { laterFloor, type ReadFloor } from '../leadership/position-history.js';
import { authorize, type Caller } from '../tenancy/authorize.js';
import type { KeyDigest } from '../tenancy/key-digest.js';
import type { Route } from '../topology/catalog.js';
import type { MemberGroup } from '../topology/member-group.js';
import type { MemberErrorCode, MemberReply } from './member-link.js';
import { ReadRunner } from './read-runner.js';
import { ELSEWHERE_RETRY_AFTER_MS, refusalOfCut } from './cut-request.js';
import { Refusal, type RefusalCode } from './refusal.js';
import { RETRY_AFTER_MS, UNPROVEN_RETRY_AFTER_MS, type RelayContext } from './relay-context.js';
import type { SessionStatement } from './send-statement.js';
import type { ClientRequest, PreparedShape, Statement, TransactionState } from './statement.js';
import { Transaction, type TransactionStep } from './transaction.js';
import { WriteRunner } from './write-runner.js';

/** What the client is answered. */
export type SessionResult =
  /** `signature` is the member's, or `null` where the daemon answered by itself. */
  | { readonly isComplete: true; readonly rows: readonly string[]; readonly signature: string | null }
  | { readonly isComplete: false; readonly refusal: Refusal };

/** An answer, and the transaction state after it. */
export interface SessionReply {
  readonly result: SessionResult;
  readonly state: TransactionState;
}

/** Prepared names and values that a session may hold, each. */
const MAX_NAMES = 1000;

const DONE: SessionResult = { isComplete: true, rows: [], signature: null };

/** A session's own position, and the group whose log it is in. */
interface OwnPosition {
  readonly groupName: string;
  readonly floor: ReadFloor;
}

/** A statement that is an operation by itself. */
interface Operation {
  readonly request: ClientRequest;
  readonly statement: SessionStatement;
  readonly route: Route;
  readonly group: MemberGroup;
  readonly tenantName: string;
}

/** A transaction that the client has begun; no member knows of it until its first statement. */
interface BeginRequest {
  readonly isReadOnly: boolean;
  readonly receivedAtMs: number;
  readonly route: Route;
  readonly group: MemberGroup;
  readonly tenantName: string;
}

/** What runs a statement. */
interface StatementProgress {
  /** True once a member has been sent it. */
  readonly wasSent: boolean;
  /** Its answer is no longer wanted: what was not sent yet never is. */
  abandon(): void;
}

const STOPPING = 'the daemon is stopping';

/** One client session. */
export class Session {
  readonly #values = new Map<string, string>();
  readonly #prepared = new Map<string, PreparedShape>();
  #state: TransactionState = 'idle';
  #transaction: Transaction | null = null;
  #beginRequest: BeginRequest | null = null;
  #ownPosition: OwnPosition | null = null;
  #restTimer: NodeJS.Timeout | null = null;
  #isHandling = false;
  /** What runs the statement that is being handled; `null` while none is at work for it. */
  #progress: StatementProgress | null = null;
  /** Ends the wait for the answer to the present request; `null` while there is none. */
  #cut: (() => void) | null = null;

  /** @param key - of the client; `null` when it gave none */
  constructor(
    private readonly context: RelayContext,
    private readonly database: string,
    private readonly key: KeyDigest | null,
  ) {}

  /** Transaction state as the client knows it. */
  get state(): TransactionState {
    return this.#state;
  }

  /** True while a request is being handled. */
  get isHandling(): boolean {
    return this.#isHandling;
  }

  /** True when a member has been sent the request that is being handled. */
  get wasSent(): boolean {
    return this.#progress?.wasSent ?? false;
  }

  /** Why the session may not be opened, or `null`. */
  admit(): Refusal | null {
    const route = this.context.catalog.route(this.database);
    if (route === null) return unknownDatabase(this.database);
    const answer = this.#authorization(route);
    return answer instanceof Refusal ? answer : null;
  }

  /** Handles one request; never rejects. */
  async handle(request: ClientRequest): Promise<SessionReply> {
    this.#isHandling = true;
    this.#stopRestTimer();
    try {
      const result = await this.#dispatchUntilCut(request);
      this.#ended(request, 'served');
      return { result, state: this.#state };
    } catch (error) {
      return this.#refused(request, error);
    } finally {
      this.#isHandling = false;
      this.#progress = null;
      this.#cut = null;
      this.#startRestTimer();
    }
  }

  /** Ends the request that is being handled with what is known of it. */
  cut(): void {
    this.#cut?.();
  }

  /** The daemon ends the session: what is open is rolled back, and a client that asks meanwhile is told this. */
  bidFarewell(): Refusal {
    const code = this.#state === 'idle' ? 'busy' : 'aborted';
    this.close();
    if (this.#state === 'open') this.#state = 'failed';
    return new Refusal(code, 'not_run', STOPPING, ELSEWHERE_RETRY_AFTER_MS);
  }

  /** A request was not understood: an open transaction has failed. */
  fail(): void {
    if (this.#state === 'idle') return;
    this.#endTransaction();
    this.#state = 'failed';
  }

  /** The client has gone: what is open is rolled back. */
  close(): void {
    this.#stopRestTimer();
    this.#endTransaction();
  }

  #ended(request: ClientRequest, outcome: string): void {
    const { observer, now } = this.context;
    observer.requestEnded(request.statement.kind, outcome, now() - request.receivedAtMs);
  }

  #refused(request: ClientRequest, error: unknown): SessionReply {
    const refusal =
      error instanceof Refusal ? error : new Refusal('timed_out', 'may_have_run', String(error));
    this.#ended(request, refusal.code);
    this.#endTransaction();
    const isEnd = request.statement.kind === 'commit' || request.statement.kind === 'rollback';
    this.#state = this.#state === 'idle' || isEnd ? 'idle' : 'failed';
    this.context.observer.notable({
      requestId: request.requestId,
      decision: 'refused',
      statement: request.statement.kind,
      code: refusal.code,
      verdict: refusal.verdict,
      reason: refusal.message,
      heldMs: Math.round(this.context.now() - request.receivedAtMs),
      database: this.database,
      configuration: this.context.catalog.document?.version,
      ...refusal.inputs,
    });
    return { result: { isComplete: false, refusal }, state: this.#state };
  }

  /** Runs a request; one that is cut meanwhile ends at once, and sends nothing more. */
  #dispatchUntilCut(request: ClientRequest): Promise<SessionResult> {
    return new Promise((resolve, reject) => {
      this.#cut = (): void => {
        reject(this.#refusalOfCut(request.statement));
        this.#progress?.abandon();
      };
      this.#dispatch(request).then(resolve, reject);
    });
  }

  #refusalOfCut(statement: Statement): Refusal {
    const prepared = statement.kind === 'execute' ? this.#prepared.get(statement.name) : undefined;
    const cutRequest = {
      kind: statement.kind,
      isWrite: statement.kind === 'write' || prepared?.isWrite === true,
      wasSent: this.wasSent,
      isInTransaction: this.#state !== 'idle',
      hasWritten: this.#transaction?.hasWritten ?? false,
    };
    return refusalOfCut(cutRequest, STOPPING);
  }

  /** Near its end a daemon begins nothing that others can do; commits keep the time that is left for answers. */
  #requireTime(statement: Statement): void {
    const stop = this.context.plannedStop();
    if (stop === null) return;
    const isEnd = statement.kind === 'commit' || statement.kind === 'rollback';
    if (this.context.now() < (isEnd ? stop.lastAnswerAtMs : stop.lastStatementAtMs)) return;
    const code = this.#state === 'idle' ? 'busy' : 'aborted';
    throw new Refusal(code, 'not_run', STOPPING, ELSEWHERE_RETRY_AFTER_MS);
  }

  /** When a request has to be answered: by its route's time, and before the daemon ends. */
  #deadlineOf(request: ClientRequest, route: Route): number {
    const lastAnswerAtMs = this.context.plannedStop()?.lastAnswerAtMs ?? Number.POSITIVE_INFINITY;
    return Math.min(request.receivedAtMs + route.timeoutMs, lastAnswerAtMs);
  }

  async #dispatch(request: ClientRequest): Promise<SessionResult> {
    const { statement } = request;
    if (this.#state === 'failed') return this.#inFailed(statement);
    this.#requireTime(statement);
    switch (statement.kind) {
      case 'begin':
        return this.#begin(statement.isReadOnly, request.receivedAtMs);
      case 'rollback':
        if (this.#state === 'idle') throw malformed('no transaction is open');
        this.#endTransaction();
        this.#state = 'idle';
        return DONE;
      case 'commit':
        if (this.#state === 'idle') throw malformed('no transaction is open');
        this.#authorizeInTransaction();
        return this.#commit(request, statement.payload);
      case 'set':
        requireRoom(this.#values, statement.name);
        this.#values.set(statement.name, statement.value);
        return DONE;
      case 'prepare':
        requireRoom(this.#prepared, statement.name);
        this.#prepared.set(statement.name, statement.prepared);
        return DONE;
      case 'deallocate':
        this.#prepared.delete(statement.name);
        return DONE;
      case 'read':
        return this.#run(request, { kind: 'plain', payload: statement.payload }, false);
      case 'write':
        return this.#run(request, { kind: 'plain', payload: statement.payload }, true);
      case 'execute':
        return this.#execute(request, statement.name, statement.operands);
    }
  }

  #inFailed(statement: Statement): SessionResult {
    if (statement.kind === 'rollback') {
      this.#state = 'idle';
      return DONE;
    }
    if (statement.kind === 'commit') throw new Refusal('aborted', 'not_run', 'the transaction has failed');
    throw malformed('the transaction has failed');
  }

  async #begin(isReadOnly: boolean, receivedAtMs: number): Promise<SessionResult> {
    if (this.#state !== 'idle') throw malformed('a transaction is open');
    const { route, group } = this.#route();
    const caller = this.#authorize(route);
    await this.#charge(caller);
    const { tenantName } = caller;
    this.#beginRequest = { isReadOnly, receivedAtMs, route, group, tenantName };
    this.#state = 'open';
    return DONE;
  }

  #execute(request: ClientRequest, name: string, operands: string): Promise<SessionResult> {
    const prepared = this.#prepared.get(name);
    if (prepared === undefined)
      throw new Refusal('unknown_name', 'not_run', `no such prepared name: ${name}`);
    return this.#run(request, { kind: 'prepared', prepared, operands }, prepared.isWrite);
  }

  #run(request: ClientRequest, statement: SessionStatement, isWrite: boolean): Promise<SessionResult> {
    if (this.#state === 'open') {
      this.#authorizeInTransaction();
      return this.#inTransaction(request, statement, isWrite ? 'write' : 'read');
    }
    return this.#single(request, statement, isWrite);
  }

  /** A statement that is an operation by itself; one that is not run is not charged. */
  async #single(
    request: ClientRequest,
    statement: SessionStatement,
    isWrite: boolean,
  ): Promise<SessionResult> {
    const { route, group } = this.#route();
    const caller = this.#authorize(route);
    const refund = await this.#charge(caller);
    const operation = { request, statement, route, group, tenantName: caller.tenantName };
    try {
      return await (isWrite ? this.#singleWrite(operation) : this.#singleRead(operation));
    } catch (error) {
      if (error instanceof Refusal && error.verdict === 'not_run') refund();
      throw error;
    }
  }

  async #singleRead({ request, statement, route, group, tenantName }: Operation): Promise<SessionResult> {
    const { requestId, receivedAtMs } = request;
    const job = {
      tenantName,
      requestId,
      statement,
      route,
      group,
      values: this.#values,
      sessionFloor: this.#floorIn(group),
      receivedAtMs,
      deadlineMs: this.#deadlineOf(request, route),
    };
    const runner = new ReadRunner(this.context, job);
    this.#progress = runner;
    return toResult(await runner.run(), false);
  }

  async #singleWrite({ request, statement, route, group, tenantName }: Operation): Promise<SessionResult> {
    const { requestId } = request;
    const deadlineMs = this.#deadlineOf(request, route);
    const job = { requestId, statement, route, group, tenantName, values: this.#values, deadlineMs };
    const runner = new WriteRunner(this.context, job);
    this.#progress = runner;
    const reply = await runner.run();
    if (reply.result.isComplete) this.#recordOwn(group, reply.position);
    return toResult(reply, false);
  }

  async #inTransaction(
    request: ClientRequest,
    statement: SessionStatement,
    kind: TransactionStep['kind'],
  ): Promise<SessionResult> {
    const transaction = this.#openTransaction();
    this.#progress = transaction;
    const { requestId } = request;
    const deadlineMs = this.#deadlineOf(request, transaction.options.route);
    const reply = await transaction.run({ requestId, statement, kind, values: this.#values, deadlineMs });
    const result = toResult(reply, kind !== 'commit' || !transaction.hasWritten);
    if (kind === 'commit' && reply.result.isComplete && transaction.hasWritten)
      this.#recordOwn(transaction.options.group, reply.position);
    return result;
  }

  async #commit(request: ClientRequest, payload: string): Promise<SessionResult> {
    const result = await this.#inTransaction(request, { kind: 'plain', payload }, 'commit');
    this.#endTransaction();
    this.#state = 'idle';
    return result;
  }

  #openTransaction(): Transaction {
    if (this.#transaction !== null) return this.#transaction;
    const begin = this.#beginRequest;
    if (begin === null) throw new Refusal('aborted', 'not_run', 'the transaction was ended', RETRY_AFTER_MS);
    this.#transaction = new Transaction(this.context, { ...begin, sessionFloor: this.#floorIn(begin.group) });
    return this.#transaction;
  }

  #endTransaction(): void {
    this.#transaction?.end();
    this.#transaction = null;
    this.#beginRequest = null;
  }

  #route(): { route: Route; group: MemberGroup } {
    const route = this.context.catalog.route(this.database);
    if (route === null) throw unknownDatabase(this.database);
    const group = this.context.group(route.groupName);
    if (group === null) throw new Refusal('busy', 'not_run', 'the group is not known yet', RETRY_AFTER_MS);
    return { route, group };
  }

  #authorization(route: Route): Caller | Refusal {
    const { catalog, configurationLease, now } = this.context;
    const { document } = catalog;
    if (document === null) throw new Error('a route without a configuration');
    const isProven = configurationLease.isProven(now());
    const authorization = authorize(document, isProven, route, this.key);
    switch (authorization.kind) {
      case 'granted':
        return authorization.caller;
      case 'unknown_key':
        return new Refusal('unauthorized', 'not_run', 'no tenant holds this key');
      case 'unproven':
        return new Refusal(
          'busy',
          'not_run',
          'the configuration may be out of date',
          UNPROVEN_RETRY_AFTER_MS,
        );
    }
  }

  /** Who calls; asked for each operation, since keys are taken away while sessions are open. */
  #authorize(route: Route): Caller {
    const answer = this.#authorization(route);
    if (answer instanceof Refusal) throw answer;
    return answer;
  }

  /** The same for each statement of an open transaction, which goes on only for the tenant that has begun it. */
  #authorizeInTransaction(): void {
    const begin = this.#beginRequest;
    if (begin === null) return;
    const answer = this.#authorization(begin.route);
    if (!(answer instanceof Refusal)) {
      if (answer.tenantName === begin.tenantName) return;
      throw new Refusal('aborted', 'not_run', 'the key has passed to another tenant', RETRY_AFTER_MS);
    }
    if (answer.code === 'unauthorized') throw answer;
    throw new Refusal('aborted', 'not_run', answer.message, answer.retryAfterMs);
  }

  /** Charges an operation to the caller's account; what is returned gives it back. */
  async #charge({ account }: Caller): Promise<() => void> {
    if (account === null) return () => undefined;
    const charge = await this.context.quotas.charge(account);
    switch (charge.kind) {
      case 'charged':
        return charge.refund;
      case 'over_quota':
        throw new Refusal('busy', 'not_run', 'the tenant has used up its quota', charge.retryAfterMs);
      case 'no_home':
        throw new Refusal('busy', 'not_run', 'the quota of the tenant is not known', charge.retryAfterMs);
    }
  }

  #floorIn(group: MemberGroup): ReadFloor | null {
    return this.#ownPosition?.groupName === group.name ? this.#ownPosition.floor : null;
  }

  #recordOwn(group: MemberGroup, position: Position | null): void {
    if (position === null) return;
    const before = this.#floorIn(group);
    const floor = { position, reachedAtMs: this.context.now() };
    this.#ownPosition = {
      groupName: group.name,
      floor: before === null ? floor : laterFloor(before, floor),
    };
  }

  /** A transaction that rests too long gives its connection back; its client learns of it with the next request. */
  #startRestTimer(): void {
    const document = this.context.catalog.document;
    if (this.#transaction === null || document === null) return;
    this.#restTimer = setTimeout(() => this.#endTransaction(), document.transactionIdleMs);
  }

  #stopRestTimer(): void {
    if (this.#restTimer !== null) clearTimeout(this.#restTimer);
    this.#restTimer = null;
  }
}

function unknownDatabase(database: string): Refusal {
  return new Refusal('unknown_database', 'not_run', `no such database: ${database}`);
}

function malformed(reason: string): Refusal {
  return new Refusal('malformed', 'not_run', reason);
}

function requireRoom(names: ReadonlyMap<string, unknown>, name: string): void {
  if (names.size >= MAX_NAMES && !names.has(name))
    throw new Refusal('too_large', 'not_run', 'too many names in this session');
}

/** @param isUndone - whether an error leaves nothing of the transaction behind */
function toResult(reply: MemberReply, isUndone: boolean): SessionResult {
  const { result } = reply;
  if (result.isComplete) return { isComplete: true, rows: reply.rows, signature: result.signature };
  throw refusalOf(result.code, result.text, isUndone);
}

const CODES: Readonly<Record<MemberErrorCode, RefusalCode>> = {
  busy: 'busy',
  behind: 'busy',
  read_only: 'busy',
  unknown_name: 'busy',
  wrong_member: 'busy',
  too_many_connections: 'busy',
  failed: 'failed',
  timed_out: 'timed_out',
  other: 'failed',
};

function refusalOf(code: MemberErrorCode, text: string, isUndone: boolean): Refusal {
  const mapped = CODES[code];
  if (mapped === 'busy' && isUndone)
    return new Refusal('aborted', 'not_run', `${code} ${text}`, RETRY_AFTER_MS);
  if (mapped === 'busy') return new Refusal('busy', 'not_run', `${code} ${text}`, RETRY_AFTER_MS);
  return new Refusal(mapped, 'ran', `${code} ${text}`);
}
