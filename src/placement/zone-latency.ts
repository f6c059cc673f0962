/**
 * Round-trip times to other zones, measured on replies of their gateways.
 *
 * @packageDocumentation
 */

/**
 * Length of a window in milliseconds. The smallest time of the last two windows counts: queueing only ever adds
 * to the round trip, and a route that has become longer is noticed after two windows.
 */
const WINDOW_MS = 60_000;
/** Round trips longer than this are not taken, in milliseconds: something other than distance delayed them. */
const MAX_ROUND_TRIP_MS = 2000;

interface Minimum {
  windowStartMs: number;
  smallestMs: number;
  previousSmallestMs: number;
}

/** The smallest recent round-trip time to each zone. */
export class ZoneLatency {
  readonly #byZone = new Map<string, Minimum>();

  /** The zones to which a round trip has been measured. */
  get zones(): Iterable<string> {
    return this.#byZone.keys();
  }

  /** Records a measured round trip; one that is negative, not a number or too long is ignored. */
  record(zone: string, roundTripMs: number, nowMs: number): void {
    if (!(roundTripMs >= 0 && roundTripMs <= MAX_ROUND_TRIP_MS)) return;
    const minimum = this.#byZone.get(zone);
    if (minimum === undefined) {
      this.#byZone.set(zone, {
        windowStartMs: nowMs,
        smallestMs: roundTripMs,
        previousSmallestMs: Number.POSITIVE_INFINITY,
      });
      return;
    }
    advance(minimum, nowMs);
    minimum.smallestMs = Math.min(minimum.smallestMs, roundTripMs);
  }

  /** The round-trip time to a zone, in milliseconds; `null` without a recent measurement. */
  roundTripMs(zone: string, nowMs: number): number | null {
    const minimum = this.#byZone.get(zone);
    if (minimum === undefined) return null;
    advance(minimum, nowMs);
    const smallestMs = Math.min(minimum.smallestMs, minimum.previousSmallestMs);
    return Number.isFinite(smallestMs) ? smallestMs : null;
  }
}

/** Starts a new window if the current one has ended. */
function advance(minimum: Minimum, nowMs: number): void {
  const ageMs = nowMs - minimum.windowStartMs;
  if (ageMs < WINDOW_MS) return;
  minimum.previousSmallestMs = ageMs < 2 * WINDOW_MS ? minimum.smallestMs : Number.POSITIVE_INFINITY;
  minimum.smallestMs = Number.POSITIVE_INFINITY;
  minimum.windowStartMs = nowMs;
}
