/**
 * Structured logging: one line of `key=value` pairs per event.
 *
 * @packageDocumentation
 */
import { pino, type Logger as PinoLogger } from 'pino';

/** Log levels accepted in the settings. */
export const LOG_LEVELS = ['error', 'warn', 'info', 'debug', 'silent'] as const;

export type LogLevel = (typeof LOG_LEVELS)[number];

/** The logger type that modules depend on. */
export type Logger = PinoLogger;

const UNQUOTED_VALUE_PATTERN = /^[\w.:/@,+-]+$/;

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

/** Formats a JSON log record as a line of `key=value` pairs. */
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
  return UNQUOTED_VALUE_PATTERN.test(text) ? text : JSON.stringify(text);
}
