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

/** The member connection that a stream keeps for its transaction. */
export interface PinnedConnection {
  readonly connection: MemberConnection;
  readonly pool: MemberPool;
  readonly memberId: string;
  /** Term of the group when the transaction began. */
  readonly term: number;
}

/** One client connection as the owner sees it. */
export class Stream {
  pinned: PinnedConnection | null = null;
  /** Status that the client was last told. */
  status: TransactionStatus = 'I';
  /** True once the open transaction may have changed something. */
  hasWritten = false;
  /** True when the connection carries settings or locks of this caller. */
  isDirty = false;
  /** True when a cancel request was sent for the connection: a late one must not hit the next caller. */
  isTainted = false;
  /** Gives up the wait of the request that runs now. */
  cancelSignal = new CancelSignal();
  isRunning = false;
  isClosed = false;

  constructor(readonly streamId: string) {}

  /** Gives the connection back, or ends it if it must not be used by anybody else. */
  unpin(action: 'release' | 'destroy'): void {
    const { pinned } = this;
    this.pinned = null;
    if (pinned === null) return;
    if (action === 'destroy' || this.isTainted) {
      pinned.pool.destroy(pinned.connection);
    } else {
      if (this.isDirty) discardSessionState(pinned.connection);
      pinned.pool.release(pinned.connection);
    }
    this.hasWritten = false;
    this.isDirty = false;
    this.isTainted = false;
  }
}
