/**
 * The supervisors of all groups while this daemon holds the promotion duty.
 *
 * @packageDocumentation
 */
import type { Suspicion } from '../cluster/peer-mesh.js';
import type { MemberGroup } from '../topology/member-group.js';
import { GroupSupervisor, type GroupSupervisorOptions } from './group-supervisor.js';

/** Dependencies of {@link GroupSupervisors}. */
export interface GroupSupervisorsOptions {
  /** Options for the supervisor of a group. */
  supervisorOptions(group: MemberGroup): GroupSupervisorOptions;
  /** Runs a loop that must not end with an error. */
  runForever(loop: Promise<void>): void;
}

/** The supervisors of the groups, by group name; none while the duty is not held. */
export class GroupSupervisors {
  readonly #supervisors = new Map<string, GroupSupervisor>();

  constructor(private readonly options: GroupSupervisorsOptions) {}

  /** Starts a supervisor for a group, in place of an earlier one. */
  begin(group: MemberGroup): void {
    this.end(group.name);
    const supervisor = new GroupSupervisor(group, this.options.supervisorOptions(group));
    this.#supervisors.set(group.name, supervisor);
    this.options.runForever(supervisor.run());
  }

  /** Stops the supervisor of a group after its current check. */
  end(groupName: string): void {
    this.#supervisors.get(groupName)?.stop();
    this.#supervisors.delete(groupName);
  }

  /** Stops all supervisors: the duty is lost. */
  endAll(): void {
    for (const name of [...this.#supervisors.keys()]) this.end(name);
  }

  /** The process of a daemon has ended, and with it the record of what it acknowledged in each group. */
  daemonEnded(): void {
    for (const supervisor of this.#supervisors.values()) void supervisor.daemonEnded();
  }

  /** A daemon suspects the leader of a group, or the members of the group have changed. */
  suspect(groupName: string, suspicion?: Suspicion): void {
    this.#supervisors.get(groupName)?.suspect(suspicion);
  }
}
