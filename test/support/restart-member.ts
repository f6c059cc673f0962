/**
 * Restarts members of a modelled group under their id, as listed by a directory that reports start times.
 *
 * @packageDocumentation
 */
import type { MemberConnections } from '../../src/gateway/member-connections.js';
import { ZERO_POSITION } from '../../src/position/position.js';
import { Member } from '../../src/topology/member-group.js';
import type { ModelledGroup } from './modelled-group.js';

/** Data that a member keeps across a restart. */
export type KeptData = 'log' | 'nothing';

/** Start time of the latest incarnation, in milliseconds of the Unix epoch. */
let lastStartMs = 0;

/**
 * Restarts a member as a replica that is not paused, and lists it at once.
 *
 * @returns the incarnation that has ended, now a former member
 */
export function restartMember(scene: ModelledGroup, memberId: string, kept: KeptData): Member {
  const { group } = scene;
  const before = group.members.get(memberId) ?? group.findFormer(memberId);
  if (before === null) throw new Error(`no member ${memberId}`);
  const model = scene.member(memberId);
  model.state = 'running';
  model.isPrimary = false;
  model.pausedForTerm = 0;
  if (kept === 'nothing') model.received = ZERO_POSITION;
  lastStartMs += 1;
  before.hasEnded = true;
  group.members.delete(memberId);
  group.addFormer(before);
  group.members.set(memberId, new Member({ ...before.entry, bornMs: lastStartMs }, {} as MemberConnections));
  if (group.evidence.leader?.memberId === memberId) group.evidence.clearLeader();
  return before;
}
