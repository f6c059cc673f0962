#!/usr/bin/env node
/**
 * Command line of the experiments.
 *
 * @packageDocumentation
 */
import { readFileSync, writeFileSync } from 'node:fs';
import { Command } from 'commander';
import { measureAdmission } from './experiment/admission-cost.js';
import type { DeploymentName } from './experiment/deployments.js';
import { formatComparison, renderReport } from './experiment/report.js';
import { runOverload } from './experiment/overload.js';
import { runScenario, type RunResult } from './experiment/run-scenario.js';
import { SCENARIOS } from './experiment/scenarios.js';
import { measureTenancy } from './experiment/tenancy-cost.js';
import { runThroughput } from './experiment/throughput.js';
import { runSeeds } from './seeds/run-seeds.js';
import { formatRuns, type SeedRun } from './seeds/summarize.js';

const program = new Command('bench').description('experiments over real processes on loopback');

function print(result: unknown, out: string | undefined): void {
  const text = `${JSON.stringify(result, null, 2)}\n`;
  if (out === undefined) process.stdout.write(text);
  else writeFileSync(out, text);
}

function readResult(path: string): RunResult {
  return JSON.parse(readFileSync(path, 'utf8')) as RunResult;
}

program
  .command('run <scenario>')
  .description(`one of ${SCENARIOS.map(({ name }) => name).join(', ')}`)
  .option('--deployment <name>', 'lahore or cairo', 'lahore')
  .option('--seed <number>', 'seed of the load', '1')
  .option('--sessions <count>', 'sessions', '60')
  .option('--think-ms <ms>', 'pause of a session between operations', '40')
  .option('--seconds <seconds>', 'length of each part of the run', '10')
  .option('--out <file>', 'write the result to a file')
  .action(async (name: string, options: Record<string, string>) => {
    const scenario = SCENARIOS.find((candidate) => candidate.name === name);
    if (scenario === undefined) throw new Error(`no scenario ${name}`);
    const result = await runScenario({
      deployment: options['deployment'] as DeploymentName,
      scenario,
      seed: Number(options['seed']),
      sessions: Number(options['sessions']),
      thinkTimeMs: Number(options['thinkMs']),
      partMs: Number(options['seconds']) * 1000,
    });
    print(result, options['out']);
  });

program
  .command('throughput')
  .description('one daemon against the member itself, on loopback without delays')
  .option('--seconds <seconds>', 'length of each part', '5')
  .option('--out <file>', 'write the result to a file')
  .action(async (options: Record<string, string>) =>
    print(await runThroughput(Number(options['seconds']) * 1000), options['out']),
  );

program
  .command('tenancy')
  .description('cost of keys for each statement, and of quotas for each operation, in microseconds')
  .option('--out <file>', 'write the result to a file')
  .action(async (options: Record<string, string>) => print(await measureTenancy(), options['out']));

program
  .command('admission')
  .description('cost of the decisions about 5,000 waiting requests, in microseconds')
  .option('--out <file>', 'write the result to a file')
  .action((options: Record<string, string>) => print(measureAdmission(), options['out']));

program
  .command('overload')
  .description('more work than the members can do, in two classes')
  .option('--seconds <seconds>', 'length of each part', '5')
  .option('--out <file>', 'write the result to a file')
  .action(async (options: Record<string, string>) =>
    print(await runOverload(Number(options['seconds']) * 1000), options['out']),
  );

program
  .command('seeds')
  .description(
    "days of a deployment with several seeds, by the users' bench: mean, spread, difference to another run",
  )
  .requiredOption('--bench <program>', 'the bench')
  .requiredOption('--site <file>', 'the site file')
  .requiredOption('--days <names>', 'days, separated by commas')
  .requiredOption('--why <text>', 'why, for the journal')
  .option('--seeds <numbers>', 'seeds, separated by commas', '11,12,13,14')
  .option('--repository <folder>', 'the version to play', '.')
  .option('--jobs <count>', 'days played at once', '4')
  .option('--against <file>', 'the result of another run')
  .option('--out <file>', 'write the result to a file')
  .action(async (options: Record<string, string>) => {
    const plan = {
      bench: options['bench'] ?? '',
      site: options['site'] ?? '',
      repository: options['repository'] ?? '.',
      days: (options['days'] ?? '').split(','),
      seeds: (options['seeds'] ?? '').split(',').map(Number),
      jobs: Number(options['jobs']),
      why: options['why'] ?? '',
    };
    const runs = await runSeeds(plan, ({ day, seed, worth }) =>
      process.stderr.write(`${day} ${seed} ${String(worth)}\n`),
    );
    const before = options['against'];
    const earlier = before === undefined ? null : (JSON.parse(readFileSync(before, 'utf8')) as SeedRun[]);
    process.stdout.write(formatRuns(runs, earlier));
    if (options['out'] !== undefined) print(runs, options['out']);
  });

program
  .command('compare <before> <after>')
  .description('two results side by side')
  .action((before: string, after: string) => {
    process.stdout.write(formatComparison(readResult(before), readResult(after)));
  });

program
  .command('report <results...>')
  .description('a page with plots')
  .requiredOption('--out <file>', 'HTML file to write')
  .action((paths: string[], options: { out: string }) =>
    writeFileSync(options.out, renderReport(paths.map(readResult))),
  );

await program.parseAsync();
