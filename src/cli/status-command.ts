/**
 * `sorrelladder status`: prints the status of a daemon.
 *
 * @packageDocumentation
 */
import type { Command } from 'commander';
import type { DaemonStatus, DatabaseStatus } from '../daemon/daemon-status.js';
import { requestJson } from '../store/json-http.js';
import { ExitCode, printProblems } from './exit-codes.js';

const STATUS_TIMEOUT_MS = 3000;

/** Registers the `status` command. */
export function registerStatusCommand(program: Command): void {
  program
    .command('status <url>')
    .description("show a daemon's peers, databases and members; URL is its HTTP address")
    .option('--json', 'print JSON', false)
    .action(runStatus);
}

async function runStatus(url: string, options: { readonly json: boolean }): Promise<void> {
  try {
    const http = { baseUrl: url, localAddress: null, timeoutMs: STATUS_TIMEOUT_MS };
    const status = (await requestJson(http, 'GET', '/status')) as DaemonStatus;
    process.stdout.write(options.json ? `${JSON.stringify(status)}\n` : formatStatus(status));
  } catch (error) {
    printProblems([`the daemon could not be asked: ${(error as Error).message}`]);
    process.exitCode = ExitCode.unavailable;
  }
}

function formatStatus(status: DaemonStatus): string {
  const lines = [
    `daemon ${status.daemon.id} zone ${status.daemon.zone} configuration ${status.configurationVersion} clients ${status.clientConnections}`,
    '',
    'PEER\tZONE\tSTATE\tCONFIGURATION\tOWNS',
    ...status.peers.map(
      (peer) =>
        `${peer.daemonId}\t${peer.zone}\t${peer.state}\t${peer.configurationVersion}\t${peer.ownedDatabases.join(',') || '-'}`,
    ),
    ...status.databases.flatMap(formatDatabase),
  ];
  return `${lines.join('\n')}\n`;
}

function formatDatabase(database: DatabaseStatus): string[] {
  return [
    '',
    `database ${database.name} owner ${database.owner ?? 'none'} term ${database.term ?? '-'}`,
    ...database.members.map((member) => {
      const flags = [
        member.isLocked ? 'locked' : 'not locked',
        ...(member.isLeaving ? ['leaving'] : []),
      ].join(', ');
      return `  ${member.id}\t${member.zone}\t${member.role ?? 'unreachable'}\tapplied ${member.applied ?? '-'}\tstaleness ${member.stalenessMs ?? '-'} ms\tconnections ${member.connections}\twaiting ${member.waiting}\t${flags}`;
    }),
  ];
}
