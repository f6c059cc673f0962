/**
 * Options and error reports shared by the commands that read or write the store.
 *
 * @packageDocumentation
 */
import { readFileSync } from 'node:fs';
import { userInfo } from 'node:os';
import type { Command } from 'commander';
import type { Either } from 'purify-ts';
import type { Configuration } from '../configuration/configuration.js';
import { ConfigurationStore, type PublishFailure } from '../configuration/configuration-store.js';
import { StoreClient } from '../store/store-client.js';
import { ExitCode, printProblems } from './exit-codes.js';

/** Options that select the store. */
export interface StoreOptions {
  readonly store: string;
  readonly prefix: string;
  readonly json: boolean;
}

/** Options of a publication. */
export interface PublishCommandOptions extends StoreOptions {
  readonly expectVersion?: string;
}

const STORE_TIMEOUT_MS = 5000;
const READ_BACK_ATTEMPTS = 8;

/** Adds the options that select the store. */
export function withStoreOptions(command: Command): Command {
  return command
    .requiredOption('--store <url>', "address of the platform's store")
    .option('--prefix <path>', 'prefix of the keys', '/sorrelladder')
    .option('--json', 'print JSON', false);
}

/** Opens the configuration store that the options select. */
export function openStore(options: StoreOptions): ConfigurationStore {
  const client = new StoreClient({ baseUrl: options.store, localAddress: null, timeoutMs: STORE_TIMEOUT_MS });
  return new ConfigurationStore(client, options.prefix);
}

/** Reads a text file; on failure prints a message, sets the exit code and returns `null`. */
export function readTextFile(path: string): string | null {
  try {
    return readFileSync(path, 'utf8');
  } catch (error) {
    printProblems([`cannot read ${path}: ${(error as Error).message}`]);
    process.exitCode = ExitCode.invalid;
    return null;
  }
}

/** Publishes a change and prints the outcome. */
export async function publishAndReport(
  change: Partial<Pick<Configuration, 'databases' | 'policy'>>,
  options: PublishCommandOptions,
): Promise<void> {
  const result = await openStore(options).publish(change, {
    publishedBy: userInfo().username,
    expectedVersion: options.expectVersion === undefined ? null : Number(options.expectVersion),
    readBackAttempts: READ_BACK_ATTEMPTS,
  });
  reportPublication(result, options.json);
}

function reportPublication(result: Either<PublishFailure, Configuration>, json: boolean): void {
  result.caseOf({
    Right: ({ version, identity }) => {
      const text = json ? JSON.stringify({ version, identity }) : `accepted as version ${version}`;
      process.stdout.write(`${text}\n`);
    },
    Left: reportFailure,
  });
}

function reportFailure(failure: PublishFailure): void {
  switch (failure.kind) {
    case 'invalid':
      printProblems(failure.problems);
      process.exitCode = ExitCode.invalid;
      break;
    case 'conflict':
      printProblems([`not published: version ${failure.currentVersion} is current by now`]);
      process.exitCode = ExitCode.conflict;
      break;
    case 'unavailable':
      printProblems([`not published: the store could not be asked: ${failure.message}`]);
      process.exitCode = ExitCode.unavailable;
      break;
    case 'unknown':
      printProblems([
        `it is not known whether version ${failure.version} was published;`,
        `look for identity ${failure.identity} with "policy history" once the store answers`,
      ]);
      process.exitCode = ExitCode.unknown;
      break;
  }
}

/** Runs an operation on the store; prints a message and sets the exit code when it fails. */
export async function reportStoreErrors(work: () => Promise<void>): Promise<void> {
  try {
    await work();
  } catch (error) {
    printProblems([`the store could not be asked: ${(error as Error).message}`]);
    process.exitCode = ExitCode.unavailable;
  }
}
