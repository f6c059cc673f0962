/**
 * Members that a promotion could not account for, and why. The reason allows a reader of the log of a
 * promotion that was given up to tell a member that has ended from one that cannot be reached. Pure.
 *
 * @packageDocumentation
 */
import { formatIncarnation, type Incarnation } from '../topology/incarnation.js';
import type { ControlAnswer } from './member-control.js';

/** An incarnation that may hold more than the paused members, and whose position is unknown. */
export interface MissingIncarnation extends Incarnation {
  /** Its last answer, or why it counts as missing if it cannot answer any more. */
  readonly reason: string;
  /** Time since its last answer, in milliseconds; `null` if it never answered. */
  readonly silentMs: number | null;
}

/** Log keyword for a request to a member that failed: what went wrong, and at which stage. */
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

/** Formats missing incarnations for the log: each with its reason and the time since its last answer. */
export function describeMissing(missing: readonly MissingIncarnation[]): string {
  return missing
    .map((incarnation) => {
      const lastAnswer =
        incarnation.silentMs === null ? 'never answered' : `${Math.round(incarnation.silentMs)} ms`;
      return `${formatIncarnation(incarnation)} ${incarnation.reason} (${lastAnswer})`;
    })
    .join(', ');
}
