/**
 * Runs one request once on one member connection.
 *
 * @packageDocumentation
 */
import { serialize } from 'pg-protocol';
import type { MemberConnection, QueryRows } from '../member/member-connection.js';
import { STATUS_STATEMENT } from '../member/member-statements.js';
import { asBuffer } from '../wire/as-buffer.js';
import type { TransactionStatus } from '../wire/message-types.js';
import { planBatch } from './batch-plan.js';
import { recordKeyStatement } from './once-keys.js';
import type { StatementRequest } from './statement-request.js';

/** Options of one attempt. */
export interface AttemptOptions {
  /** True to buffer the response and return it in the outcome instead of passing it to `onData`. */
  readonly buffersResponse: boolean;
  /** True to send a status query to the member directly after the request. */
  readonly queriesStatus: boolean;
  /** Receives the response as it arrives, unless it is buffered. */
  readonly onData: (frames: Buffer) => void;
}

/** Outcome of an attempt: a complete response, or a connection lost before that. */
export type AttemptOutcome =
  | {
      readonly kind: 'complete';
      readonly status: TransactionStatus;
      /** SQLSTATE of the first error of the request itself, or `null`. */
      readonly sqlState: string | null;
      /** SQLSTATE of the first error while recording the once-only key or committing with it, or `null`. */
      readonly onceSqlState: string | null;
      readonly bufferedResponse: readonly Buffer[];
      /** Resolves to the rows of the status query, or to `null` if it failed or was not sent. */
      readonly memberStatus: Promise<QueryRows | null>;
      /**
       * Monotonic time at which all responses, including that of COMMIT, had been received, in milliseconds.
       */
      readonly completedAtMs: number;
    }
  | { readonly kind: 'lost'; readonly hasSentData: boolean };

interface ExchangeResult {
  readonly status: TransactionStatus;
  readonly sqlState: string | null;
}

/**
 * Sends the request and the statements that belong to it (settings, once-only key, status query) pipelined in
 * one write, and collects their responses.
 */
export async function runAttempt(
  connection: MemberConnection,
  request: StatementRequest,
  options: AttemptOptions,
): Promise<AttemptOutcome> {
  applySettings(connection, request.settings);
  const buffered: Buffer[] = [];
  let hasSentData = false;
  const onData = (frames: Buffer): void => {
    if (options.buffersResponse) {
      buffered.push(frames);
      return;
    }
    hasSentData = true;
    options.onData(frames);
  };
  const hasOnceKey = request.onceKey !== null;
  const begin = hasOnceKey ? submitInternal(connection, 'BEGIN') : null;
  const recordKey = hasOnceKey ? submitInternal(connection, recordKeyStatement(request.onceKey ?? '')) : null;
  const requestResult = submitRequest(connection, request, onData);
  const commit = hasOnceKey ? submitInternal(connection, 'COMMIT') : null;
  const memberStatus = options.queriesStatus ? queryStatus(connection) : Promise.resolve(null);

  const results = await Promise.all([begin, recordKey, requestResult, commit]);
  if (results.some((result) => result === 'lost')) return { kind: 'lost', hasSentData };
  const [, recorded, completed, committed] = results as (ExchangeResult | null)[];
  const last = committed ?? completed;
  return {
    kind: 'complete',
    status: last?.status ?? 'I',
    sqlState: completed?.sqlState ?? null,
    onceSqlState: recorded?.sqlState ?? committed?.sqlState ?? null,
    bufferedResponse: buffered,
    memberStatus,
    completedAtMs: performance.now(),
  };
}

/** Applies the caller's session settings to the connection, unless the connection already has them. */
function applySettings(connection: MemberConnection, settings: readonly string[]): void {
  const signature = settings.join(';');
  if (connection.settingsSignature === signature) return;
  connection.settingsSignature = signature;
  void submitInternal(connection, ['RESET ALL', ...settings].join(';'));
}

/** Discards the session state (settings, locks, prepared statements) that a caller left on a connection. */
export function discardSessionState(connection: MemberConnection): void {
  connection.settingsSignature = '';
  connection.preparedStatementNames.clear();
  void submitInternal(connection, 'DISCARD ALL');
}

function submitRequest(
  connection: MemberConnection,
  request: StatementRequest,
  onData: (frames: Buffer) => void,
): Promise<ExchangeResult | 'lost'> {
  const { bytes, plan } =
    request.terminator === 'query'
      ? { bytes: asBuffer(request.frames), plan: null }
      : planBatch(request, connection);
  return new Promise((resolve) => {
    connection.submit({
      bytes,
      plan,
      endsWithFlush: request.terminator === 'flush',
      listener: {
        data: onData,
        complete: (status, sqlState) => resolve({ status, sqlState }),
        lost: () => resolve('lost'),
      },
    });
  });
}

function submitInternal(connection: MemberConnection, text: string): Promise<ExchangeResult | 'lost'> {
  return new Promise((resolve) => {
    connection.submit({
      bytes: serialize.query(text),
      plan: null,
      endsWithFlush: false,
      listener: {
        data: () => undefined,
        complete: (status, sqlState) => resolve({ status, sqlState }),
        lost: () => resolve('lost'),
      },
    });
  });
}

function queryStatus(connection: MemberConnection): Promise<QueryRows | null> {
  return connection.query(STATUS_STATEMENT).catch(() => null);
}
