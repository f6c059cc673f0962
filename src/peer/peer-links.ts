/**
 * Outgoing links of this daemon, by remote daemon.
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
  /** Time without use after which a link is closed. */
  readonly idleTimeoutMs: number;
  readonly hello: () => PeerRecord;
  readonly onMessage: (daemonId: string, message: PeerMessage) => void;
  readonly onLost: (daemonId: string) => void;
}

/** Opens links on demand and closes idle ones. */
export class PeerLinks {
  readonly #links = new Map<string, PeerLink>();
  readonly #timer: NodeJS.Timeout;
  /** Links that are being closed because they were idle. */
  readonly #idleLinks = new Set<PeerLink>();
  #closedTrafficBytes = 0;
  #isClosing = false;

  constructor(private readonly options: PeerLinksOptions) {
    this.#timer = setInterval(() => this.#closeIdle(), options.idleTimeoutMs / 2);
    this.#timer.unref();
  }

  /** Bytes sent and received on all links so far. */
  get trafficBytes(): number {
    let traffic = this.#closedTrafficBytes;
    for (const link of this.#links.values()) traffic += link.trafficBytes;
    return traffic;
  }

  /** Number of open links. */
  get size(): number {
    return this.#links.size;
  }

  /** Returns the link to a daemon; opens one if there is none or it has ended. */
  linkTo(record: Pick<PeerRecord, 'daemonId' | 'host' | 'port'>): PeerLink {
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
    this.#closedTrafficBytes += link.trafficBytes;
    if (this.#links.get(daemonId) === link) this.#links.delete(daemonId);
    const wasIdle = this.#idleLinks.delete(link);
    if (!this.#isClosing && !wasIdle) this.options.onLost(daemonId);
  }

  #closeIdle(): void {
    const idleSinceMs = performance.now() - this.options.idleTimeoutMs;
    for (const link of [...this.#links.values()]) {
      if (link.pendingRequests > 0 || link.lastUsedMs >= idleSinceMs) continue;
      this.#idleLinks.add(link);
      link.close();
    }
  }
}
