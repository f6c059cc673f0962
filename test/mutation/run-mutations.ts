/**
 * Applies each mutation to a copy of the build, runs the test of the removed mechanism and expects it to fail.
 *
 * `node dist/test/mutation/run-mutations.js [pattern of properties]`; not part of the test suite, since a
 * failing test may take minutes.
 *
 * @packageDocumentation
 */
import { spawnSync } from 'node:child_process';
import { cpSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { MUTATIONS, type Mutation } from './mutations.js';

const MUTATED_BUILD = 'dist-mutated';
const TIMEOUT_MS = 240_000;

/** Returns true when the test failed, as it must. */
function runMutation(mutation: Mutation): boolean {
  rmSync(MUTATED_BUILD, { recursive: true, force: true });
  cpSync('dist', MUTATED_BUILD, { recursive: true });
  const path = join(MUTATED_BUILD, mutation.file);
  const source = readFileSync(path, 'utf8');
  if (!source.includes(mutation.search)) throw new Error(`${mutation.file} has no "${mutation.search}"`);
  writeFileSync(path, source.replace(mutation.search, mutation.replacement));
  const args = ['--test', `--test-name-pattern=${mutation.testName}`, join(MUTATED_BUILD, mutation.testFile)];
  const result = spawnSync(process.execPath, args, { encoding: 'utf8', timeout: TIMEOUT_MS });
  const violations = /(\d+ violations in \d+ operations)/.exec(result.stdout)?.[1];
  const hasFailed = result.status !== 0;
  process.stdout.write(`${hasFailed ? 'red' : 'GREEN'}\t${mutation.property}\t${violations ?? ''}\n`);
  return hasFailed;
}

const filter = new RegExp(process.argv[2] ?? '');
const outcomes = MUTATIONS.filter(({ property }) => filter.test(property)).map(runMutation);
rmSync(MUTATED_BUILD, { recursive: true, force: true });
process.exitCode = outcomes.every(Boolean) ? 0 : 1;
