/**
 * How a caller names a request's class, session and once-only key: a comment in sqlcommenter form at the end
 * of the text, for instance a block comment that holds `class='issue',once='4711'`, with start-up parameters
 * as defaults.
 *
 * @packageDocumentation
 */

/** Names given by the caller; `null` where nothing was given. */
export interface RequestTags {
  readonly requestClass: string | null;
  readonly session: string | null;
  readonly onceKey: string | null;
}

/** A text taken apart. */
export interface TaggedText {
  /** The text without its last comment, if that held tags. */
  readonly text: string;
  readonly tags: RequestTags;
}

/** Tags of a caller who gave none. */
export const NO_TAGS: RequestTags = { requestClass: null, session: null, onceKey: null };

/** Start-up parameters that set the defaults of a connection. */
export const StartupParameter = {
  requestClass: 'sorrelladder.class',
  session: 'sorrelladder.session',
} as const;

const MAX_TAG_CHARACTERS = 200;
const PAIR = /^\s*([a-z_]+)='((?:[^'\\]|\\.)*)'\s*$/;

/** Separates a text from the tags in its last comment. */
export function readTags(text: string): TaggedText {
  const end = text.trimEnd().replace(/;$/, '').trimEnd();
  if (!end.endsWith('*/')) return { text, tags: NO_TAGS };
  const start = end.lastIndexOf('/*');
  if (start < 0) return { text, tags: NO_TAGS };
  const pairs = readPairs(end.slice(start + 2, -2));
  if (pairs === null) return { text, tags: NO_TAGS };
  const tags = {
    requestClass: pairs.get('class') ?? null,
    session: pairs.get('session') ?? null,
    onceKey: pairs.get('once') ?? null,
  };
  return { text: end.slice(0, start), tags };
}

/** Tags of a text over the defaults of its connection. */
export function withDefaults(tags: RequestTags, defaults: RequestTags): RequestTags {
  return {
    requestClass: tags.requestClass ?? defaults.requestClass,
    session: tags.session ?? defaults.session,
    onceKey: tags.onceKey,
  };
}

function readPairs(body: string): Map<string, string> | null {
  const pairs = new Map<string, string>();
  for (const part of body.split(',')) {
    const match = PAIR.exec(part);
    if (match === null) return null;
    const [, name = '', value = ''] = match;
    pairs.set(name, decodeValue(value).slice(0, MAX_TAG_CHARACTERS));
  }
  return pairs;
}

function decodeValue(value: string): string {
  const unescaped = value.replaceAll(/\\(.)/g, '$1');
  try {
    return decodeURIComponent(unescaped);
  } catch {
    return unescaped;
  }
}

/** Reads the defaults of a connection from its start-up parameters, also from `options=-c name=value`. */
export function readStartupTags(parameters: ReadonlyMap<string, string>): RequestTags {
  const options = new Map<string, string>();
  for (const match of (parameters.get('options') ?? '').matchAll(/-c\s*([\w.]+)=(\S*)/g)) {
    options.set(match[1] ?? '', match[2] ?? '');
  }
  const find = (name: string): string | null => parameters.get(name) ?? options.get(name) ?? null;
  return {
    requestClass: find(StartupParameter.requestClass),
    session: find(StartupParameter.session),
    onceKey: null,
  };
}
