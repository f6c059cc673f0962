/**
 * Structured log that never blocks the process: lines above a rate limit, or while a slow reader has left too
 * much output unread, are dropped. The number of dropped lines is logged, except for routine lines.
 *
 * @packageDocumentation
 */
import type { Writable } from 'node:stream';
import { pino, type Logger as PinoLogger } from 'pino';
import { formatLine } from './logger.js';

/** Rate limit of lines about requests that are served normally. */
const MAX_ROUTINE_LINES_PER_S = 4;
/** Rate limit of lines about requests that fail or are not served normally. */
const MAX_NOTABLE_LINES_PER_S = 150;
/** Maximum size of the output that a slow reader has not consumed yet. */
const MAX_BUFFERED_BYTES = 512 * 1024;
const PERIOD_MS = 1000;

/** Importance of a line; lines of class `always` are exempt from the rate limit. */
export type LineClass = 'routine' | 'notable' | 'always';

/** A log with a rate limit per class of lines and a limit on buffered output. */
export class BoundedLog {
  readonly #logger: PinoLogger;
  #periodStartMs = 0;
  #linesWritten: Record<LineClass, number> = { routine: 0, notable: 0, always: 0 };
  #linesDropped = 0;

  constructor(
    private readonly output: Writable,
    bindings: Readonly<Record<string, string>>,
    private readonly now: () => number,
  ) {
    const options = {
      base: bindings,
      messageKey: 'event',
      timestamp: () => `,"time":"${new Date().toISOString()}"`,
      formatters: { level: (label: string) => ({ level: label }) },
    };
    this.#logger = pino(options, { write: (line) => void output.write(formatLine(line)) });
  }

  /** Number of dropped lines that have not been reported yet, without routine lines. */
  get dropped(): number {
    return this.#linesDropped;
  }

  /** Writes a line unless the rate limit of its class or the limit on buffered output is reached. */
  write(lineClass: LineClass, event: string, details: Readonly<Record<string, unknown>>): void {
    this.#startPeriod();
    const limit = lineClass === 'routine' ? MAX_ROUTINE_LINES_PER_S : MAX_NOTABLE_LINES_PER_S;
    const exceedsLimit = lineClass !== 'always' && this.#linesWritten[lineClass] >= limit;
    if (exceedsLimit || this.output.writableLength > MAX_BUFFERED_BYTES) {
      if (lineClass !== 'routine') this.#linesDropped += 1;
      return;
    }
    this.#linesWritten[lineClass] += 1;
    this.#logger.info(details, event);
  }

  #startPeriod(): void {
    const now = this.now();
    if (now - this.#periodStartMs < PERIOD_MS) return;
    this.#periodStartMs = now;
    this.#linesWritten = { routine: 0, notable: 0, always: 0 };
    if (this.#linesDropped === 0) return;
    const dropped = this.#linesDropped;
    this.#linesDropped = 0;
    this.#logger.info({ dropped }, 'lines_dropped');
  }
}
