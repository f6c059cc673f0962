/**
 * Members of a modelled group that start again under their id, as a directory that tells starts shows them.
 *
 * @packageDocumentation
 */
import type { MemberConnections } from '../../src/gateway/member-connections.js';
import { ZERO_POSITION } from '../../src/position/position.js';
import { Member } from '../../src/topology/member-group.js';
import type { ModelledGroup } from './modelled-group.js';

/** With what a member starts again. */
export type Kept = 'log' | 'nothing';

/** Start of the last life, in milliseconds of the Unix epoch. */
let lastBornMs = 0;

/**
 * A member starts again as a replica that is not paused, and is listed at once.
 *
 * @returns the life that has ended; it is a former member now
 */
export function startNextLife(scene: ModelledGroup, memberId: string, kept: Kept): Member {
  const { group } = scene;
  const before = group.members.get(memberId) ?? group.findFormer(memberId);
  if (before === null) throw new Error(`no member ${memberId}`);
  const model = scene.member(memberId);
  model.state = 'running';
  model.isPrimary = false;
  model.pausedForTerm = 0;
  if (kept === 'nothing') model.received = ZERO_POSITION;
  lastBornMs += 1;
  before.hasEnded = true;
  group.members.delete(memberId);
  group.addFormer(before);
  group.members.set(memberId, new Member({ ...before.entry, bornMs: lastBornMs }, {} as MemberConnections));
  if (group.evidence.leader?.memberId === memberId) group.evidence.clearLeader();
  return before;
}
