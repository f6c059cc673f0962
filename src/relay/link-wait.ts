/**
 * One request that waits for a connection, at one member or at several that could serve it: the first that has one free
 * gets it.
 *
 * @packageDocumentation
 */
import type { LinkDemand } from './link-queue.js';
import type { SessionLink } from './session-link.js';

/** No connection came free in time: nothing was sent. */
export class PoolTimeoutError extends Error {
  override readonly name = 'PoolTimeoutError';
}

/** A pool as somebody who waits sees it. */
export interface WaitingPlace {
  /** Grants a connection at once or later, or fails. */
  join(waiter: PoolWaiter): void;
  /** Waits no more. */
  leave(waiter: PoolWaiter): void;
}

/** Somebody who waits at pools. */
export interface PoolWaiter {
  readonly demand: LinkDemand;
  grant(link: SessionLink, place: WaitingPlace): void;
  /** This pool will not have a connection soon. Nothing was sent. */
  fail(error: Error, place: WaitingPlace): void;
}

/** A connection, and the member that it leads to. */
export interface Grant<Member> {
  readonly link: SessionLink;
  readonly member: Member;
}

/** A wait for one connection. */
export class LinkWait<Member> implements PoolWaiter {
  /** Resolves with the first connection; rejects once no pool is left, or the time is over. */
  readonly granted: Promise<Grant<Member>>;
  /** Why members could not give one. */
  readonly failures = new Map<Member, Error>();
  readonly #places = new Map<WaitingPlace, Member>();
  readonly #members = new Set<Member>();
  readonly #timer: NodeJS.Timeout;
  #isOver = false;
  #resolve: (grant: Grant<Member>) => void = () => undefined;
  #reject: (error: Error) => void = () => undefined;

  /** @param waitMs - longest wait, in milliseconds */
  constructor(
    readonly demand: LinkDemand,
    waitMs: number,
  ) {
    this.granted = new Promise((resolve, reject) => {
      this.#resolve = resolve;
      this.#reject = reject;
    });
    const timeout = new PoolTimeoutError(
      waitMs > 0 ? 'no connection came free' : 'no time to wait for a connection',
    );
    this.#timer = setTimeout(() => this.#end(() => this.#reject(timeout)), Math.max(0, waitMs));
  }

  /** True until there is a connection, or none is waited for any more. */
  get isWaiting(): boolean {
    return !this.#isOver;
  }

  /** Members at which it waits or has waited. */
  get members(): ReadonlySet<Member> {
    return this.#members;
  }

  /** Waits at more members, those first that are given first. */
  joinAll(places: readonly { readonly place: WaitingPlace; readonly member: Member }[]): void {
    const added = places.filter(
      ({ place, member }) => !this.#places.has(place) && !this.#members.has(member),
    );
    for (const { place, member } of added) {
      this.#places.set(place, member);
      this.#members.add(member);
    }
    for (const { place } of added) if (!this.#isOver) place.join(this);
  }

  grant(link: SessionLink, place: WaitingPlace): void {
    const member = this.#places.get(place);
    if (member === undefined) throw new Error('granted by a pool that was not asked');
    this.#places.delete(place);
    this.#end(() => this.#resolve({ link, member }));
  }

  fail(error: Error, place: WaitingPlace): void {
    const member = this.#places.get(place);
    this.#places.delete(place);
    if (member !== undefined) this.failures.set(member, error);
    if (this.#places.size === 0) this.#end(() => this.#reject(error));
  }

  /** Takes a connection that is had without waiting at a pool; `take` throws when there is none. */
  settle(member: Member, take: () => SessionLink): void {
    if (this.#isOver) return;
    this.#members.add(member);
    try {
      const link = take();
      this.#end(() => this.#resolve({ link, member }));
    } catch (error) {
      this.#end(() => this.#reject(error instanceof Error ? error : new Error(String(error))));
    }
  }

  /** The request needs no connection any more. */
  cancel(): void {
    this.#end(() => this.#reject(new PoolTimeoutError('needed no more')));
  }

  #end(settle: () => void): void {
    if (this.#isOver) return;
    this.#isOver = true;
    clearTimeout(this.#timer);
    for (const place of this.#places.keys()) place.leave(this);
    settle();
  }
}
