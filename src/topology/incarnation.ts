/**
 * One life of a member: from a start of its process to its end. What one life has said or received says nothing of the next,
 * though both go by the same id. Pure.
 *
 * @packageDocumentation
 */

/** A life of a member, told apart from others of the same id by its start. */
export interface Incarnation {
  readonly memberId: string;
  /** When its process started, in milliseconds of the Unix epoch by its own clock; `null` where it does not say. */
  readonly bornMs: number | null;
}

/** How an entry of a directory stands to what is known of the same id. */
export type Succession = 'same' | 'younger' | 'older';

/** An incarnation as logs and maps have it: the id, and the start where it is known. */
export function formatIncarnation({ memberId, bornMs }: Incarnation): string {
  return bornMs === null ? memberId : `${memberId}@${bornMs}`;
}

/** How `told` stands to `known`, both of one id. An entry that does not say when it started is taken for the life that is known. */
export function compareIncarnations(known: Incarnation, told: Incarnation): Succession {
  if (known.bornMs === null || told.bornMs === null || known.bornMs === told.bornMs) return 'same';
  return told.bornMs > known.bornMs ? 'younger' : 'older';
}
