#!/usr/bin/env node
/**
 * Entry point of the `sorrelladder` command line.
 *
 * @packageDocumentation
 */
import { Command } from 'commander';
import { registerConfigCommands } from './config-commands.js';
import { registerExplainCommand } from './explain-command.js';
import { registerPolicyCommands } from './policy-commands.js';
import { registerServeCommand } from './serve-command.js';
import { registerStatusCommand } from './status-command.js';

const program = new Command('sorrelladder')
  .description('database proxy with session consistency')
  .version('0.1.0')
  .showHelpAfterError();

registerServeCommand(program);
registerPolicyCommands(program);
registerConfigCommands(program);
registerStatusCommand(program);
registerExplainCommand(program);

await program.parseAsync();
