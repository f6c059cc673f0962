/**
 * Example: selects the member for a session's reads with the library, without a daemon.
 *
 * Run with `node dist/examples/session-routing.js`.
 *
 * @packageDocumentation
 */
import {
  describeGroup,
  selectMember,
  SessionPositions,
  type MemberDescription,
  type Position,
} from '../src/index.js';

function member(memberId: string, role: 'primary' | 'replica', applied: Position): MemberDescription {
  return {
    address: { memberId, zone: 'lhr-a', host: '127.0.0.1', port: 5432 },
    status: { memberId, role, term: 3, received: applied, applied, leaving: false },
    askedAtMs: 0,
    isLocked: true,
    isLeaving: false,
    stalenessMs: 40,
  };
}

/** Ids of the members that serve the session's reads before and after the replica has applied its write. */
export function routeReads(): readonly string[] {
  const positions = new SessionPositions(1000);
  positions.recordWrite('agent-7', { term: 3, index: 120 });

  const choose = (replicaIndex: number): string => {
    const group = describeGroup([
      member('primary', 'primary', { term: 3, index: 120 }),
      member('replica', 'replica', { term: 3, index: replicaIndex }),
    ]);
    const demand = {
      allowsReplica: true,
      required: positions.required('agent-7'),
      maxStalenessMs: 1000,
      preferredZone: 'lhr-a',
      excludedMemberIds: new Set<string>(),
    };
    const selection = selectMember(group, demand, new Map());
    return selection.kind === 'member' ? selection.member.address.memberId : selection.reason;
  };
  return [choose(119), choose(120)];
}

process.stdout.write(`${routeReads().join(', ')}\n`);
