/**
 * The members that have refused one request because of the expected wait.
 *
 * @packageDocumentation
 */
import type { AdmissionError } from './admission-error.js';

/** Collects the refusals of one request, by member. */
export class LoadRefusals {
  readonly #memberIds = new Set<string>();
  /** Gateways that have refused the request, by the member of which they lend connections. */
  readonly #gateways = new Map<string, string>();
  #longest: AdmissionError | null = null;

  /** Members that are not asked again. */
  get memberIds(): ReadonlySet<string> {
    return this.#memberIds;
  }

  /** The refusal with the longest retry time; `null` without refusals. */
  get longest(): AdmissionError | null {
    return this.#longest;
  }

  /**
   * Records a refusal. The first one of a gateway leaves another gateway of the member to be asked: their
   * connections and queues differ.
   */
  record(memberId: string, error: AdmissionError): void {
    if (this.#longest === null || error.retryAfterMs > this.#longest.retryAfterMs) this.#longest = error;
    if (error.gateway === null || this.#gateways.has(memberId)) this.#memberIds.add(memberId);
    else this.#gateways.set(memberId, error.gateway);
  }

  /** Records that a member was asked again in vain, if one of its gateways has refused the request. */
  recordSecondFailure(memberId: string): void {
    if (this.#gateways.has(memberId)) this.#memberIds.add(memberId);
  }

  /** The gateway of a member that has refused the request, or `null`. */
  gatewayOf(memberId: string): string | null {
    return this.#gateways.get(memberId) ?? null;
  }
}
