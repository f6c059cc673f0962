/**
 * File look-ups for the test runner.
 *
 * @packageDocumentation
 */
import { readdirSync } from 'node:fs';
import { join } from 'node:path';

export { existsSync, readFileSync } from 'node:fs';

/** Files below a directory whose names match, in order. */
export function globSync(directory: string, pattern: RegExp): string[] {
  return readdirSync(directory, { recursive: true, encoding: 'utf8' })
    .filter((name) => pattern.test(name))
    .map((name) => join(directory, name))
    .sort();
}
