/**
 * Brings a request to the daemon that owns its database: this one, or another over a link.
 *
 * @packageDocumentation
 */
import type { CancelSignal } from '../common/cancel-signal.js';
import { doubtfulSink } from '../engine/doubtful-sink.js';
import type { AnswerSink, StatementRequest } from '../engine/statement-request.js';
import type { PolicyDecision } from '../policy/policy.js';
import { OwnerReachability } from './owner-reachability.js';
import { backoffDelayMs } from '../retry/backoff.js';
import { RetryBudget } from '../retry/retry-budget.js';
import { judgeLoss } from '../verdict/judge-loss.js';
import { RequestError, SqlState, type SqlStateCode } from '../verdict/verdict.js';
import type { TransactionStatus } from '../wire/message-types.js';

/** Sends requests to one daemon. */
export interface RequestTarget {
  readonly daemonId: string;
  /** @param isAwaited - asked right before the request is begun; it must not be when this says false */
  forward(request: StatementRequest, sink: AnswerSink & { lost(): void }, isAwaited: () => boolean): void;
  closeStream(database: string, streamId: string): void;
  cancel(database: string, streamId: string): void;
}

/** What the router asks of its daemon. */
export interface RequestRouterPorts {
  /** Daemons to try for a database, most likely owner first. */
  targets(database: string): readonly RequestTarget[];
  decide(request: StatementRequest): PolicyDecision;
  /** True when this process was paused since then (monotonic, in milliseconds): clients may have given up meanwhile. */
  hasPausedSince(sinceMs: number): boolean;
  readonly random: () => number;
}

/** The daemon that holds the open transaction of a client connection. */
export interface StreamBinding {
  target: RequestTarget | null;
}

const SEARCH_BACKOFF = { initialDelayMs: 10, maxDelayMs: 100 };
const RETRY_AFTER_SEARCH_MS = 500;
const PAUSED = 'the daemon was paused while the request waited';

interface Routing {
  readonly request: StatementRequest;
  readonly binding: StreamBinding;
  sink: AnswerSink;
  readonly isInTransaction: boolean;
  readonly decision: PolicyDecision;
  readonly routedAtMs: number;
  readonly deadlineMs: number;
  readonly signal: CancelSignal;
  attempts: number;
}

/** How an attempt at one target ended. */
type RouteOutcome = 'settled' | 'notOwner' | 'mayRetry';

/** Routes requests and searches for owners. */
export class RequestRouter {
  readonly #retryBudget = new RetryBudget({ retriesPerRequest: 0.1, maxSaved: 100 });
  readonly #reachability = new OwnerReachability({ giveUpAfterMs: 5000, probeIntervalMs: 250 });

  constructor(private readonly ports: RequestRouterPorts) {}

  /**
   * Routes a request; the sink hears exactly one end and never `notOwner`.
   *
   * @param status - transaction status of the client connection
   */
  async route(
    request: StatementRequest,
    status: TransactionStatus,
    binding: StreamBinding,
    signal: CancelSignal,
    sink: AnswerSink,
  ): Promise<void> {
    const decision = this.ports.decide(request);
    const routedAtMs = performance.now();
    const routing: Routing = {
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
    if (binding.target !== null) await this.#routeBound(routing, binding.target);
    else await this.#search(routing);
  }

  async #routeBound(routing: Routing, target: RequestTarget): Promise<void> {
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

  async #search(routing: Routing): Promise<void> {
    const { database } = routing.request;
    if (!this.#reachability.mayTry(database, performance.now())) {
      const message = 'no owner of the database has been in reach for a while; try another daemon';
      this.#giveUp(routing, SqlState.cannotConnectNow, message, RETRY_AFTER_SEARCH_MS);
      return;
    }
    while (performance.now() < routing.deadlineMs && !routing.signal.isCanceled) {
      for (const target of this.ports.targets(database)) {
        if (!this.#isAwaited(routing)) {
          this.#giveUp(routing, SqlState.cannotConnectNow, PAUSED, 0);
          return;
        }
        const outcome = await this.#attempt(routing, target);
        if (outcome === 'settled') return;
      }
      if (this.#reachability.recordFailure(database, performance.now())) break;
      const waitMs = backoffDelayMs(SEARCH_BACKOFF, routing.attempts++, this.ports.random());
      await new Promise((resolve) => setTimeout(resolve, waitMs));
    }
    if (routing.signal.isCanceled) {
      this.#giveUp(routing, SqlState.queryCanceled, 'canceled before it was run', null);
      return;
    }
    const message = 'no daemon that owns the database could be reached in time';
    this.#giveUp(routing, SqlState.cannotConnectNow, message, RETRY_AFTER_SEARCH_MS);
  }

  /** False when the client may have given up while this process was paused, and written something newer elsewhere. */
  #isAwaited({ routedAtMs }: Routing): boolean {
    return !this.ports.hasPausedSince(routedAtMs);
  }

  #giveUp(routing: Routing, sqlState: SqlStateCode, message: string, retryAfterMs: number | null): void {
    routing.sink.fail(new RequestError(sqlState, 'not_run', message, retryAfterMs), 'I');
  }

  #attempt(routing: Routing, target: RequestTarget): Promise<RouteOutcome> {
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
            this.#reachability.recordSuccess(request.database);
            if (status === 'I' && request.terminator !== 'flush') binding.target = null;
            sink.end(status);
            resolve('settled');
          },
          fail: (error, status) => {
            this.#reachability.recordSuccess(request.database);
            if (status === 'I' || error.endsTransaction) binding.target = null;
            sink.fail(error, status);
            resolve('settled');
          },
          notOwner: () => {
            binding.target = null;
            resolve('notOwner');
          },
          lost: () => resolve(this.#handleLost(routing, hasSentData)),
        },
        () => this.#isAwaited(routing),
      );
    });
  }

  #handleLost(routing: Routing, hasSentData: boolean): RouteOutcome {
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
      routing.sink = doubtfulSink(sink);
      return 'mayRetry';
    }
    const report = judgement.kind === 'report' ? judgement.report : judgement.otherwise;
    sink.fail(report.error, report.status);
    return 'settled';
  }
}
