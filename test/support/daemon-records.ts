/**
 * Records of daemons, for tests.
 *
 * @packageDocumentation
 */
import type { DaemonRecord } from '../../src/cluster/daemon-record.js';

/** A daemon record with default values for the fields that are not given. */
export function daemonRecord(name: string, other: Partial<DaemonRecord> = {}): DaemonRecord {
  return { name, life: 'l', host: 'h', port: 1, gatewayPort: 2, zone: 'a', capacity: 1, ...other };
}

/** Records of `size` daemons in one zone, named `d0`, `d1`, and so on. */
export function daemonRecords(size: number): readonly DaemonRecord[] {
  return Array.from({ length: size }, (_, index) => daemonRecord(`d${index}`));
}
