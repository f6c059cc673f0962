/**
 * Members that a promotion misses, and why: whoever reads the log of one that was given up has to tell a member that is gone
 * from one that cannot be reached. Pure.
 *
 * @packageDocumentation
 */
import { formatIncarnation, type Incarnation } from '../topology/incarnation.js';
import type { ControlAnswer } from './member-control.js';

/** A life that may hold more than those that were paused, and did not say what it holds. */
export interface MissingLife extends Incarnation {
  /** What its last answer was, or why it counts though nobody can answer for it. */
  readonly reason: string;
  /** Time since it last answered anything, in milliseconds; `null` where it never did. */
  readonly silentMs: number | null;
}

/** How a question to a member went wrong, and where on the way, in a word for the log. */
export function describeAnswer(answer: ControlAnswer): string {
  switch (answer.kind) {
    case 'answered':
      return answer.status.isPrimary ? 'leads' : 'not_paused';
    case 'refused':
      return 'refused';
    case 'silent':
    case 'slow':
    case 'busy':
      return answer.stage === undefined ? answer.kind : `${answer.kind}_${answer.stage}`;
  }
}

/** Missing lives as the log has them: each with its reason, and how long it has been silent. */
export function describeMissing(missing: readonly MissingLife[]): string {
  return missing
    .map((life) => {
      const silence = life.silentMs === null ? 'never answered' : `${Math.round(life.silentMs)} ms`;
      return `${formatIncarnation(life)} ${life.reason} (${silence})`;
    })
    .join(', ');
}
