/**
 * Reads the lines that daemons write: `key=value` pairs, values quoted as in JSON where they need it. Pure.
 *
 * @packageDocumentation
 */

/** One line of a log. */
export interface LogLine {
  /** Time of day as the daemon had it, ISO 8601. */
  readonly time: string;
  readonly event: string;
  /** The daemon that wrote it. */
  readonly node: string;
  /** All fields, the ones above included. */
  readonly fields: ReadonlyMap<string, string>;
}

const PAIR = /([A-Za-z]\w*)=("(?:[^"\\]|\\.)*"|[^\s"]*)/g;

/** Reads one line, whatever a collector has put before it; `null` when it is not a daemon's. */
export function parseLogLine(text: string): LogLine | null {
  const fields = new Map<string, string>();
  for (const [, key = '', value = ''] of text.matchAll(PAIR)) fields.set(key, unquote(value));
  const time = fields.get('time');
  const event = fields.get('event');
  if (time === undefined || event === undefined) return null;
  return { time, event, node: fields.get('node') ?? '', fields };
}

function unquote(value: string): string {
  if (!value.startsWith('"')) return value;
  try {
    return String(JSON.parse(value));
  } catch {
    return value.slice(1, -1);
  }
}
