#!/usr/bin/env node
/**
 * Command line that runs one stand-in as a process: `member`, `store` or `machines`. For tests and
 * experiments only.
 *
 * @packageDocumentation
 */
import { Command } from 'commander';
import type { Machine } from '../src/machines/machine-list.js';
import { MachinesServer } from './machines/machines-server.js';
import { MemberServer, type MemberServerOptions } from './member/member-server.js';
import { StoreServer } from './store/store-server.js';

const program = new Command('standin').description('stand-ins of the systems that sorrelladder serves');

program
  .command('member')
  .description('one member of a database group')
  .requiredOption('--options <json>', 'options of the member, as JSON')
  .action(async ({ options }: { options: string }) => {
    const member = new MemberServer(JSON.parse(options) as MemberServerOptions);
    process.on('SIGTERM', () => member.leave());
    process.on('SIGINT', () => process.exit(0));
    await member.start();
    process.stdout.write('ready\n');
  });

program
  .command('store')
  .description("the platform's store")
  .requiredOption('--host <ip>', 'address to listen on')
  .requiredOption('--port <port>', 'port to listen on')
  .action(async ({ host, port }: { host: string; port: string }) => {
    await new StoreServer().listen(host, Number(port));
    process.stdout.write('ready\n');
  });

program
  .command('machines')
  .description("the platform's list of machines")
  .requiredOption('--host <ip>', 'address to listen on')
  .requiredOption('--port <port>', 'port to listen on')
  .option('--lag-ms <ms>', 'time until a change is seen', '0')
  .option('--machines <json>', 'the list at the start, as JSON', '[]')
  .action(async ({ host, port, lagMs, machines }: Record<'host' | 'port' | 'lagMs' | 'machines', string>) => {
    const server = new MachinesServer(Number(lagMs));
    server.setMachines(JSON.parse(machines) as Machine[]);
    await server.listen(host, Number(port));
    process.stdout.write('ready\n');
  });

await program.parseAsync();
