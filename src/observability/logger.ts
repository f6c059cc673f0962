/**
 * Structured logs: one line of key=value pairs for each event.
 *
 * @packageDocumentation
 */
import { pino, type Logger as PinoLogger } from 'pino';

/** Levels that the settings offer. */
export const LOG_LEVELS = ['error', 'warn', 'info', 'debug', 'silent'] as const;

/** A log level. */
export type LogLevel = (typeof LOG_LEVELS)[number];

/** The logger that modules are given. */
export type Logger = PinoLogger;

const UNQUOTED = /^[\w.:/@,+-]+$/;

/** Creates a logger that writes to standard error. */
export function createLogger(level: LogLevel, bindings: Readonly<Record<string, string>>): Logger {
  const destination = { write: (line: string): void => void process.stderr.write(formatLine(line)) };
  const options = {
    level,
    base: bindings,
    messageKey: 'event',
    timestamp: () => `,"time":"${new Date().toISOString()}"`,
    formatters: { level: (label: string) => ({ level: label }) },
  };
  return pino(options, destination);
}

/** Turns a line of JSON into key=value pairs. */
export function formatLine(json: string): string {
  const fields = JSON.parse(json) as Record<string, unknown>;
  const { time, level, event, ...rest } = fields;
  const ordered = { time, level, event, ...rest };
  const pairs = Object.entries(ordered).map(([key, value]) => `${key}=${formatValue(value)}`);
  return `${pairs.join(' ')}\n`;
}

function formatValue(value: unknown): string {
  const text = typeof value === 'string' ? value : JSON.stringify(value);
  if (text === undefined) return '""';
  return UNQUOTED.test(text) ? text : JSON.stringify(text);
}
