/**
 * A read floor that one daemon shares with others: the newest position that the proven leader of a group has
 * reported to it. Pure: times are passed in.
 *
 * Daemons exchange ages, not times, since their clocks are monotonic per process only. The receiver subtracts
 * the age from the time at which it sent its request, which is before the time at which the age was measured.
 * The result is never later than the time at which the leader was asked.
 *
 * @packageDocumentation
 */
import type { Position } from '../position/position.js';
import type { Leader } from './leadership-evidence.js';

/** Maximum age of a shared floor, in milliseconds: as long as positions of the leader are kept. */
export const MAX_FLOOR_AGE_MS = 5000;

/** Upper bound for terms and indexes: integers above it are not exact. */
const MAX_COUNT = Number.MAX_SAFE_INTEGER;

/** A position that the proven leader reported to this daemon. */
export interface LeaderFloor {
  /** The leader under whose evidence the position was taken. */
  readonly leader: Leader;
  readonly position: Position;
  /** When the leader was asked, in monotonic milliseconds; for a floor of another daemon, then or earlier. */
  readonly askedAtMs: number;
}

/** A floor as it is sent to another daemon. */
export interface SharedFloor {
  readonly groupName: string;
  /** Member and term of the leader under whose evidence the position was taken. */
  readonly memberId: string;
  readonly term: number;
  readonly position: Position;
  /** Time since the leader was asked, in milliseconds. */
  readonly ageMs: number;
}

/** The floor in a received message, or `null` if a field is missing, of another type or out of range. */
export function readSharedFloor(value: unknown): SharedFloor | null {
  if (!isRecord(value)) return null;
  const { groupName, memberId, term, position, ageMs } = value;
  if (typeof groupName !== 'string' || typeof memberId !== 'string' || !isCount(term)) return null;
  if (!isRecord(position) || !isCount(position.term) || !isCount(position.index)) return null;
  // An empty log distinguishes no process, and no leader has entries of a later term than its own.
  if (position.index === 0 || position.term > term) return null;
  if (typeof ageMs !== 'number' || !(ageMs >= 0 && ageMs <= MAX_FLOOR_AGE_MS)) return null;
  return {
    groupName,
    memberId,
    term,
    position: { term: position.term, index: position.index },
    ageMs,
  };
}

function isRecord(value: unknown): value is Readonly<Record<string, unknown>> {
  return typeof value === 'object' && value !== null;
}

function isCount(value: unknown): value is number {
  return Number.isInteger(value) && (value as number) >= 0 && (value as number) <= MAX_COUNT;
}
