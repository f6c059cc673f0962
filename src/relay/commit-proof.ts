/**
 * Holds back the answer to a commit until it is proven that any promotion takes the commit into account.
 *
 * A leader can answer a commit while it is being replaced: the replica that acknowledged the commit may be
 * unknown to the daemon that runs the promotion, or may have lost its pause. An answer that arrives without
 * valid evidence for the leader is held until there is evidence again. If a later term leads by then, or the
 * request times out, the commit is in doubt.
 *
 * @packageDocumentation
 */
import { formatPosition, type Position } from '../position/position.js';
import type { CommitStatus } from '../leadership/leadership-evidence.js';
import type { MemberGroup } from '../topology/member-group.js';
import type { RelayContext } from './relay-context.js';

/** Longest interval between two checks of the evidence, in milliseconds. */
const EVIDENCE_POLL_MS = 50;

/** A commit that a leader has answered. */
export interface AnsweredCommit {
  readonly requestId: string;
  readonly group: MemberGroup;
  readonly position: Position;
  readonly deadlineMs: number;
}

/**
 * Resolves to true once the commit may be acknowledged, and records it as acknowledged; to false when it is
 * in doubt.
 */
export async function proveCommit(context: RelayContext, commit: AnsweredCommit): Promise<boolean> {
  const { group, position, deadlineMs } = commit;
  const answeredAtMs = context.now();
  let standing = group.acknowledge(position, answeredAtMs);
  if (standing === 'proven') return true;
  for (let now = answeredAtMs; standing === 'unproven' && now < deadlineMs; now = context.now()) {
    await group.changed.wait(Math.min(EVIDENCE_POLL_MS, deadlineMs - now));
    standing = group.acknowledge(position, context.now());
  }
  reportDelayedCommit(context, commit, standing, context.now() - answeredAtMs);
  return standing === 'proven';
}

function reportDelayedCommit(
  context: RelayContext,
  { requestId, group, position }: AnsweredCommit,
  standing: CommitStatus,
  delayMs: number,
): void {
  context.observer.notable({
    requestId,
    decision: 'commit_held',
    group: group.name,
    position: formatPosition(position),
    standing,
    heldMs: Math.round(delayMs),
  });
}
