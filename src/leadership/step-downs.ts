/**
 * What leaders held when they stepped down.
 *
 * A leader that has stepped down commits nothing more in its term, and all that was acknowledged in it was in its log. So what it held
 * then bounds what can have been acknowledged, for good: also once daemons have started again that knew, and while replicas are away.
 *
 * @packageDocumentation
 */
import type { MemberStatus } from '../relay/member-link.js';
import { hasReached, laterPosition, type Position } from '../position/position.js';
import type { Acknowledged } from './acknowledged.js';

/** The last step down that one supervisor has brought about. */
export class StepDowns {
  #last: { readonly term: number; readonly held: Position } | null = null;

  /**
   * The leader of a term has stepped down, and says what it holds. One that holds nothing is another life; one that follows a later term
   * already may have been cut back.
   */
  record(term: number, { term: followed, received }: MemberStatus): void {
    if (received.index === 0 || followed > term + 1 || received.term > term) return;
    this.#last = { term, held: received };
  }

  /**
   * What is known to have been acknowledged by a promotion over `term`. A leader that held less than is known to have been acknowledged was
   * another life: what it said bounds nothing.
   */
  bound(term: number, told: Acknowledged): Acknowledged {
    if (this.#last?.term !== term || !hasReached(this.#last.held, told.latest)) return told;
    const { held } = this.#last;
    if (told.limit !== null && hasReached(held, told.limit)) return told;
    return { latest: told.latest, limit: laterPosition(held, told.latest) };
  }
}
