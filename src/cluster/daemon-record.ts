/**
 * What a daemon tells the others of itself through the store.
 *
 * @packageDocumentation
 */

/** Where another daemon is reached, and what it can carry. */
export interface DaemonRecord {
  readonly name: string;
  /** New with each start of the process. */
  readonly life: string;
  readonly host: string;
  /** Port on which it takes orders of the holder of the promotion duty. */
  readonly port: number;
  /** Port on which it lends connections to members. */
  readonly gatewayPort: number;
  readonly zone: string;
  /** Processors that it has, in cores of the ordinary speed. */
  readonly capacity: number;
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
