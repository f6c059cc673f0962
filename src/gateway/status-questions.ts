/**
 * Status requests that a gateway sends to members on behalf of other daemons, over connections of its pools.
 *
 * @packageDocumentation
 */
import { CoalescedCall } from '../common/coalesced-call.js';
import type { LinkPool } from '../relay/link-pool.js';
import type { MemberReply } from '../relay/member-link.js';

/**
 * Maximum wait for a connection, in milliseconds: shorter than the time that borrowers wait for the reply.
 */
const CONNECTION_WAIT_MS = 150;

/** Sends concurrent status requests to a member as one. */
export class StatusQuestions {
  readonly #requests = new WeakMap<LinkPool, CoalescedCall<MemberReply>>();

  /**
   * Requests the status of the pool's member. The reply is to a request sent after this call.
   *
   * @throws PoolTimeoutError, DialError: nothing was sent; LinkLostError
   */
  ask(pool: LinkPool): Promise<MemberReply> {
    let request = this.#requests.get(pool);
    if (request === undefined) {
      request = new CoalescedCall(() => requestStatus(pool));
      this.#requests.set(pool, request);
    }
    return request.call();
  }
}

async function requestStatus(pool: LinkPool): Promise<MemberReply> {
  const dueAtMs = performance.now() + CONNECTION_WAIT_MS;
  const demand = {
    tenantName: null,
    values: new Map<string, string>(),
    isWrite: false,
    priority: 0,
    dueAtMs,
  };
  const link = await pool.acquire(demand, CONNECTION_WAIT_MS);
  try {
    return await link.send({ kind: 'status' });
  } finally {
    pool.release(link);
  }
}
