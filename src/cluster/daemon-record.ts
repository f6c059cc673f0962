/**
 * The record that each daemon publishes about itself in the store.
 *
 * @packageDocumentation
 */
import * as z from 'zod/mini';
import {
  nonNegativeNumberSchema,
  tcpPortSchema,
  readJson,
  nonEmptyStringSchema,
  unreadable,
  singleWordSchema,
  type ReadResult,
} from '../coordination/stored-json.js';

const schema = z.object({
  name: singleWordSchema,
  /** Identifies the incarnation of the process; new with each start. */
  life: nonEmptyStringSchema,
  host: singleWordSchema,
  /** Port on which it accepts orders from the holder of the promotion duty. */
  port: tcpPortSchema,
  /** Port of its gateway, on which it lends its connections to members to other daemons. */
  gatewayPort: tcpPortSchema,
  zone: nonEmptyStringSchema,
  /** Processing capacity, in cores of standard speed. */
  capacity: nonNegativeNumberSchema,
});

/** Address, zone and capacity of a daemon. */
export type DaemonRecord = Readonly<z.infer<typeof schema>>;

/** Parses the record stored under a daemon's key; rejects a record that names another daemon. */
export function readDaemonRecord(name: string, value: Buffer): ReadResult<DaemonRecord> {
  const reading = readJson(value, schema);
  if (reading.kind === 'read' && reading.value.name !== name)
    return unreadable('shape', 'name: that of the key expected');
  return reading;
}

/** Range of one random draw: 48 bits. */
const INCARNATION_DRAW_RANGE = 2 ** 48;

/**
 * A unique identifier for an incarnation of a process.
 *
 * @param random - random numbers in 0..1, from a source that each process seeds differently
 */
export function newIncarnationId(random: () => number): string {
  const draw = (): string =>
    Math.floor(random() * INCARNATION_DRAW_RANGE)
      .toString(16)
      .padStart(12, '0');
  return draw() + draw();
}
