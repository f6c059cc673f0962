/**
 * The difference between two values of a key. Pure.
 *
 * A configuration is large, and a change touches little of it: one that is passed on whole to all daemons of a zone (27 kB to
 * 14 of them) holds up a link of 7 Mbit/s, and the answers on it, for 0.4 s. Values are divided where objects of JSON end; the
 * parts that the value before had are named by their place there.
 *
 * @packageDocumentation
 */

/** Parts that both values have: how many, from which place of the value before. */
export interface CopiedParts {
  readonly from: number;
  readonly count: number;
}

/** The parts of a value in order: text, or parts of the value before. */
export type ValueDelta = readonly (string | CopiedParts)[];

const PART_END = '}';

/** What makes the value before into this one. */
export function diffValues(base: Buffer, target: Buffer): ValueDelta {
  const indexOfPart = new Map<string, number>();
  for (const [place, part] of splitIntoParts(base).entries())
    if (!indexOfPart.has(part)) indexOfPart.set(part, place);
  const delta: (string | CopiedParts)[] = [];
  for (const part of splitIntoParts(target)) {
    const place = indexOfPart.get(part);
    const last = delta.at(-1);
    if (place === undefined) {
      if (typeof last === 'string') delta[delta.length - 1] = last + part;
      else delta.push(part);
    } else if (typeof last === 'object' && last.from + last.count === place) {
      delta[delta.length - 1] = { from: last.from, count: last.count + 1 };
    } else {
      delta.push({ from: place, count: 1 });
    }
  }
  return delta;
}

/** The value that a difference leads to. */
export function applyDelta(base: Buffer, delta: ValueDelta): Buffer {
  const parts = splitIntoParts(base);
  const text = delta
    .map((piece) =>
      typeof piece === 'string' ? piece : parts.slice(piece.from, piece.from + piece.count).join(''),
    )
    .join('');
  return Buffer.from(text, 'latin1');
}

/** About how many bytes a difference takes. */
export function estimateDeltaBytes(delta: ValueDelta): number {
  return delta.reduce(
    (sum, piece) => sum + (typeof piece === 'string' ? piece.length : COPIED_PARTS_BYTES),
    0,
  );
}

/** About what the name of copied parts takes, in bytes. */
const COPIED_PARTS_BYTES = 8;

/** One character a byte, so that any value can be divided. */
function splitIntoParts(value: Buffer): string[] {
  const text = value.toString('latin1');
  const parts: string[] = [];
  let start = 0;
  for (let end = text.indexOf(PART_END); end >= 0; end = text.indexOf(PART_END, start)) {
    parts.push(text.slice(start, end + 1));
    start = end + 1;
  }
  if (start < text.length) parts.push(text.slice(start));
  return parts;
}
