/**
 * Records of daemons, for tests.
 *
 * @packageDocumentation
 */
import type { DaemonRecord } from '../../src/cluster/daemon-record.js';

/** A record; what does not matter to a test is the same for all. */
export function daemonRecord(name: string, other: Partial<DaemonRecord> = {}): DaemonRecord {
  return { name, life: 'l', host: 'h', port: 1, gatewayPort: 2, zone: 'a', capacity: 1, ...other };
}

/** Daemons of one zone, `d0` and so on. */
export function fleetOf(size: number): readonly DaemonRecord[] {
  return Array.from({ length: size }, (_, index) => daemonRecord(`d${index}`));
}
