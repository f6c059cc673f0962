/**
 * Questions for the status of members that a gateway puts on behalf of other daemons, over connections of its pools.
 *
 * @packageDocumentation
 */
import { SharedQuestion } from '../common/shared-question.js';
import type { LinkPool } from '../relay/link-pool.js';
import type { MemberReply } from '../relay/member-link.js';

/** Longest wait for a connection, in milliseconds: less than those who ask wait for the answer. */
const CONNECTION_WAIT_MS = 150;

/** Asks each member once for all who wait for its status. */
export class StatusQuestions {
  readonly #byPool = new WeakMap<LinkPool, SharedQuestion<MemberReply>>();

  /**
   * The status of the pool's member, asked after this call.
   *
   * @throws PoolTimeoutError, DialError: nothing was sent; LinkLostError
   */
  ask(pool: LinkPool): Promise<MemberReply> {
    let question = this.#byPool.get(pool);
    if (question === undefined) {
      question = new SharedQuestion(() => sendStatus(pool));
      this.#byPool.set(pool, question);
    }
    return question.ask();
  }
}

async function sendStatus(pool: LinkPool): Promise<MemberReply> {
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
