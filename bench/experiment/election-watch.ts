/**
 * Polls the members of a deployment directly, without daemons and proxies, to detect the first primary of a
 * new term.
 *
 * @packageDocumentation
 */
import pg from 'pg';
import type { Deployment } from '../../standin/rig/deployment.js';

const POLL_INTERVAL_MS = 5;

/** Polls the members until it is stopped. */
export interface ElectionWatch {
  /**
   * Stops polling. Returns the monotonic time at which a new primary was first seen, in milliseconds, or
   * `null`.
   */
  stop(): number | null;
}

interface Status {
  readonly role: string;
  readonly term: string;
}

/** Starts polling the members of the database `first`; resolves once the initial term is known. */
export async function watchElection(deployment: Deployment): Promise<ElectionWatch> {
  let isStopped = false;
  let electedMs: number | null = null;
  const owner = await deployment.waitForOwner('first');
  const status = await deployment.status(owner);
  const firstTerm = status.databases.find(({ name }) => name === 'first')?.term ?? 0;
  const group = [...deployment.members.keys()].filter((id) => id.startsWith('first-'));
  const recordStatus = ({ role, term }: Status): void => {
    if (role === 'primary' && Number(term) > firstTerm) electedMs ??= performance.now();
  };
  const pollMember = async (memberId: string): Promise<void> => {
    const client = new pg.Client({ ...deployment.memberAddress(memberId), database: 'first', user: 'watch' });
    client.on('error', () => undefined);
    try {
      await client.connect();
      while (!isStopped) {
        const result = await client.query<Status>('SELECT * FROM sorrelladder_group_status()');
        for (const row of result.rows) recordStatus(row);
        await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
      }
    } catch {
      // Polling of a member ends when the member is killed.
    }
    await client.end().catch(() => undefined);
  };
  for (const memberId of group) void pollMember(memberId);
  return {
    stop: () => {
      isStopped = true;
      return electedMs;
    },
  };
}
