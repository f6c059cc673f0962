/**
 * Parses the log lines of daemons: `key=value` pairs whose values are quoted as JSON strings where necessary.
 * Pure.
 *
 * @packageDocumentation
 */

/** A parsed log line. */
export interface LogLine {
  /** Wall-clock time of the daemon, ISO 8601. */
  readonly time: string;
  readonly event: string;
  /** Name of the daemon that wrote the line. */
  readonly node: string;
  /** All fields, including the ones above. */
  readonly fields: ReadonlyMap<string, string>;
}

const KEY_VALUE_PATTERN = /([A-Za-z]\w*)=("(?:[^"\\]|\\.)*"|[^\s"]*)/g;

/** Parses one line, ignoring a prefix added by a log collector; `null` when it is not a line of a daemon. */
export function parseLogLine(text: string): LogLine | null {
  const fields = new Map<string, string>();
  for (const [, key = '', value = ''] of text.matchAll(KEY_VALUE_PATTERN)) fields.set(key, unquote(value));
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
