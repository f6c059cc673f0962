/**
 * One client session: its session values, prepared statements and transaction. Requests are handled one at a
 * time.
 *
 * @packageDocumentation
 */
import { ByteBudget } from '../common/byte-budget.js';
import { cutOffRefusal } from '../isolation/isolation.js';
import { isLeaderOutOfReach, isReadOutOfReach } from '../isolation/reach.js';
import { authorize, type Caller } from '../tenancy/authorize.js';
import type { KeyDigest } from '../tenancy/key-digest.js';
import type { Route } from '../topology/catalog.js';
import type { MemberGroup } from '../topology/member-group.js';
import type { MemberErrorCode, MemberReply } from './member-link.js';
import { readFloor } from './read-candidates.js';
import { ReadRunner } from './read-runner.js';
import { OTHER_DAEMON_RETRY_AFTER_MS, refusalOfInterrupted } from './interrupted-request.js';
import { Refusal, type RefusalCode } from './refusal.js';
import { RETRY_AFTER_MS, UNPROVEN_RETRY_AFTER_MS, type RelayContext } from './relay-context.js';
import { SessionCommits } from './session-commits.js';
import type { SessionStatement } from './send-statement.js';
import type { ClientRequest, PreparedStatement, Statement, TransactionState } from './statement.js';
import { Transaction, type TransactionStep } from './transaction.js';
import { WriteRunner } from './write-runner.js';

/** The result sent to the client. */
export type SessionResult =
  /** `signature` is the member's, or `null` when the daemon answered without asking a member. */
  | { readonly isComplete: true; readonly rows: readonly string[]; readonly signature: string | null }
  | { readonly isComplete: false; readonly refusal: Refusal };

/** A result and the transaction state after it. */
export interface SessionReply {
  readonly result: SessionResult;
  readonly state: TransactionState;
}

/** Limit on the prepared statements of a session, and likewise on its session values. */
const MAX_SESSION_NAMES = 1000;
/** Limit on their size in one session, and on that in all sessions beyond a reserve of each, in bytes. */
const MAX_SESSION_BYTES = 64 * 1024;
const ENTRY_OVERHEAD_BYTES = 64;
const MAX_SHARED_SESSION_BYTES = 8 * 1024 * 1024;
const RESERVED_SESSION_BYTES = 2 * 1024;

/** The budget for the values and prepared names of all sessions of a daemon. */
export function newSessionBudget(): ByteBudget {
  return new ByteBudget(MAX_SHARED_SESSION_BYTES, RESERVED_SESSION_BYTES);
}

const NO_MEMBERS: ReadonlySet<string> = new Set();

const EMPTY_SUCCESS: SessionResult = { isComplete: true, rows: [], signature: null };

/** A statement outside a transaction. */
interface StandaloneOperation {
  readonly request: ClientRequest;
  readonly statement: SessionStatement;
  readonly route: Route;
  readonly group: MemberGroup;
  readonly tenantName: string;
}

/** A transaction that the client has begun; it is opened at a member only with its first statement. */
interface BeginRequest {
  readonly isReadOnly: boolean;
  readonly receivedAtMs: number;
  readonly route: Route;
  readonly group: MemberGroup;
  readonly tenantName: string;
}

/** Runs a statement of the session. */
interface StatementRunner {
  /** True once the statement has been sent to a member. */
  readonly wasSent: boolean;
  /** Abandons the statement: anything not sent yet is never sent. */
  abandon(): void;
}

const STOPPING_REASON = 'the daemon is stopping';

export class Session {
  readonly #values = new Map<string, string>();
  readonly #prepared = new Map<string, PreparedStatement>();
  /** Size of the session values and prepared statements, in bytes. */
  #stateBytes = 0;
  readonly #commits = new SessionCommits();
  #state: TransactionState = 'idle';
  #transaction: Transaction | null = null;
  #beginRequest: BeginRequest | null = null;
  #idleTimer: NodeJS.Timeout | null = null;
  #isHandling = false;
  /** Runs the current statement; `null` while none is running. */
  #runner: StatementRunner | null = null;
  /** Requests that were interrupted and refused while their dispatch goes on: nothing may be sent for them. */
  readonly #interrupted = new WeakSet<ClientRequest>();
  /** Interrupts the current request; `null` while there is none. */
  #interrupt: (() => void) | null = null;

  /** @param key - digest of the client's API key; `null` when it presented none */
  constructor(
    private readonly context: RelayContext,
    private readonly database: string,
    private readonly key: KeyDigest | null,
    private readonly budget = newSessionBudget(),
  ) {}

  /** Transaction state as last reported to the client. */
  get state(): TransactionState {
    return this.#state;
  }

  /** True while a request is being handled. */
  get isHandling(): boolean {
    return this.#isHandling;
  }

  /** True when the current request has been sent to a member. */
  get wasSent(): boolean {
    return this.#runner?.wasSent ?? false;
  }

  /** The refusal when the session may not be opened, or `null`. */
  checkAdmission(): Refusal | null {
    const route = this.context.catalog.route(this.database);
    if (route === null) return unknownDatabase(this.database);
    const answer = this.#authorization(route);
    return answer instanceof Refusal ? answer : null;
  }

  /** Handles one request; never rejects. */
  async handle(request: ClientRequest): Promise<SessionReply> {
    this.#isHandling = true;
    this.#stopIdleTimer();
    try {
      const result = await this.#dispatchInterruptibly(request);
      this.#observeEnd(request, 'served');
      return { result, state: this.#state };
    } catch (error) {
      return this.#refuse(request, error);
    } finally {
      this.#isHandling = false;
      this.#runner = null;
      this.#interrupt = null;
      this.#startIdleTimer();
    }
  }

  /** Interrupts the current request; its refusal says what is known of its effect. */
  interrupt(): void {
    this.#interrupt?.();
  }

  /**
   * Closes the session because the daemon is stopping or hands its clients over: an open transaction is rolled
   * back, and requests that arrive afterwards get the returned refusal.
   */
  closeForShutdown(reason = STOPPING_REASON): Refusal {
    const code = this.#state === 'idle' ? 'busy' : 'aborted';
    this.close();
    if (this.#state === 'open') this.#state = 'failed';
    return new Refusal(code, 'not_run', reason, OTHER_DAEMON_RETRY_AFTER_MS);
  }

  /** Marks an open transaction as failed, after a request that could not be parsed. */
  failTransaction(): void {
    if (this.#state === 'idle') return;
    this.#endTransaction();
    this.#state = 'failed';
  }

  /** Closes the session; an open transaction is rolled back. */
  close(): void {
    this.#stopIdleTimer();
    this.#endTransaction();
    this.budget.resize(this.#stateBytes, 0);
    this.#stateBytes = 0;
  }

  #observeEnd(request: ClientRequest, outcome: string): void {
    const { observer, now } = this.context;
    observer.requestEnded(request.statement.kind, outcome, now() - request.receivedAtMs);
  }

  #refuse(request: ClientRequest, error: unknown): SessionReply {
    const refusal =
      error instanceof Refusal ? error : new Refusal('timed_out', 'may_have_run', String(error));
    this.#observeEnd(request, refusal.code);
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
      ...refusal.details,
    });
    return { result: { isComplete: false, refusal }, state: this.#state };
  }

  /** Runs a request; when it is interrupted, it is rejected at once and sends nothing more. */
  #dispatchInterruptibly(request: ClientRequest): Promise<SessionResult> {
    return new Promise((resolve, reject) => {
      this.#interrupt = (): void => {
        this.#interrupted.add(request);
        reject(this.#interruptedRefusal(request.statement));
        this.#runner?.abandon();
      };
      this.#dispatch(request).then(resolve, reject);
    });
  }

  #interruptedRefusal(statement: Statement): Refusal {
    const prepared = statement.kind === 'execute' ? this.#prepared.get(statement.name) : undefined;
    const interrupted = {
      kind: statement.kind,
      isWrite: statement.kind === 'write' || prepared?.isWrite === true,
      wasSent: this.wasSent,
      isInTransaction: this.#state !== 'idle',
      hasWritten: this.#transaction?.hasWritten ?? false,
    };
    return refusalOfInterrupted(interrupted, STOPPING_REASON);
  }

  /**
   * Refuses a request that arrives late in a planned stop, since other daemons can serve it. Commits and
   * rollbacks are accepted longer, up to the time at which every request must be answered.
   */
  #refuseIfStopping(statement: Statement): void {
    const stop = this.context.shutdownSchedule();
    if (stop === null) return;
    const isEnd = statement.kind === 'commit' || statement.kind === 'rollback';
    if (this.context.now() < (isEnd ? stop.replyDeadlineMs : stop.statementCutoffMs)) return;
    const code = this.#state === 'idle' ? 'busy' : 'aborted';
    throw new Refusal(code, 'not_run', STOPPING_REASON, OTHER_DAEMON_RETRY_AFTER_MS);
  }

  /** True while this daemon is cut off and could not run the statements of the transaction. */
  #isBeginOutOfReach(group: MemberGroup, route: Route, isReadOnly: boolean): boolean {
    if (!isReadOnly) return this.context.isolation.isIsolated;
    return route.consistency === 'primary' && isLeaderOutOfReach(this.context, group);
  }

  /** True while this daemon is cut off and no member in reach may run a statement outside a transaction. */
  #isStatementOutOfReach(
    { receivedAtMs }: ClientRequest,
    group: MemberGroup,
    route: Route,
    isWrite: boolean,
  ): boolean {
    if (!this.context.isolation.isIsolated || isWrite) return this.context.isolation.isIsolated;
    const floor = readFloor(group, route, this.#commits.floorFor(group), receivedAtMs);
    return isReadOutOfReach(this.context, group, floor, NO_MEMBERS);
  }

  /**
   * Deadline of a request: the route's time-out, or the last answer time of a planned stop if that is
   * earlier.
   */
  #deadlineOf(request: ClientRequest, route: Route): number {
    const lastAnswerAtMs = this.context.shutdownSchedule()?.replyDeadlineMs ?? Number.POSITIVE_INFINITY;
    return Math.min(request.receivedAtMs + route.timeoutMs, lastAnswerAtMs);
  }

  async #dispatch(request: ClientRequest): Promise<SessionResult> {
    const { statement } = request;
    if (this.#state === 'failed') return this.#handleInFailedTransaction(statement);
    this.#refuseIfStopping(statement);
    switch (statement.kind) {
      case 'begin':
        return this.#begin(request, statement.isReadOnly);
      case 'rollback':
        if (this.#state === 'idle') throw malformed('no transaction is open');
        this.#endTransaction();
        this.#state = 'idle';
        return EMPTY_SUCCESS;
      case 'commit':
        if (this.#state === 'idle') throw malformed('no transaction is open');
        this.#authorizeInTransaction();
        return this.#commit(request, statement.payload);
      case 'set':
        this.#setValue(statement.name, statement.value);
        return EMPTY_SUCCESS;
      case 'prepare':
        this.#setPrepared(statement.name, statement.prepared);
        return EMPTY_SUCCESS;
      case 'deallocate':
        this.#deletePrepared(statement.name);
        return EMPTY_SUCCESS;
      case 'read':
        return this.#run(request, { kind: 'plain', payload: statement.payload }, false);
      case 'write':
        return this.#run(request, { kind: 'plain', payload: statement.payload }, true);
      case 'execute':
        return this.#execute(request, statement.name, statement.operands);
    }
  }

  #setValue(name: string, value: string): void {
    requireCapacity(this.#values, name);
    const former = this.#values.get(name);
    this.#resizeState(entryBytes(name, value) - (former === undefined ? 0 : entryBytes(name, former)));
    this.#values.set(name, value);
  }

  #setPrepared(name: string, prepared: PreparedStatement): void {
    requireCapacity(this.#prepared, name);
    const former = this.#prepared.get(name);
    const formerBytes = former === undefined ? 0 : entryBytes(name, former.shape);
    this.#resizeState(entryBytes(name, prepared.shape) - formerBytes);
    this.#prepared.set(name, prepared);
  }

  #deletePrepared(name: string): void {
    const former = this.#prepared.get(name);
    if (former === undefined) return;
    this.#resizeState(-entryBytes(name, former.shape));
    this.#prepared.delete(name);
  }

  /** @throws Refusal if the session, or all sessions together, would keep too much */
  #resizeState(changeBytes: number): void {
    const bytes = this.#stateBytes + changeBytes;
    if (changeBytes > 0 && bytes > MAX_SESSION_BYTES)
      throw new Refusal('too_large', 'not_run', 'too many or too long values and names in this session');
    if (!this.budget.resize(this.#stateBytes, bytes))
      throw new Refusal('too_large', 'not_run', 'too many or too long values and names in all sessions');
    this.#stateBytes = bytes;
  }

  #handleInFailedTransaction(statement: Statement): SessionResult {
    if (statement.kind === 'rollback') {
      this.#state = 'idle';
      return EMPTY_SUCCESS;
    }
    if (statement.kind === 'commit') throw new Refusal('aborted', 'not_run', 'the transaction has failed');
    throw malformed('the transaction has failed');
  }

  async #begin(request: ClientRequest, isReadOnly: boolean): Promise<SessionResult> {
    const { receivedAtMs } = request;
    if (this.#state !== 'idle') throw malformed('a transaction is open');
    const { route, group } = this.#route();
    const caller = this.#authorize(route);
    if (this.#isBeginOutOfReach(group, route, isReadOnly)) throw cutOffRefusal(false, { group: group.name });
    await this.#charge(request, caller);
    const { tenantName } = caller;
    this.#beginRequest = { isReadOnly, receivedAtMs, route, group, tenantName };
    this.#state = 'open';
    return EMPTY_SUCCESS;
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
      return this.#runInTransaction(request, statement, isWrite ? 'write' : 'read');
    }
    return this.#runStandalone(request, statement, isWrite);
  }

  /** Runs a statement outside a transaction; its quota charge is refunded when it was not run. */
  async #runStandalone(
    request: ClientRequest,
    statement: SessionStatement,
    isWrite: boolean,
  ): Promise<SessionResult> {
    const { route, group } = this.#route();
    const caller = this.#authorize(route);
    if (this.#isStatementOutOfReach(request, group, route, isWrite))
      throw cutOffRefusal(false, { group: group.name });
    const refund = await this.#charge(request, caller);
    const operation = { request, statement, route, group, tenantName: caller.tenantName };
    try {
      return await (isWrite ? this.#standaloneWrite(operation) : this.#standaloneRead(operation));
    } catch (error) {
      if (error instanceof Refusal && error.verdict === 'not_run') refund();
      throw error;
    }
  }

  async #standaloneRead({
    request,
    statement,
    route,
    group,
    tenantName,
  }: StandaloneOperation): Promise<SessionResult> {
    const { requestId, receivedAtMs } = request;
    const job = {
      tenantName,
      requestId,
      statement,
      route,
      group,
      values: this.#values,
      sessionFloor: this.#commits.floorFor(group),
      receivedAtMs,
      deadlineMs: this.#deadlineOf(request, route),
    };
    const runner = new ReadRunner(this.context, job);
    this.#runner = runner;
    return toResult(await runner.run(), false);
  }

  async #standaloneWrite({
    request,
    statement,
    route,
    group,
    tenantName,
  }: StandaloneOperation): Promise<SessionResult> {
    const { requestId } = request;
    const deadlineMs = this.#deadlineOf(request, route);
    const job = { requestId, statement, route, group, tenantName, values: this.#values, deadlineMs };
    const runner = new WriteRunner(this.context, job);
    this.#runner = runner;
    const reply = await runner.run();
    if (reply.result.isComplete) this.#commits.record(group, reply.position, this.context.now());
    return toResult(reply, false);
  }

  async #runInTransaction(
    request: ClientRequest,
    statement: SessionStatement,
    kind: TransactionStep['kind'],
  ): Promise<SessionResult> {
    const transaction = this.#openTransaction();
    this.#runner = transaction;
    const { requestId } = request;
    const deadlineMs = this.#deadlineOf(request, transaction.options.route);
    const reply = await transaction.run({ requestId, statement, kind, values: this.#values, deadlineMs });
    const result = toResult(reply, kind !== 'commit' || !transaction.hasWritten);
    if (kind === 'commit' && reply.result.isComplete && transaction.hasWritten)
      this.#commits.record(transaction.options.group, reply.position, this.context.now());
    return result;
  }

  async #commit(request: ClientRequest, payload: string): Promise<SessionResult> {
    const result = await this.#runInTransaction(request, { kind: 'plain', payload }, 'commit');
    this.#endTransaction();
    this.#state = 'idle';
    return result;
  }

  #openTransaction(): Transaction {
    if (this.#transaction !== null) return this.#transaction;
    const begin = this.#beginRequest;
    if (begin === null) throw new Refusal('aborted', 'not_run', 'the transaction was ended', RETRY_AFTER_MS);
    this.#transaction = new Transaction(this.context, {
      ...begin,
      sessionFloor: this.#commits.floorFor(begin.group),
    });
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

  /**
   * Authorizes the caller; repeated for each operation, since keys can be revoked while sessions are open.
   */
  #authorize(route: Route): Caller {
    const answer = this.#authorization(route);
    if (answer instanceof Refusal) throw answer;
    return answer;
  }

  /**
   * Authorizes a statement of an open transaction, which may be continued only by the tenant that began it.
   */
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

  /**
   * Charges an operation to the caller's quota account; returns a function that refunds it.
   *
   * @throws Refusal, also if the request was interrupted meanwhile: its client was told that it was not run
   */
  async #charge(request: ClientRequest, { account }: Caller): Promise<() => void> {
    if (account === null) return () => undefined;
    const charge = await this.context.quotas.charge(account);
    switch (charge.kind) {
      case 'charged':
        if (!this.#interrupted.has(request)) return charge.refund;
        charge.refund();
        throw new Refusal('busy', 'not_run', STOPPING_REASON, OTHER_DAEMON_RETRY_AFTER_MS);
      case 'over_quota':
        throw new Refusal('busy', 'not_run', 'the tenant has used up its quota', charge.retryAfterMs);
      case 'no_home':
        throw new Refusal('busy', 'not_run', 'the quota of the tenant is not known', charge.retryAfterMs);
    }
  }

  /**
   * Ends a transaction that stays idle too long, so that its connection is returned to the pool. The client
   * is told with its next request.
   */
  #startIdleTimer(): void {
    const document = this.context.catalog.document;
    if (this.#transaction === null || document === null) return;
    this.#idleTimer = setTimeout(() => this.#endTransaction(), document.transactionIdleMs);
  }

  #stopIdleTimer(): void {
    if (this.#idleTimer !== null) clearTimeout(this.#idleTimer);
    this.#idleTimer = null;
  }
}

function unknownDatabase(database: string): Refusal {
  return new Refusal('unknown_database', 'not_run', `no such database: ${database}`);
}

function malformed(reason: string): Refusal {
  return new Refusal('malformed', 'not_run', reason);
}

function requireCapacity(names: ReadonlyMap<string, unknown>, name: string): void {
  if (names.size >= MAX_SESSION_NAMES && !names.has(name))
    throw new Refusal('too_large', 'not_run', 'too many names in this session');
}

/** Memory that a session value or prepared statement takes, in bytes. */
function entryBytes(name: string, content: string): number {
  return name.length + content.length + ENTRY_OVERHEAD_BYTES;
}

/** @param isRolledBack - whether an error means that the transaction is rolled back */
function toResult(reply: MemberReply, isRolledBack: boolean): SessionResult {
  const { result } = reply;
  if (result.isComplete) return { isComplete: true, rows: reply.rows, signature: result.signature };
  throw memberRefusal(result.code, result.text, isRolledBack);
}

const REFUSAL_CODES: Readonly<Record<MemberErrorCode, RefusalCode>> = {
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

function memberRefusal(code: MemberErrorCode, text: string, isRolledBack: boolean): Refusal {
  const mapped = REFUSAL_CODES[code];
  if (mapped === 'busy' && isRolledBack)
    return new Refusal('aborted', 'not_run', `${code} ${text}`, RETRY_AFTER_MS);
  if (mapped === 'busy') return new Refusal('busy', 'not_run', `${code} ${text}`, RETRY_AFTER_MS);
  return new Refusal(mapped, 'ran', `${code} ${text}`);
}
