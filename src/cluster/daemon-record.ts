/**
 * What a daemon tells the others of itself through the store.
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
  /** New with each start of the process. */
  life: nonEmptyStringSchema,
  host: singleWordSchema,
  /** Port on which it takes orders of the holder of the promotion duty. */
  port: tcpPortSchema,
  /** Port on which it lends connections to members. */
  gatewayPort: tcpPortSchema,
  zone: nonEmptyStringSchema,
  /** Processors that it has, in cores of the ordinary speed. */
  capacity: nonNegativeNumberSchema,
});

/** Where another daemon is reached, and what it can carry. */
export type DaemonRecord = Readonly<z.infer<typeof schema>>;

/** Reads the record of a daemon that a key names: nobody speaks for another. */
export function readDaemonRecord(name: string, value: Buffer): ReadResult<DaemonRecord> {
  const reading = readJson(value, schema);
  if (reading.kind === 'read' && reading.value.name !== name)
    return unreadable('shape', 'name: that of the key expected');
  return reading;
}

/** Bits of a number that names the life of a process, in one draw. */
const LIFE_RANGE = 2 ** 48;

/**
 * A name for the life of a process that no other has.
 *
 * @param random - numbers in 0..1, from a source that every process seeds anew
 */
export function newLife(random: () => number): string {
  const draw = (): string =>
    Math.floor(random() * LIFE_RANGE)
      .toString(16)
      .padStart(12, '0');
  return draw() + draw();
}
