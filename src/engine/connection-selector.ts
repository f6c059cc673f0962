/**
 * Selects a member for a request and acquires a connection to it.
 *
 * @packageDocumentation
 */
import { selectMember, type SelectionDemand, type WaitReason } from '../group/select-replica-or-primary.js';
import type { AcquireRefusal, MemberPool } from '../pool/member-pool.js';
import { backoffDelayMs } from '../retry/backoff.js';
import { SqlState } from '../verdict/verdict.js';
import { ATTEMPT_BACKOFF, delay, refuse, type EngineContext, type Execution } from './execution.js';
import type { PinnedConnection } from './client-stream.js';

/** Maximum wait for a change of the group before the selection is repeated, in milliseconds. */
const MAX_MEMBER_WAIT_MS = 100;
/** Retry delay sent to the client when too many requests already wait for a member, in milliseconds. */
const RETRY_AFTER_QUEUE_FULL_MS = 500;

/** Selects connections to the members of one database. */
export class ConnectionSelector {
  /** Number of requests that wait for a member that can serve them. */
  #waitingForMemberCount = 0;

  constructor(
    private readonly context: EngineContext,
    private readonly pools: ReadonlyMap<string, MemberPool>,
  ) {}

  /**
   * Returns a connection, `null` if the selection must be repeated, or `refused` if the request was refused.
   */
  async selectConnection(execution: Execution): Promise<PinnedConnection | 'refused' | null> {
    const { request, decision, stream } = execution;
    const group = this.context.monitor.describe();
    const isRead = request.kind === 'read' || request.isReadOnlyTransaction;
    const requirements: SelectionDemand = {
      allowsReplica: isRead && decision.replica && request.onceKey === null,
      required: this.context.positions.required(request.session),
      maxStalenessMs: decision.maxStalenessMs,
      preferredZone: request.zone,
      excludedMemberIds: execution.excludedMemberIds,
    };
    const selection = selectMember(group, requirements, this.#loads());
    if (selection.kind === 'wait') {
      if (this.#waitingForMemberCount >= this.context.maxWaiting)
        return this.#handleRefusal(execution, '', 'queue_full', RETRY_AFTER_QUEUE_FULL_MS);
      await this.#waitForMember(execution, selection.reason);
      return null;
    }
    if (requirements.allowsReplica && !selection.isReplica) this.context.monitor.pollPositionsFrequently();
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
    return this.#revalidateSelection(pinned, requirements, selection.isReplica);
  }

  /**
   * Checks that the selection is still valid, since the group may have changed during the wait for a
   * connection.
   */
  #revalidateSelection(
    pinned: PinnedConnection,
    requirements: SelectionDemand,
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
    const waitMs = Math.min(MAX_MEMBER_WAIT_MS, execution.deadlineMs - performance.now());
    const { cancelSignal } = execution.stream;
    const canceled = new Promise<void>((resolve) => cancelSignal.setListener(resolve));
    this.#waitingForMemberCount += 1;
    await Promise.race([this.context.monitor.waitForChange(waitMs), canceled]);
    this.#waitingForMemberCount -= 1;
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
