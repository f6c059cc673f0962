/**
 * Finds files for the test runner.
 *
 * @packageDocumentation
 */
import { readdirSync } from 'node:fs';
import { join } from 'node:path';

export { existsSync, readFileSync } from 'node:fs';

/** Paths below a directory that match a pattern, sorted. */
export function globSync(directory: string, pattern: RegExp): string[] {
  return readdirSync(directory, { recursive: true, encoding: 'utf8' })
    .filter((name) => pattern.test(name))
    .map((name) => join(directory, name))
    .sort();
}
