/**
 * `sorrelladder explain`: prints the log lines of daemons that explain the outcome of one request.
 *
 * @packageDocumentation
 */
import { readFileSync } from 'node:fs';
import type { Command } from 'commander';
import { explainRequest, type RequestExplanation } from '../observability/explain-request.js';
import { parseLogLine, type LogLine } from '../observability/log-line.js';
import { ExitCode, printProblems } from './exit-codes.js';

/** Fields that are left out of the details of a line. */
const NON_DETAIL_FIELDS: ReadonlySet<string> = new Set(['time', 'level', 'event', 'node', 'requestId']);

interface ExplainOptions {
  readonly log: readonly string[];
  readonly json: boolean;
  readonly around?: string;
}

/** Registers the `explain` command. */
export function registerExplainCommand(program: Command): void {
  program
    .command('explain <request-id>')
    .description('print the decisions that touched a request, and what happened to its group meanwhile')
    .requiredOption('--log <file...>', 'logs of the daemons; - reads standard input')
    .option('--around <ms>', 'how far around the request its surroundings are looked at, in milliseconds')
    .option('--json', 'print JSON', false)
    .action(runExplain);
}

function runExplain(requestId: string, options: ExplainOptions): void {
  const contextMs = options.around === undefined ? undefined : Number(options.around);
  if (contextMs !== undefined && !(contextMs >= 0)) {
    printProblems([`--around: a number of milliseconds expected, not ${options.around}`]);
    process.exitCode = ExitCode.invalid;
    return;
  }
  try {
    const lines = options.log.flatMap(readLines);
    printExplanation(requestId, explainRequest(requestId, lines, contextMs), options.json);
  } catch (error) {
    printProblems([`the log could not be read: ${(error as Error).message}`]);
    process.exitCode = ExitCode.invalid;
  }
}

function readLines(file: string): LogLine[] {
  const text = readFileSync(file === '-' ? 0 : file, 'utf8');
  return text.split('\n').flatMap((line) => parseLogLine(line) ?? []);
}

function printExplanation(requestId: string, explanation: RequestExplanation | null, isJson: boolean): void {
  if (explanation === null) {
    printProblems([
      `no line names ${requestId}: it was served, or never arrived, or its lines were dropped (see lines_dropped)`,
    ]);
    process.exitCode = ExitCode.failure;
    return;
  }
  process.stdout.write(isJson ? `${JSON.stringify(toJson(explanation))}\n` : formatExplanation(explanation));
}

function toJson({ requestId, decisions, surroundings, end }: RequestExplanation): object {
  const plain = (line: LogLine): object => Object.fromEntries(line.fields);
  return {
    requestId,
    end: end === null ? null : plain(end),
    decisions: decisions.map(plain),
    surroundings: surroundings.map(plain),
  };
}

function formatExplanation({ requestId, decisions, surroundings, end }: RequestExplanation): string {
  const lines = [`request ${requestId}`, '', ...decisions.map(formatLine)];
  if (surroundings.length > 0) lines.push('', 'its group and its daemons meanwhile', '');
  lines.push(...surroundings.map(formatLine), '', formatEnd(end));
  return `${lines.join('\n')}\n`;
}

function formatLine({ time, node, event, fields }: LogLine): string {
  const details = [...fields].filter(([key]) => !NON_DETAIL_FIELDS.has(key));
  return `${time}  ${node}  ${event}  ${details.map(([key, value]) => `${key}=${value}`).join(' ')}`.trimEnd();
}

function formatEnd(end: LogLine | null): string {
  if (end === null) return 'no refusal: it was served, or its client left';
  const field = (name: string): string => end.fields.get(name) ?? '?';
  return `refused as ${field('code')} (${field('verdict')}) after ${field('heldMs')} ms: ${field('reason')}`;
}
