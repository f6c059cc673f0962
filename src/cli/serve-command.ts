/**
 * `sorrelladder serve`: runs the daemon.
 *
 * @packageDocumentation
 */
import type { Command } from 'commander';
import { Daemon } from '../daemon/daemon.js';
import { HttpServer } from '../observability/http-server.js';
import { createLogger } from '../observability/logger.js';
import { loadSettings, type Settings } from '../settings/settings.js';
import { ExitCode, printProblems } from './exit-codes.js';

interface ServeOptions {
  readonly settings: string;
  readonly set: readonly string[];
  readonly check: boolean;
}

/** Registers the `serve` command. */
export function registerServeCommand(program: Command): void {
  program
    .command('serve')
    .description('run a daemon until SIGTERM, which drains it')
    .requiredOption('-s, --settings <file>', 'settings file (YAML)')
    .option('--set <path=value...>', 'override one setting, for instance daemon.id=a1', [])
    .option('--check', 'only check the settings', false)
    .action(runServe);
}

async function runServe(options: ServeOptions): Promise<void> {
  const overrides = new Map(options.set.map((pair) => parseOverride(pair)));
  const settings = loadSettings(options.settings, overrides);
  if (settings.isLeft()) {
    printProblems(settings.swap().orDefault([]));
    process.exitCode = ExitCode.invalid;
    return;
  }
  if (options.check) {
    process.stdout.write('settings are valid\n');
    return;
  }
  await serve(settings.unsafeCoerce());
}

function parseOverride(pair: string): [string, string] {
  const position = pair.indexOf('=');
  return position < 0 ? [pair, ''] : [pair.slice(0, position), pair.slice(position + 1)];
}

async function serve(settings: Settings): Promise<void> {
  const log = createLogger(settings.log.level, { daemon: settings.daemon.id });
  const daemon = new Daemon(settings, log);
  const http = new HttpServer({
    registry: daemon.metrics.registry,
    collect: () => daemon.collectGauges(),
    unavailableReason: () => daemon.unavailableReason(),
    status: () => daemon.status(),
  });
  const stop = async (): Promise<void> => {
    const abortedRequests = await daemon.stop();
    http.close();
    process.exit(abortedRequests > 0 ? ExitCode.cut : ExitCode.success);
  };
  let isStopping = false;
  const onSignal = (signal: string): void => {
    if (isStopping) {
      log.warn({ signal }, 'signal_ignored_while_draining');
      return;
    }
    isStopping = true;
    void stop();
  };
  process.on('SIGTERM', () => onSignal('SIGTERM'));
  process.on('SIGINT', () => onSignal('SIGINT'));
  try {
    await http.listen(settings.listen.http.host, settings.listen.http.port);
    await daemon.start();
  } catch (error) {
    log.error({ error: (error as Error).message }, 'start_failed');
    process.exit(ExitCode.failure);
  }
}
