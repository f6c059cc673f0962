/**
 * Structured log lines on standard output that never hold up the process: lines beyond a rate, or beyond what a
 * slow reader leaves unread, are dropped, counted and said.
 *
 * @packageDocumentation
 */
import type { Writable } from 'node:stream';
import { pino, type Logger as PinoLogger } from 'pino';
import { formatLine } from './logger.js';

/** Lines about requests that go well, a second at most. */
const ROUTINE_PER_S = 4;
/** Lines about requests in trouble, a second at most. */
const NOTABLE_PER_S = 150;
/** Output that a slow reader may leave unread, in bytes. */
const MAX_UNREAD_BYTES = 512 * 1024;
const PERIOD_MS = 1000;

/** How much a line matters. */
export type LineClass = 'routine' | 'notable' | 'always';

/** A log with a budget. */
export class BoundedLog {
  readonly #logger: PinoLogger;
  #periodStartMs = 0;
  #written: Record<LineClass, number> = { routine: 0, notable: 0, always: 0 };
  #dropped = 0;

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

  /** Lines dropped so far. */
  get dropped(): number {
    return this.#dropped;
  }

  /** Writes a line if the budget of its class allows it. */
  write(lineClass: LineClass, event: string, details: Readonly<Record<string, unknown>>): void {
    this.#startPeriod();
    const limit = lineClass === 'routine' ? ROUTINE_PER_S : NOTABLE_PER_S;
    const isOver = lineClass !== 'always' && this.#written[lineClass] >= limit;
    if (isOver || this.output.writableLength > MAX_UNREAD_BYTES) {
      if (lineClass !== 'routine') this.#dropped += 1;
      return;
    }
    this.#written[lineClass] += 1;
    this.#logger.info(details, event);
  }

  #startPeriod(): void {
    const now = this.now();
    if (now - this.#periodStartMs < PERIOD_MS) return;
    this.#periodStartMs = now;
    this.#written = { routine: 0, notable: 0, always: 0 };
    if (this.#dropped === 0) return;
    const dropped = this.#dropped;
    this.#dropped = 0;
    this.#logger.info({ dropped }, 'lines_dropped');
  }
}
