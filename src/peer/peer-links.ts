/**
 * The links that this daemon has open, by daemon.
 *
 * @packageDocumentation
 */
import type { PeerRecord } from '../membership/peer-record.js';
import type { PeerMessage } from './peer-messages.js';
import { PeerLink } from './peer-link.js';

/** Settings of the links; times in milliseconds. */
export interface PeerLinksOptions {
  readonly localAddress: string | null;
  readonly silenceTimeoutMs: number;
  /** Time after which an unused link is closed. */
  readonly idleTimeoutMs: number;
  readonly hello: () => PeerRecord;
  readonly onMessage: (daemonId: string, message: PeerMessage) => void;
  readonly onLost: (daemonId: string) => void;
}

/** Opens links when they are needed and closes them when they are not. */
export class PeerLinks {
  readonly #links = new Map<string, PeerLink>();
  readonly #timer: NodeJS.Timeout;
  /** Links that are being closed for want of use. */
  readonly #idleLinks = new Set<PeerLink>();
  #closedTraffic = 0;
  #isClosing = false;

  constructor(private readonly options: PeerLinksOptions) {
    this.#timer = setInterval(() => this.#closeIdle(), options.idleTimeoutMs / 2);
    this.#timer.unref();
  }

  /** Bytes sent and received on all links so far. */
  get traffic(): number {
    let traffic = this.#closedTraffic;
    for (const link of this.#links.values()) traffic += link.traffic;
    return traffic;
  }

  /** Number of open links. */
  get size(): number {
    return this.#links.size;
  }

  /** The link to a daemon, opened if need be. */
  to(record: Pick<PeerRecord, 'daemonId' | 'host' | 'port'>): PeerLink {
    const { daemonId, host, port } = record;
    const known = this.#links.get(daemonId);
    if (known !== undefined && !known.isClosed) return known;
    const { localAddress, silenceTimeoutMs, hello } = this.options;
    const link: PeerLink = new PeerLink(
      { host, port, localAddress, silenceTimeoutMs, hello },
      {
        message: (message) => this.options.onMessage(daemonId, message),
        closed: () => this.#handleClosed(daemonId, link),
      },
    );
    this.#links.set(daemonId, link);
    return link;
  }

  /** Closes all links. */
  close(): void {
    this.#isClosing = true;
    clearInterval(this.#timer);
    for (const link of [...this.#links.values()]) link.close();
  }

  #handleClosed(daemonId: string, link: PeerLink): void {
    this.#closedTraffic += link.traffic;
    if (this.#links.get(daemonId) === link) this.#links.delete(daemonId);
    const wasIdle = this.#idleLinks.delete(link);
    if (!this.#isClosing && !wasIdle) this.options.onLost(daemonId);
  }

  #closeIdle(): void {
    const oldest = performance.now() - this.options.idleTimeoutMs;
    for (const link of [...this.#links.values()]) {
      if (link.openRequests > 0 || link.lastUsedMs >= oldest) continue;
      this.#idleLinks.add(link);
      link.close();
    }
  }
}
