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

/** How a request is to be run. */
export interface AttemptOptions {
  /** True to keep the answer until the caller of the attempt releases it. */
  readonly holdsAnswer: boolean;
  /** True to ask for the member's status right behind the request. */
  readonly asksStatus: boolean;
  /** Receives the answer when it is not held. */
  readonly onData: (frames: Buffer) => void;
}

/** How an attempt ended. */
export type AttemptOutcome =
  | {
      readonly kind: 'complete';
      readonly status: TransactionStatus;
      /** SQLSTATE of the first error of the request itself, or `null`. */
      readonly sqlState: string | null;
      /** SQLSTATE of the first error in recording the once-only key or committing with it, or `null`. */
      readonly onceSqlState: string | null;
      readonly heldAnswer: readonly Buffer[];
      /** Resolves to the status rows, or to `null` when the connection was lost first. */
      readonly memberStatus: Promise<QueryRows | null>;
      /** Monotonic time at which the request was known to be complete, in milliseconds. */
      readonly completedAtMs: number;
    }
  | { readonly kind: 'lost'; readonly hasSentData: boolean };

interface ExchangeResult {
  readonly status: TransactionStatus;
  readonly sqlState: string | null;
}

/** Sends the request and everything that goes with it in one write, and follows the answers. */
export async function runAttempt(
  connection: MemberConnection,
  request: StatementRequest,
  options: AttemptOptions,
): Promise<AttemptOutcome> {
  applySettings(connection, request.settings);
  const held: Buffer[] = [];
  let hasSentData = false;
  const onData = (frames: Buffer): void => {
    if (options.holdsAnswer) {
      held.push(frames);
      return;
    }
    hasSentData = true;
    options.onData(frames);
  };
  const hasOnceKey = request.onceKey !== null;
  const begin = hasOnceKey ? submitHidden(connection, 'BEGIN') : null;
  const recordKey = hasOnceKey ? submitHidden(connection, recordKeyStatement(request.onceKey ?? '')) : null;
  const main = submitMain(connection, request, onData);
  const commit = hasOnceKey ? submitHidden(connection, 'COMMIT') : null;
  const memberStatus = options.asksStatus ? askStatus(connection) : Promise.resolve(null);

  const results = await Promise.all([begin, recordKey, main, commit]);
  if (results.some((result) => result === 'lost')) return { kind: 'lost', hasSentData };
  const [, recorded, completed, committed] = results as (ExchangeResult | null)[];
  const last = committed ?? completed;
  return {
    kind: 'complete',
    status: last?.status ?? 'I',
    sqlState: completed?.sqlState ?? null,
    onceSqlState: recorded?.sqlState ?? committed?.sqlState ?? null,
    heldAnswer: held,
    memberStatus,
    completedAtMs: performance.now(),
  };
}

/** Brings the session settings of the caller in force on the connection, if they are not. */
function applySettings(connection: MemberConnection, settings: readonly string[]): void {
  const signature = settings.join(';');
  if (connection.settingsSignature === signature) return;
  connection.settingsSignature = signature;
  void submitHidden(connection, ['RESET ALL', ...settings].join(';'));
}

/** Clears everything that a caller has left on a connection. */
export function discardSessionState(connection: MemberConnection): void {
  connection.settingsSignature = '';
  connection.preparedNames.clear();
  void submitHidden(connection, 'DISCARD ALL');
}

function submitMain(
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

function submitHidden(connection: MemberConnection, text: string): Promise<ExchangeResult | 'lost'> {
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

function askStatus(connection: MemberConnection): Promise<QueryRows | null> {
  return connection.query(STATUS_STATEMENT).catch(() => null);
}
