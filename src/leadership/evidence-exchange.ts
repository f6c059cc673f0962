/**
 * Evidence as daemons send it to each other. Who leads seldom changes, while ages do all the time: so the leaders are sent
 * once over each connection, and after that only their ages until they change.
 *
 * @packageDocumentation
 */
import type { Position } from '../position/position.js';
import type { Leader } from './leadership-evidence.js';

/** Evidence that a daemon has, with its age when the answer was made. */
export interface SharedEvidence {
  readonly groupName: string;
  readonly memberId: string;
  readonly term: number;
  /** What the leader has said that it holds, as far as the daemon knew when it listed the leaders. */
  readonly held: Position | null;
  /** Time since the witness was asked, in milliseconds. */
  readonly ageMs: number;
}

/** The leader of a group. */
interface GroupLeader extends Leader {
  readonly groupName: string;
  readonly held: Position | null;
}

/** Evidence as it is sent. */
export interface EvidenceAnswer {
  /** Number of the list of leaders; rises when the list changes. */
  readonly version: number;
  /** The leaders, or `null` when whoever asks has this version of them. */
  readonly leaders: readonly GroupLeader[] | null;
  /** Ages in the order of the leaders, in milliseconds. */
  readonly agesMs: readonly number[];
}

/** Version of whoever has no list yet. */
const NO_VERSION = 0;

/** Answers questions for evidence of one daemon. */
export class EvidenceAnswers {
  #version = NO_VERSION;
  #leaders: readonly GroupLeader[] = [];

  /** @param evidence - what the daemon can prove now */
  constructor(private readonly evidence: () => readonly SharedEvidence[]) {}

  /** @param knownVersion - of the leaders that whoever asks has been sent */
  answer(knownVersion: number): EvidenceAnswer {
    const entries = this.evidence();
    if (this.#version === NO_VERSION || !this.#isListed(entries)) {
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

  #isListed(entries: readonly SharedEvidence[]): boolean {
    if (entries.length !== this.#leaders.length) return false;
    return entries.every(({ groupName, memberId, term }, index) => {
      const listed = this.#leaders[index];
      return listed?.groupName === groupName && listed.memberId === memberId && listed.term === term;
    });
  }
}

/** Reads the answers of one daemon over one connection. */
export class EvidenceReader {
  #version = NO_VERSION;
  #leaders: readonly GroupLeader[] = [];

  /** Version of the leaders that are known: goes with each question. */
  get knownVersion(): number {
    return this.#version;
  }

  /** The evidence of an answer; none when its leaders are not known. */
  read({ version, leaders, agesMs }: EvidenceAnswer): readonly SharedEvidence[] {
    if (leaders !== null) {
      this.#version = version;
      this.#leaders = leaders;
    }
    if (version !== this.#version || agesMs.length !== this.#leaders.length) return [];
    return this.#leaders.map((leader, index) => ({ ...leader, ageMs: agesMs[index] ?? Infinity }));
  }
}
