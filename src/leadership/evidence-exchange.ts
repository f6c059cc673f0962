/**
 * Encoding of leadership evidence between daemons. Leaders seldom change, while the age of the evidence
 * changes all the time, so the list of leaders is sent once over each connection, and after that only the
 * ages until the list changes.
 *
 * @packageDocumentation
 */
import type { Position } from '../position/position.js';
import type { Leader } from './leadership-evidence.js';

/** Evidence of a daemon, with its age when the reply was made. */
export interface SharedEvidence {
  readonly groupName: string;
  readonly memberId: string;
  readonly term: number;
  /**
   * The log position that the leader has reported, as far as the daemon knew it when it listed the leaders.
   */
  readonly held: Position | null;
  /** Time since the source of the evidence was asked, in milliseconds. */
  readonly ageMs: number;
}

interface GroupLeader extends Leader {
  readonly groupName: string;
  readonly held: Position | null;
}

/** A reply with evidence, as it is sent. */
export interface EvidenceReply {
  /** Version of the list of leaders; rises when the list changes. */
  readonly version: number;
  /** The leaders, or `null` when the requester has this version of the list. */
  readonly leaders: readonly GroupLeader[] | null;
  /** Ages of the evidence in the order of the leaders, in milliseconds. */
  readonly agesMs: readonly number[];
}

/** Version that a requester without a list sends. */
const NO_VERSION = 0;

/** Builds the replies of one daemon to requests for evidence. */
export class EvidenceResponder {
  #version = NO_VERSION;
  #leaders: readonly GroupLeader[] = [];

  /** @param evidence - the valid evidence of the daemon at the time of a request */
  constructor(private readonly evidence: () => readonly SharedEvidence[]) {}

  /** @param knownVersion - version of the list of leaders that the requester has */
  answer(knownVersion: number): EvidenceReply {
    const entries = this.evidence();
    if (this.#version === NO_VERSION || !this.#matchesLeaders(entries)) {
      this.#version += 1;
      this.#leaders = entries.map(({ groupName, memberId, term, held }) => ({
        groupName,
        memberId,
        term,
        held,
      }));
    }
    const leaders = knownVersion === this.#version ? null : this.#leaders;
    return { version: this.#version, leaders, agesMs: entries.map(({ ageMs }) => ageMs) };
  }

  #matchesLeaders(entries: readonly SharedEvidence[]): boolean {
    if (entries.length !== this.#leaders.length) return false;
    return entries.every(({ groupName, memberId, term }, index) => {
      const listed = this.#leaders[index];
      return listed?.groupName === groupName && listed.memberId === memberId && listed.term === term;
    });
  }
}

/** Decodes the replies of one daemon over one connection. */
export class EvidenceReader {
  #version = NO_VERSION;
  #leaders: readonly GroupLeader[] = [];

  /** Version of the list of leaders that this side has; sent with each request. */
  get knownVersion(): number {
    return this.#version;
  }

  /** The evidence in a reply; empty when the list of leaders that it refers to is not known. */
  read({ version, leaders, agesMs }: EvidenceReply): readonly SharedEvidence[] {
    if (leaders !== null) {
      this.#version = version;
      this.#leaders = leaders;
    }
    if (version !== this.#version || agesMs.length !== this.#leaders.length) return [];
    return this.#leaders.map((leader, index) => ({ ...leader, ageMs: agesMs[index] ?? Infinity }));
  }
}
