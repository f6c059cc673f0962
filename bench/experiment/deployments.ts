/**
 * The two reference deployments that the users specified.
 *
 * @packageDocumentation
 */
import type { DeploymentOptions } from '../../standin/rig/deployment.js';

/** Names of the deployments. */
export type DeploymentName = 'lahore' | 'cairo';

/**
 * Policy of the experiments: lookups may be served by replicas, and class `important` has the highest
 * priority.
 */
export const EXPERIMENT_POLICY = `
rules:
  - name: lookups
    when: class == "lookup" && kind == "read"
    replica: true
    deadlineMs: 8000
  - name: important
    when: class == "important"
    priority: 9
    deadlineMs: 8000
  - name: bulk
    when: class == "bulk"
    priority: 1
    deadlineMs: 1000
  - name: others
    when: "true"
    deadlineMs: 8000
`;

const COMMON = {
  databases: ['first', 'second', 'third'],
  membersPerDatabase: 3,
  policy: EXPERIMENT_POLICY,
  zoneLatencyMs: 1.5,
} as const;

/** Options of each deployment. */
export const DEPLOYMENTS: Readonly<Record<DeploymentName, Partial<DeploymentOptions>>> = {
  lahore: {
    ...COMMON,
    networkId: 101,
    zones: ['lhr-a', 'lhr-b', 'lhr-c'],
    daemonsPerZone: 2,
    slots: 5,
    connectionLimit: 35,
    member: { openDelayMs: 10, serviceTimeMs: 1, electionTimeoutMs: 1000, applyLagMs: 20 },
  },
  cairo: {
    ...COMMON,
    networkId: 102,
    zones: ['nasr-a', 'nasr-b', 'maadi', 'smart-village'],
    daemonsPerZone: 1,
    slots: 4,
    connectionLimit: 65,
    member: { openDelayMs: 25, serviceTimeMs: 1, electionTimeoutMs: 1000, applyLagMs: 20 },
  },
};
