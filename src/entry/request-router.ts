/**
 * Routes each request to the daemon that owns its database: this daemon, or another over a peer link.
 *
 * @packageDocumentation
 */
import type { CancelSignal } from '../common/cancel-signal.js';
import { indeterminateOutcomeSink } from '../engine/indeterminate-outcome-sink.js';
import type { ResponseSink, StatementRequest } from '../engine/statement-request.js';
import type { PolicyDecision } from '../policy/policy.js';
import { OwnerCircuitBreaker } from './owner-circuit-breaker.js';
import { backoffDelayMs } from '../retry/backoff.js';
import { RetryBudget } from '../retry/retry-budget.js';
import { judgeLoss } from '../verdict/judge-loss.js';
import { RequestError, SqlState, type SqlStateCode } from '../verdict/verdict.js';
import type { TransactionStatus } from '../wire/message-types.js';

/** Sends requests to one daemon. */
export interface RequestTarget {
  readonly daemonId: string;
  /** @param isAwaited - called right before the request is started; on `false` it must not be started */
  forward(request: StatementRequest, sink: ResponseSink & { lost(): void }, isAwaited: () => boolean): void;
  closeStream(database: string, streamId: string): void;
  cancel(database: string, streamId: string): void;
}

/** What the router needs from the daemon. */
export interface RequestRouterDependencies {
  /** Daemons to try for a database, the most likely owner first. */
  targets(database: string): readonly RequestTarget[];
  evaluatePolicy(request: StatementRequest): PolicyDecision;
  /**
   * True when this process was paused after `sinceMs` (monotonic, in milliseconds): clients may have given up
   * in the meantime.
   */
  hasPausedSince(sinceMs: number): boolean;
  readonly random: () => number;
}

/** The daemon that holds the open transaction of a client connection. */
export interface StreamBinding {
  target: RequestTarget | null;
}

const OWNER_SEARCH_BACKOFF = { initialDelayMs: 10, maxDelayMs: 100 };
const RETRY_AFTER_NO_OWNER_MS = 500;
const PAUSED_MESSAGE = 'the daemon was paused while the request waited';

interface RoutingState {
  readonly request: StatementRequest;
  readonly binding: StreamBinding;
  sink: ResponseSink;
  readonly isInTransaction: boolean;
  readonly decision: PolicyDecision;
  readonly routedAtMs: number;
  readonly deadlineMs: number;
  readonly signal: CancelSignal;
  attempts: number;
}

/** Outcome of forwarding a request to one target. */
type AttemptOutcome = 'settled' | 'notOwner' | 'mayRetry';

/** Routes requests, and searches for the owner where it is not known. */
export class RequestRouter {
  readonly #retryBudget = new RetryBudget({ retriesPerRequest: 0.1, maxSaved: 100 });
  readonly #circuitBreaker = new OwnerCircuitBreaker({ openAfterMs: 5000, probeIntervalMs: 250 });

  constructor(private readonly dependencies: RequestRouterDependencies) {}

  /**
   * Routes a request. The sink receives exactly one `end` or `fail`, and never `notOwner`.
   *
   * @param status - transaction status of the client connection
   */
  async route(
    request: StatementRequest,
    status: TransactionStatus,
    binding: StreamBinding,
    signal: CancelSignal,
    sink: ResponseSink,
  ): Promise<void> {
    const decision = this.dependencies.evaluatePolicy(request);
    const routedAtMs = performance.now();
    const routing: RoutingState = {
      request,
      binding,
      sink,
      isInTransaction: status !== 'I',
      decision,
      routedAtMs,
      deadlineMs: routedAtMs + decision.deadlineMs,
      signal,
      attempts: 0,
    };
    this.#retryBudget.recordRequest();
    if (binding.target !== null) await this.#forwardToBoundTarget(routing, binding.target);
    else await this.#searchForOwner(routing);
  }

  async #forwardToBoundTarget(routing: RoutingState, target: RequestTarget): Promise<void> {
    const outcome = await this.#attempt(routing, target);
    if (outcome === 'settled') return;
    routing.binding.target = null;
    const error = new RequestError(
      SqlState.connectionFailure,
      'not_run',
      'the transaction is rolled back',
      0,
    );
    routing.sink.fail(error, routing.isInTransaction ? 'E' : 'I');
  }

  async #searchForOwner(routing: RoutingState): Promise<void> {
    const { database } = routing.request;
    if (!this.#circuitBreaker.allowRequest(database, performance.now())) {
      const message = 'no owner of the database has been in reach for a while; try another daemon';
      this.#failNotRun(routing, SqlState.cannotConnectNow, message, RETRY_AFTER_NO_OWNER_MS);
      return;
    }
    while (performance.now() < routing.deadlineMs && !routing.signal.isCanceled) {
      for (const target of this.dependencies.targets(database)) {
        if (!this.#isAwaited(routing)) {
          this.#failNotRun(routing, SqlState.cannotConnectNow, PAUSED_MESSAGE, 0);
          return;
        }
        const outcome = await this.#attempt(routing, target);
        if (outcome === 'settled') return;
      }
      if (this.#circuitBreaker.recordFailure(database, performance.now())) break;
      const waitMs = backoffDelayMs(OWNER_SEARCH_BACKOFF, routing.attempts++, this.dependencies.random());
      await new Promise((resolve) => setTimeout(resolve, waitMs));
    }
    if (routing.signal.isCanceled) {
      this.#failNotRun(routing, SqlState.queryCanceled, 'canceled before it was run', null);
      return;
    }
    const message = 'no daemon that owns the database could be reached in time';
    this.#failNotRun(routing, SqlState.cannotConnectNow, message, RETRY_AFTER_NO_OWNER_MS);
  }

  /**
   * False when the process was paused after the request was received: the client may have given up and
   * written a newer value through another daemon.
   */
  #isAwaited({ routedAtMs }: RoutingState): boolean {
    return !this.dependencies.hasPausedSince(routedAtMs);
  }

  #failNotRun(
    routing: RoutingState,
    sqlState: SqlStateCode,
    message: string,
    retryAfterMs: number | null,
  ): void {
    routing.sink.fail(new RequestError(sqlState, 'not_run', message, retryAfterMs), 'I');
  }

  #attempt(routing: RoutingState, target: RequestTarget): Promise<AttemptOutcome> {
    const { request, binding, sink } = routing;
    let hasSentData = false;
    return new Promise((resolve) => {
      const remainingMs = Math.max(1, routing.deadlineMs - performance.now());
      binding.target = target;
      target.forward(
        { ...request, remainingMs },
        {
          data: (frames) => {
            hasSentData = true;
            sink.data(frames);
          },
          end: (status) => {
            this.#circuitBreaker.recordSuccess(request.database);
            if (status === 'I' && request.terminator !== 'flush') binding.target = null;
            sink.end(status);
            resolve('settled');
          },
          fail: (error, status) => {
            this.#circuitBreaker.recordSuccess(request.database);
            if (status === 'I' || error.endsTransaction) binding.target = null;
            sink.fail(error, status);
            resolve('settled');
          },
          notOwner: () => {
            binding.target = null;
            resolve('notOwner');
          },
          lost: () => resolve(this.#handleLostTarget(routing, hasSentData)),
        },
        () => this.#isAwaited(routing),
      );
    });
  }

  #handleLostTarget(routing: RoutingState, hasSentData: boolean): AttemptOutcome {
    const { request, binding, sink, decision } = routing;
    binding.target = null;
    const judgement = judgeLoss(
      {
        kind: request.kind,
        isInTransaction: routing.isInTransaction,
        controlsTransaction: request.controlsTransaction,
        hasSentData,
        hasOnceKey: request.onceKey !== null,
        isRepeatable: decision.repeatable,
        endsWithFlush: request.terminator === 'flush',
      },
      'the daemon that ran the request was lost',
    );
    if (judgement.kind === 'mayRetry' && this.#retryBudget.tryRetry()) {
      routing.sink = indeterminateOutcomeSink(sink);
      return 'mayRetry';
    }
    const report = judgement.kind === 'report' ? judgement.report : judgement.otherwise;
    sink.fail(report.error, report.status);
    return 'settled';
  }
}
