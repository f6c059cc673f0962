/**
 * Supervises all groups while this daemon holds the promotion duty.
 *
 * @packageDocumentation
 */
import type { Suspicion } from '../cluster/peer-mesh.js';
import type { MemberGroup } from '../topology/member-group.js';
import { GroupSupervisor, type GroupSupervisorOptions } from './group-supervisor.js';

/** What the supervision needs for each group. */
export interface SupervisionOptions {
  /** What the supervisor of a group is given. */
  supervisorOptions(group: MemberGroup): GroupSupervisorOptions;
  /** Sees to a loop that must not end with an error. */
  runForever(loop: Promise<void>): void;
}

/** The supervisors of the groups; none while the duty is not held. */
export class Supervision {
  readonly #supervisors = new Map<string, GroupSupervisor>();

  constructor(private readonly options: SupervisionOptions) {}

  /** Supervises a group from now on, in place of whoever did. */
  begin(group: MemberGroup): void {
    this.end(group.name);
    const supervisor = new GroupSupervisor(group, this.options.supervisorOptions(group));
    this.#supervisors.set(group.name, supervisor);
    this.options.runForever(supervisor.run());
  }

  /** Ends the supervision of a group after what is under way. */
  end(groupName: string): void {
    this.#supervisors.get(groupName)?.stop();
    this.#supervisors.delete(groupName);
  }

  /** Ends the supervision of all groups: the duty is lost. */
  endAll(): void {
    for (const name of [...this.#supervisors.keys()]) this.end(name);
  }

  /** A daemon has ended, and has forgotten what it acknowledged in any group. */
  daemonEnded(): void {
    for (const supervisor of this.#supervisors.values()) void supervisor.daemonEnded();
  }

  /** Somebody doubts the leader of a group, or its members have changed. */
  suspect(groupName: string, suspicion?: Suspicion): void {
    this.#supervisors.get(groupName)?.suspect(suspicion);
  }
}
