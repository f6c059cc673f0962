/**
 * Parses the tags with which a client gives a request's class, session and once-only key: a comment in
 * sqlcommenter format at the end of the SQL text, for instance a block comment that holds
 * `class='issue',once='4711'`. Start-up parameters give the defaults of class and session.
 *
 * @packageDocumentation
 */

/** Tags given by the client; `null` where none was given. */
export interface RequestTags {
  readonly requestClass: string | null;
  readonly session: string | null;
  readonly onceKey: string | null;
}

/** An SQL text and the tags parsed from it. */
export interface TagParseResult {
  /** The text without its last comment, if that comment held tags. */
  readonly text: string;
  readonly tags: RequestTags;
}

/** Tags of a request that gives none. */
export const NO_TAGS: RequestTags = { requestClass: null, session: null, onceKey: null };

/** Start-up parameters that set the default tags of a connection. */
export const StartupParameter = {
  requestClass: 'sorrelladder.class',
  session: 'sorrelladder.session',
} as const;

const MAX_TAG_CHARACTERS = 200;
const TAG_PAIR = /^\s*([a-z_]+)='((?:[^'\\]|\\.)*)'\s*$/;

/** Parses the tags in the last comment of a text, and removes that comment. */
export function parseTags(text: string): TagParseResult {
  const end = text.trimEnd().replace(/;$/, '').trimEnd();
  if (!end.endsWith('*/')) return { text, tags: NO_TAGS };
  const start = end.lastIndexOf('/*');
  if (start < 0) return { text, tags: NO_TAGS };
  const pairs = parsePairs(end.slice(start + 2, -2));
  if (pairs === null) return { text, tags: NO_TAGS };
  const tags = {
    requestClass: pairs.get('class') ?? null,
    session: pairs.get('session') ?? null,
    onceKey: pairs.get('once') ?? null,
  };
  return { text: end.slice(0, start), tags };
}

/** Fills in missing tags with the defaults of the connection; the once-only key has no default. */
export function withDefaultTags(tags: RequestTags, defaults: RequestTags): RequestTags {
  return {
    requestClass: tags.requestClass ?? defaults.requestClass,
    session: tags.session ?? defaults.session,
    onceKey: tags.onceKey,
  };
}

function parsePairs(body: string): Map<string, string> | null {
  const pairs = new Map<string, string>();
  for (const part of body.split(',')) {
    const match = TAG_PAIR.exec(part);
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

/** Reads the default tags of a connection from its start-up parameters, also from `options=-c name=value`. */
export function parseStartupTags(parameters: ReadonlyMap<string, string>): RequestTags {
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
