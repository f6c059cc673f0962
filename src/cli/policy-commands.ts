/**
 * `sorrelladder policy`: checks, tests, publishes, prints and rolls back policies, and lists their versions.
 *
 * @packageDocumentation
 */
import type { Command } from 'commander';
import { Policy } from '../policy/policy.js';
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

const HISTORY_LENGTH = 20;

/** Registers the `policy` commands. */
export function registerPolicyCommands(program: Command): void {
  const policy = program.command('policy').description('check, test and publish policies');
  policy.command('check <file>').description('check the form and the types of a policy').action(runCheck);
  policy.command('test <file>').description("run a policy's own test cases").action(runTest);
  withStoreOptions(policy.command('publish <file>'))
    .description('check, test and publish a policy')
    .option('--expect-version <version>', 'publish only if this version is current')
    .action(runPublish);
  withStoreOptions(policy.command('show'))
    .description('print the current policy')
    .option('--at-version <version>', 'another version than the current one')
    .action(runShow);
  withStoreOptions(policy.command('history')).description('list the last versions').action(runHistory);
  withStoreOptions(policy.command('rollback <version>'))
    .description('publish the policy of an older version as a new version')
    .option('--expect-version <version>', 'publish only if this version is current')
    .action(runRollback);
}

function runCheck(file: string): void {
  compileFile(file, () => process.stdout.write('the policy is valid\n'));
}

function runTest(file: string): void {
  compileFile(file, (policy) => {
    const failures = policy.runTests();
    printProblems(failures);
    if (failures.length > 0) process.exitCode = ExitCode.invalid;
    process.stdout.write(`${policy.testCount - failures.length} passed, ${failures.length} failed\n`);
  });
}

function compileFile(file: string, onCompiled: (policy: Policy) => void): void {
  const text = readTextFile(file);
  if (text === null) return;
  Policy.compile(text)
    .ifLeft((problems) => {
      printProblems(problems);
      process.exitCode = ExitCode.invalid;
    })
    .ifRight(onCompiled);
}

async function runPublish(file: string, options: PublishCommandOptions): Promise<void> {
  const text = readTextFile(file);
  if (text !== null) await publishAndReport({ policy: text }, options);
}

async function runShow(options: StoreOptions & { readonly atVersion?: string }): Promise<void> {
  await reportStoreErrors(async () => {
    const store = openStore(options);
    const wanted =
      options.atVersion === undefined ? store.read() : store.readVersion(Number(options.atVersion));
    const configuration = await wanted;
    if (configuration === null) {
      printProblems(['there is no such version']);
      process.exitCode = ExitCode.invalid;
      return;
    }
    process.stdout.write(options.json ? `${JSON.stringify(configuration)}\n` : configuration.policy);
  });
}

async function runHistory(options: StoreOptions): Promise<void> {
  await reportStoreErrors(async () => {
    const store = openStore(options);
    const newest = (await store.read())?.version ?? 0;
    const oldest = Math.max(1, newest - HISTORY_LENGTH + 1);
    for (let version = newest; version >= oldest; version -= 1) {
      const configuration = await store.readVersion(version);
      if (configuration === null) continue;
      const { identity, publishedAt, publishedBy } = configuration;
      const line = options.json
        ? JSON.stringify({ version, identity, publishedAt, publishedBy })
        : `${version}\t${publishedAt}\t${publishedBy}\t${identity}`;
      process.stdout.write(`${line}\n`);
    }
  });
}

async function runRollback(version: string, options: PublishCommandOptions): Promise<void> {
  await reportStoreErrors(async () => {
    const previous = await openStore(options).readVersion(Number(version));
    if (previous === null) {
      printProblems([`there is no version ${version}`]);
      process.exitCode = ExitCode.invalid;
      return;
    }
    await publishAndReport({ policy: previous.policy }, options);
  });
}
