/**
 * Seeded random number generator of the load.
 *
 * @packageDocumentation
 */
export { uniformInt } from 'pure-rand/distribution/uniformInt';
export { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
export type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
