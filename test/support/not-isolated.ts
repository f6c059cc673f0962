/**
 * The isolation of a daemon that reaches all zones, for tests.
 *
 * @packageDocumentation
 */
import type { Isolation } from '../../src/isolation/isolation.js';

/** Never isolated. */
export const NOT_ISOLATED: Isolation = {
  isIsolated: false,
  add: () => undefined,
  remove: () => undefined,
};
