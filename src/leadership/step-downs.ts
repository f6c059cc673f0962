/**
 * Log positions of leaders at the time they stepped down.
 *
 * A leader that has stepped down commits nothing more in its term, and all that was acknowledged in the term
 * was in its log. So its position is a permanent upper bound of what was acknowledged, even after the daemons
 * that knew have restarted, and while replicas are unreachable.
 *
 * @packageDocumentation
 */
import type { MemberStatus } from '../relay/member-link.js';
import { hasReached, laterPosition, type Position } from '../position/position.js';
import type { Acknowledged } from './acknowledged.js';

/** The last leader that one supervisor has demoted. */
export class StepDowns {
  #last: { readonly term: number; readonly held: Position } | null = null;

  /**
   * Records the status of the leader of a term after it stepped down. A member with an empty log is another
   * incarnation and is ignored; so is one that already follows a later term, whose log may have been
   * truncated.
   */
  record(term: number, { term: followed, received }: MemberStatus): void {
    if (received.index === 0 || followed > term + 1 || received.term > term) return;
    this.#last = { term, held: received };
  }

  /**
   * Adds the recorded bound to what the daemons reported for `term`. A member that held less than is known to
   * have been acknowledged was another incarnation, so its position is no bound.
   */
  bound(term: number, reported: Acknowledged): Acknowledged {
    if (this.#last?.term !== term || !hasReached(this.#last.held, reported.latest)) return reported;
    const { held } = this.#last;
    if (reported.limit !== null && hasReached(held, reported.limit)) return reported;
    return { latest: reported.latest, limit: laterPosition(held, reported.latest) };
  }
}
