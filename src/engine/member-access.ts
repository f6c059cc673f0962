/**
 * Finds a member and a connection for a request.
 *
 * @packageDocumentation
 */
import { selectMember, type SelectionDemand, type WaitReason } from '../group/select-member.js';
import type { AcquireRefusal, MemberPool } from '../pool/member-pool.js';
import { backoffDelayMs } from '../retry/backoff.js';
import { SqlState } from '../verdict/verdict.js';
import { ATTEMPT_BACKOFF, delay, refuse, type EngineContext, type Execution } from './execution.js';
import type { PinnedConnection } from './stream.js';

/** Longest wait for a change of the group before a request chooses again, in milliseconds. */
const MAX_WAIT_SLICE_MS = 100;
/** When to come back where too many wait for a member already, in milliseconds. */
const RETRY_AFTER_FULL_MS = 500;

/** Access to the members of one database. */
export class MemberAccess {
  /** Requests that wait for a member that can serve them. */
  #waitingForMember = 0;

  constructor(
    private readonly context: EngineContext,
    private readonly pools: ReadonlyMap<string, MemberPool>,
  ) {}

  /** A connection, `null` to choose again, or `refused` when the request is over. */
  async obtain(execution: Execution): Promise<PinnedConnection | 'refused' | null> {
    const { request, decision, stream } = execution;
    const group = this.context.monitor.describe();
    const isRead = request.kind === 'read' || request.isReadOnlyTransaction;
    const demand: SelectionDemand = {
      allowsReplica: isRead && decision.replica && request.onceKey === null,
      required: this.context.positions.required(request.session),
      maxStalenessMs: decision.maxStalenessMs,
      preferredZone: request.zone,
      excludedMemberIds: execution.excludedMemberIds,
    };
    const selection = selectMember(group, demand, this.#loads());
    if (selection.kind === 'wait') {
      if (this.#waitingForMember >= this.context.maxWaiting)
        return this.#handleRefusal(execution, '', 'queue_full', RETRY_AFTER_FULL_MS);
      await this.#waitForMember(execution, selection.reason);
      return null;
    }
    if (demand.allowsReplica && !selection.isReplica) this.context.monitor.pollPositionsFrequently();
    const { memberId } = selection.member.address;
    const pool = this.pools.get(memberId);
    if (pool === undefined) return null;
    const outcome = await pool.acquire({
      priority: decision.priority,
      deadlineMs: execution.deadlineMs,
      signal: stream.cancelSignal,
    });
    if (outcome.kind === 'refused')
      return this.#handleRefusal(execution, memberId, outcome.reason, outcome.retryAfterMs);
    const pinned = { connection: outcome.connection, pool, memberId, term: group.term };
    return this.#confirmSelection(pinned, demand, selection.isReplica);
  }

  /** After the wait for a connection, the member may no longer be the right one. */
  #confirmSelection(
    pinned: PinnedConnection,
    demand: SelectionDemand,
    isReplica: boolean,
  ): PinnedConnection | null {
    const group = this.context.monitor.describe();
    const member = group.members.find(({ address }) => address.memberId === pinned.memberId);
    const status = member?.status ?? null;
    const hasRole = isReplica ? status?.role === 'replica' : group.primary === member;
    const isUsable = member !== undefined && member.isLocked && !member.isLeaving && status !== null;
    if (isUsable && hasRole && group.term === pinned.term) return pinned;
    pinned.pool.release(pinned.connection);
    return null;
  }

  #loads(): Map<string, number> {
    return new Map([...this.pools].map(([memberId, pool]) => [memberId, pool.load]));
  }

  async #waitForMember(execution: Execution, reason: WaitReason): Promise<void> {
    this.context.metrics.waits.inc({ database: this.context.database, reason });
    const waitMs = Math.min(MAX_WAIT_SLICE_MS, execution.deadlineMs - performance.now());
    const { cancelSignal } = execution.stream;
    const canceled = new Promise<void>((resolve) => cancelSignal.setListener(resolve));
    this.#waitingForMember += 1;
    await Promise.race([this.context.monitor.waitForChange(waitMs), canceled]);
    this.#waitingForMember -= 1;
    cancelSignal.setListener(null);
    execution.excludedMemberIds.clear();
  }

  async #handleRefusal(
    execution: Execution,
    memberId: string,
    reason: AcquireRefusal,
    retryAfterMs: number,
  ): Promise<'refused' | null> {
    const { sink, stream } = execution;
    switch (reason) {
      case 'queue_full':
      case 'wait_too_long':
        refuse(this.context, sink, stream, {
          sqlState: SqlState.tooManyConnections,
          message: `connections are short: ${reason}`,
          retryAfterMs,
          reason,
        });
        return 'refused';
      case 'cannot_connect':
        execution.excludedMemberIds.add(memberId);
        await delay(backoffDelayMs(ATTEMPT_BACKOFF, execution.attempts++, this.context.random()));
        return null;
      case 'deadline_passed':
      case 'canceled':
      case 'closed':
        return null;
    }
  }
}
