/**
 * State of one client connection at the daemon that owns the database.
 *
 * @packageDocumentation
 */
import { CancelSignal } from '../common/cancel-signal.js';
import type { MemberConnection } from '../member/member-connection.js';
import type { MemberPool } from '../pool/member-pool.js';
import { discardSessionState } from './attempt.js';
import type { TransactionStatus } from '../wire/message-types.js';

/** Member connection pinned to a stream, for instance until its transaction ends. */
export interface PinnedConnection {
  readonly connection: MemberConnection;
  readonly pool: MemberPool;
  readonly memberId: string;
  /** Term of the group when the connection was selected. */
  readonly term: number;
}

/** State that the owner keeps for one client connection. */
export class ClientStream {
  pinned: PinnedConnection | null = null;
  /** Transaction status last reported to the client. */
  status: TransactionStatus = 'I';
  /** True once the open transaction may have modified data. */
  hasWritten = false;
  /** True when the pinned connection has session settings or locks of this client. */
  hasSessionState = false;
  /**
   * True when a cancel request was sent for the pinned connection. The connection is not reused then, because
   * a cancel request that arrives late would cancel a statement of the next client.
   */
  hasCancelInFlight = false;
  /** Interrupts the wait of the current request for a member or a connection. */
  cancelSignal = new CancelSignal();
  isRunning = false;
  isClosed = false;

  constructor(readonly streamId: string) {}

  /** Returns the connection to the pool, or closes it if it must not be reused. */
  unpin(action: 'release' | 'destroy'): void {
    const { pinned } = this;
    this.pinned = null;
    if (pinned === null) return;
    if (action === 'destroy' || this.hasCancelInFlight) {
      pinned.pool.destroy(pinned.connection);
    } else {
      if (this.hasSessionState) discardSessionState(pinned.connection);
      pinned.pool.release(pinned.connection);
    }
    this.hasWritten = false;
    this.hasSessionState = false;
    this.hasCancelInFlight = false;
  }
}
