/**
 * Whether an answer is of the life that leads, and not of a process that has started again under the leader's id.
 *
 * Evidence names an id and a term. Connections are opened to an address, and the directory tells of a next life some milliseconds
 * after it can be connected to. What the leader has said that it holds tells its life from the next one, which lacks it; where it has said
 * nothing, or that its log is empty, an empty next life would pass for it.
 *
 * @packageDocumentation
 */
import type { Leader } from '../leadership/leadership-evidence.js';
import type { Position } from '../position/position.js';
import type { MemberGroup } from '../topology/member-group.js';
import type { RelayContext } from './relay-context.js';
import type { SessionLink } from './session-link.js';

/** Longest wait for the word of a member that its log is empty and that it leads, in milliseconds. */
const STATUS_MS = 200;

/** True for a position that only a process can have reached that holds something. */
export function tellsLife(position: Position | null): boolean {
  return position !== null && position.index > 0;
}

/** True while there is evidence that this member leads this very term. */
export function isStillLed(context: RelayContext, group: MemberGroup, { memberId, term }: Leader): boolean {
  const leader = group.evidence.current(context.now());
  return leader?.memberId === memberId && leader.term === term;
}

/**
 * True when whoever answered over a connection, though it was asked for no position that would tell, is the leader.
 *
 * While there is evidence of the lead nobody has been promoted, so a next life has received nothing: one that holds something is the leader, or
 * has its whole log. An empty one is asked for its role: a next life leads nothing.
 *
 * @param position - what it has given as its own
 */
export async function isLeadersLife(
  context: RelayContext,
  group: MemberGroup,
  leader: Leader,
  link: SessionLink,
  position: Position | null,
): Promise<boolean> {
  if (!isStillLed(context, group, leader)) return false;
  if (tellsLife(position)) return true;
  const overdue = setTimeout(() => link.close(), STATUS_MS);
  try {
    const status = context.readStatus(await link.send({ kind: 'status' }));
    const leads = status?.isPrimary === true && status.term === leader.term;
    return leads && isStillLed(context, group, leader);
  } catch {
    return false;
  } finally {
    clearTimeout(overdue);
  }
}

/** Takes the position of an answer of the leader as a floor, if there is still evidence that it leads. */
export function recordFloor(
  context: RelayContext,
  group: MemberGroup,
  leader: Leader,
  sentAtMs: number,
  position: Position | null,
): void {
  if (position !== null && isStillLed(context, group, leader)) group.recordLed(sentAtMs, position, leader);
}
