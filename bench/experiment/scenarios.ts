/**
 * Named scenarios of the experiments and the faults that they inject.
 *
 * @packageDocumentation
 */
import type { Deployment, DeploymentOptions } from '../../standin/rig/deployment.js';

/** A fault that is injected in the middle of a run. */
export interface ScenarioFault {
  /** Database whose writes the fault interrupts, or `null`. */
  readonly database: string | null;
  /** Zone that the fault isolates, or `null`. */
  cutZone(deployment: Deployment): Promise<string | null>;
  /** Injects the fault. */
  begin(deployment: Deployment): Promise<void>;
  /** Ends the fault. */
  end(deployment: Deployment): Promise<void>;
}

/** A scenario: optional settings of the members and an optional fault. */
export interface Scenario {
  readonly name: string;
  readonly description: string;
  readonly member?: DeploymentOptions['member'];
  readonly fault: ScenarioFault | null;
}

const DATABASE = 'first';

async function primaryOf(deployment: Deployment): Promise<string> {
  return (await deployment.findPrimary(DATABASE)) ?? '';
}

const NO_CUT = async (): Promise<null> => null;

const killPrimary: ScenarioFault = {
  database: DATABASE,
  cutZone: NO_CUT,
  begin: async (deployment) => {
    deployment.child(await primaryOf(deployment)).signal('SIGKILL');
  },
  end: async () => undefined,
};

const cutPrimary: ScenarioFault = {
  database: DATABASE,
  cutZone: async (deployment) => deployment.members.get(await primaryOf(deployment))?.zone ?? null,
  begin: async (deployment) => {
    const zone = deployment.members.get(await primaryOf(deployment))?.zone ?? '';
    deployment.proxy.isolate(zone, deployment.zones);
  },
  end: async (deployment) => deployment.proxy.heal(),
};

const killOwner: ScenarioFault = {
  database: DATABASE,
  cutZone: NO_CUT,
  begin: async (deployment) => {
    const owner = await deployment.waitForOwner(DATABASE);
    deployment.child(owner).signal('SIGKILL');
  },
  end: async () => undefined,
};

const storeOutage: ScenarioFault = {
  database: null,
  cutZone: NO_CUT,
  begin: async (deployment) => {
    await deployment.setStoreFaults({ down: true });
  },
  end: (deployment) => deployment.setStoreFaults({ down: false }),
};

const rollingRestart: ScenarioFault = {
  database: null,
  cutZone: NO_CUT,
  begin: async (deployment) => {
    for (const daemonId of deployment.daemons.keys()) {
      deployment.child(daemonId).signal('SIGTERM');
      await deployment.child(daemonId).waitForExit();
      await deployment.restartDaemon(daemonId);
    }
  },
  end: async () => undefined,
};

/** All scenarios. */
export const SCENARIOS: readonly Scenario[] = [
  { name: 'steady', description: 'no fault', fault: null },
  { name: 'lag-100ms', description: 'replicas 100 ms behind', member: { applyLagMs: 100 }, fault: null },
  { name: 'lag-1s', description: 'replicas 1 s behind', member: { applyLagMs: 1000 }, fault: null },
  { name: 'lag-5s', description: 'replicas 5 s behind', member: { applyLagMs: 5000 }, fault: null },
  { name: 'primary-killed', description: 'the primary of one database is killed', fault: killPrimary },
  {
    name: 'zone-cut',
    description: 'the zone of a primary is cut off; it believes it leads',
    fault: cutPrimary,
  },
  { name: 'owner-killed', description: 'the daemon that owns a database is killed', fault: killOwner },
  { name: 'store-out', description: 'the store is down', fault: storeOutage },
  { name: 'rolling-restart', description: 'all daemons are restarted one by one', fault: rollingRestart },
];
