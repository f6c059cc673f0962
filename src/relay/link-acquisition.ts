/**
 * Acquisition of one connection for a request, from the pools of one or several members that could serve it.
 * The first pool with a free connection serves the request.
 *
 * @packageDocumentation
 */
import type { LinkDemand } from './link-queue.js';
import type { SessionLink } from './session-link.js';

/** No connection became available in time: nothing was sent. */
export class PoolTimeoutError extends Error {
  override readonly name = 'PoolTimeoutError';
}

/** A connection pool as seen by a waiting request. */
export interface LinkSource {
  /**
   * Queues a request; the pool then grants it a connection or fails it, possibly before this call returns.
   */
  enqueue(waiter: PoolWaiter): void;
  /**
   * Removes a request from the queue, if it waits there.
   *
   * @param isServedElsewhere - true if another pool has granted it a connection
   */
  dequeue(waiter: PoolWaiter, isServedElsewhere: boolean): void;
}

/** A request that waits at one or several pools. */
export interface PoolWaiter {
  readonly demand: LinkDemand;
  grant(link: SessionLink, source: LinkSource): void;
  /** Called if the pool refuses the request, or will not have a connection soon. Nothing was sent. */
  fail(error: Error, source: LinkSource): void;
}

/** A granted connection and its member. */
export interface GrantedLink<Member> {
  readonly link: SessionLink;
  readonly member: Member;
}

/** Waits for one connection at any number of pools. */
export class LinkAcquisition<Member> implements PoolWaiter {
  /** Resolves with the first connection; rejects once all pools have failed or the timeout has expired. */
  readonly granted: Promise<GrantedLink<Member>>;
  /** Errors of the members that could not provide a connection. */
  readonly failures = new Map<Member, Error>();
  readonly #sources = new Map<LinkSource, Member>();
  readonly #members = new Set<Member>();
  readonly #timer: NodeJS.Timeout;
  #isFinished = false;
  #resolve: (grant: GrantedLink<Member>) => void = () => undefined;
  #reject: (error: Error) => void = () => undefined;

  /** @param waitMs - timeout, in milliseconds */
  constructor(
    readonly demand: LinkDemand,
    waitMs: number,
  ) {
    this.granted = new Promise((resolve, reject) => {
      this.#resolve = resolve;
      this.#reject = reject;
    });
    const reason = waitMs > 0 ? 'no connection came free' : 'no time to wait for a connection';
    // The error is created only when it is needed, since recording its stack takes longer than the acquisition.
    const onTimeout = (): void => this.#finish(() => this.#reject(new PoolTimeoutError(reason)));
    this.#timer = setTimeout(onTimeout, Math.max(0, waitMs));
  }

  /** True until a connection is granted, or the wait fails or is cancelled. */
  get isWaiting(): boolean {
    return !this.#isFinished;
  }

  /** Members whose pools have been asked for a connection. */
  get members(): ReadonlySet<Member> {
    return this.#members;
  }

  /** Adds the request to the pools of more members, in the given order. */
  enqueueAll(sources: readonly { readonly source: LinkSource; readonly member: Member }[]): void {
    const added = sources.filter(
      ({ source, member }) => !this.#sources.has(source) && !this.#members.has(member),
    );
    for (const { source, member } of added) {
      this.#sources.set(source, member);
      this.#members.add(member);
    }
    for (const { source } of added) if (!this.#isFinished) source.enqueue(this);
  }

  grant(link: SessionLink, source: LinkSource): void {
    const member = this.#sources.get(source);
    if (member === undefined)
      throw new Error('connection granted by a pool at which the request does not wait');
    this.#sources.delete(source);
    this.#finish(() => this.#resolve({ link, member }), true);
  }

  fail(error: Error, source: LinkSource): void {
    const member = this.#sources.get(source);
    this.#sources.delete(source);
    if (member !== undefined) this.failures.set(member, error);
    if (this.#sources.size === 0) this.#finish(() => this.#reject(error));
  }

  /**
   * Completes the wait with a connection that is available without queueing; `take` throws if there is none.
   */
  completeWith(member: Member, take: () => SessionLink): void {
    if (this.#isFinished) return;
    this.#members.add(member);
    try {
      const link = take();
      this.#finish(() => this.#resolve({ link, member }));
    } catch (error) {
      this.#finish(() => this.#reject(error instanceof Error ? error : new Error(String(error))));
    }
  }

  /** Ends the wait, because the request no longer needs a connection. */
  cancel(): void {
    this.#finish(() => this.#reject(new PoolTimeoutError('needed no more')));
  }

  #finish(settle: () => void, isGranted = false): void {
    if (this.#isFinished) return;
    this.#isFinished = true;
    clearTimeout(this.#timer);
    for (const source of this.#sources.keys()) source.dequeue(this, isGranted);
    settle();
  }
}
