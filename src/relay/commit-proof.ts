/**
 * Holds back the answer to a commit until it is proven that a promotion counts it.
 *
 * A leader may answer a commit though it is being replaced: on the word of a replica that whoever promotes does not know, or that has
 * lost its pause. An answer that finds no evidence of the leader waits for it; where another term leads by then, or the time of
 * the request is over, the commit is in doubt.
 *
 * @packageDocumentation
 */
import { formatPosition, type Position } from '../position/position.js';
import type { CommitStanding } from '../leadership/leadership-evidence.js';
import type { MemberGroup } from '../topology/member-group.js';
import type { RelayContext } from './relay-context.js';

/** Longest time between two looks at the evidence, in milliseconds. */
const LOOK_MS = 50;

/** A commit that a leader has answered. */
export interface AnsweredCommit {
  readonly requestId: string;
  readonly group: MemberGroup;
  readonly position: Position;
  readonly deadlineMs: number;
}

/** True once the commit may be acknowledged, and is noted as such; false when it is in doubt. */
export async function proveCommit(context: RelayContext, commit: AnsweredCommit): Promise<boolean> {
  const { group, position, deadlineMs } = commit;
  const answeredAtMs = context.now();
  let standing = group.acknowledge(position, answeredAtMs);
  if (standing === 'proven') return true;
  for (let now = answeredAtMs; standing === 'unproven' && now < deadlineMs; now = context.now()) {
    await group.changed.wait(Math.min(LOOK_MS, deadlineMs - now));
    standing = group.acknowledge(position, context.now());
  }
  tellHeld(context, commit, standing, context.now() - answeredAtMs);
  return standing === 'proven';
}

function tellHeld(
  context: RelayContext,
  { requestId, group, position }: AnsweredCommit,
  standing: CommitStanding,
  heldMs: number,
): void {
  context.observer.notable({
    requestId,
    decision: 'commit_held',
    group: group.name,
    position: formatPosition(position),
    standing,
    heldMs: Math.round(heldMs),
  });
}
