/**
 * Records of replaced terms for tests without a store.
 *
 * @packageDocumentation
 */
import type { RaisedTerm, ReplacedTermsReading } from '../../src/leadership/replaced-terms.js';

/** Records that are kept in memory. */
export class FakeReplacedTerms {
  /** The recorded terms by group; `null` while the store does not answer. */
  terms: Map<string, number> | null = null;
  readonly written: number[] = [];

  read(): Promise<ReplacedTermsReading | null> {
    const { terms } = this;
    return Promise.resolve(terms === null ? null : { askedAtMs: performance.now(), terms: new Map(terms) });
  }

  raise(groupName: string, term: number): Promise<RaisedTerm> {
    const found = this.terms?.get(groupName) ?? null;
    this.terms?.set(groupName, term);
    return Promise.resolve({ term, found });
  }

  set(groupName: string, term: number): Promise<boolean> {
    this.written.push(term);
    this.terms?.set(groupName, term);
    return Promise.resolve(true);
  }
}
