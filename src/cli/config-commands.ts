/**
 * `sorrelladder config`: checks, publishes and prints the databases of the configuration.
 *
 * @packageDocumentation
 */
import type { Command } from 'commander';
import { Either, Left, Right } from 'purify-ts';
import { parse as parseYaml, stringify as toYaml } from 'yaml';
import { databasesDocumentSchema, type DatabaseConfiguration } from '../configuration/configuration.js';
import { formatIssues } from '../settings/format-issues.js';
import { ExitCode, printProblems } from './exit-codes.js';
import {
  openStore,
  publishAndReport,
  readTextFile,
  reportStoreErrors,
  withStoreOptions,
  type PublishCommandOptions,
  type StoreOptions,
} from './store-options.js';

/** Registers the `config` commands. */
export function registerConfigCommands(program: Command): void {
  const config = program.command('config').description('check and publish the databases');
  config.command('check <file>').description('check a databases file').action(runCheck);
  withStoreOptions(config.command('publish <file>'))
    .description('check and publish a databases file')
    .option('--expect-version <version>', 'publish only if this version is current')
    .action(runPublish);
  withStoreOptions(config.command('show')).description('print the databases in force').action(runShow);
}

/** Parses a databases document; returns the problems, one per line, when it is invalid. */
export function parseDatabases(text: string): Either<readonly string[], readonly DatabaseConfiguration[]> {
  let raw: unknown;
  try {
    raw = parseYaml(text);
  } catch (error) {
    return Left([`databases: not valid YAML: ${(error as Error).message.split('\n')[0]}`]);
  }
  const result = databasesDocumentSchema.safeParse(raw);
  return result.success ? Right(result.data.databases) : Left(formatIssues('databases', result.error.issues));
}

function readDatabases(file: string): readonly DatabaseConfiguration[] | null {
  const text = readTextFile(file);
  if (text === null) return null;
  return parseDatabases(text).caseOf<readonly DatabaseConfiguration[] | null>({
    Right: (databases) => databases,
    Left: (problems) => {
      printProblems(problems);
      process.exitCode = ExitCode.invalid;
      return null;
    },
  });
}

function runCheck(file: string): void {
  const databases = readDatabases(file);
  if (databases !== null) process.stdout.write(`${databases.length} databases are valid\n`);
}

async function runPublish(file: string, options: PublishCommandOptions): Promise<void> {
  const databases = readDatabases(file);
  if (databases !== null) await publishAndReport({ databases: [...databases] }, options);
}

async function runShow(options: StoreOptions): Promise<void> {
  await reportStoreErrors(async () => {
    const databases = (await openStore(options).read())?.databases ?? [];
    process.stdout.write(options.json ? `${JSON.stringify(databases)}\n` : toYaml({ databases }));
  });
}
