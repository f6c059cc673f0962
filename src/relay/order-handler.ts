/**
 * Applies the orders of the promotion duty's holder to this daemon's evidence of leaders.
 *
 * @packageDocumentation
 */
import type { HolderOrder, OrderAnswer } from '../cluster/peer-mesh.js';
import type { Registration } from '../cluster/registration.js';
import { ZERO_POSITION } from '../position/position.js';
import type { MemberGroup } from '../topology/member-group.js';
import type { WatchedGroups } from './watched-groups.js';

/** Dependencies of {@link OrderHandler}. */
export interface OrderHandlerPorts {
  readonly groups: WatchedGroups;
  readonly registration: Pick<Registration, 'hasPredecessor' | 'isAtFormerAddress'>;
  /** `life` of the process that the store named as this daemon's when this one started; `null` if not known. */
  predecessorLife(): string | null;
  /** When this process began to accept orders, in monotonic milliseconds. */
  listeningSinceMs(): number;
  log(event: string, details: Readonly<Record<string, unknown>>): void;
  now(): number;
}

/** Applies orders, and answers what this daemon has acknowledged. */
export class OrderHandler {
  constructor(private readonly ports: OrderHandlerPorts) {}

  /** Applies an order of the duty holder and answers what this daemon has acknowledged so far. */
  apply(order: HolderOrder): OrderAnswer {
    const { groups, now } = this.ports;
    for (const removed of groups.removedLately(order.groupName, now())) this.#applyTo(removed, order);
    const watched = groups.find(order.groupName);
    if (watched === null) {
      this.#recordUnwatched(order);
      return {
        latest: ZERO_POSITION,
        limit: this.mayHaveAcknowledgedEarlier(order.groupName) ? null : ZERO_POSITION,
      };
    }
    const { group, watcher } = watched;
    this.ports.log('order', { ...order });
    this.#applyTo(group, order);
    group.changed.notify();
    watcher.wake();
    return this.#answer(group);
  }

  /** True when this daemon may have acknowledged commits of a group before it last began to watch it. */
  mayHaveAcknowledgedEarlier(groupName: string): boolean {
    return this.ports.registration.hasPredecessor || this.ports.groups.wasDropped(groupName);
  }

  #applyTo(group: MemberGroup, order: HolderOrder): void {
    const { now } = this.ports;
    switch (order.kind) {
      case 'revoke':
        group.evidence.observeTerm(order.term);
        group.evidence.revoke(order.term, now());
        break;
      case 'seal':
        group.evidence.observeTerm(order.term);
        group.evidence.seal(order.term, now());
        if (order.call !== undefined) group.calls.record(order.call, now());
        break;
      case 'allow':
        group.evidence.liftRevocation();
        group.calls.clear();
        break;
      case 'leader':
        group.recordLeader({ memberId: order.memberId, term: order.term }, order.held);
        if (order.call === undefined) group.calls.clear();
        else group.calls.record(order.call, now());
        break;
    }
  }

  /** Records an order for a group that this daemon does not watch, for when it does. */
  #recordUnwatched(order: HolderOrder): void {
    const { groups, now } = this.ports;
    switch (order.kind) {
      case 'revoke':
      case 'seal':
        groups.revokedTerms.revoke(order.groupName, order.term, now());
        break;
      case 'allow':
        groups.revokedTerms.lift(order.groupName);
        break;
      case 'leader':
        groups.revokedTerms.endBelow(order.groupName, order.term, now());
        break;
    }
  }

  #answer(group: MemberGroup): OrderAnswer {
    const { now } = this.ports;
    const { acknowledged, lastLed } = group;
    const { newest } = group.positions;
    const openCall = group.calls.open(now());
    return {
      ...acknowledged,
      ...this.#countingTime(group.name),
      ...(lastLed === null ? {} : { lastLed }),
      ...(openCall === null ? {} : { openCall }),
      ...(newest === null ? {} : { led: { position: newest.position, ageMs: now() - newest.askedAtMs } }),
    };
  }

  /**
   * For how long this process has recorded the commits that its daemon acknowledges, and which one did before. Given only if the
   * previous process used the same address: it must have released the port on which this one accepts orders.
   * Left out for a group that was dropped earlier, since commits still in flight there at that time are
   * recorded nowhere.
   */
  #countingTime(groupName: string): Pick<OrderAnswer, 'countedMs' | 'predecessorLife'> {
    const { groups, registration, listeningSinceMs, predecessorLife, now } = this.ports;
    if (!registration.isAtFormerAddress || groups.wasDropped(groupName)) return {};
    const life = predecessorLife();
    return { countedMs: now() - listeningSinceMs(), ...(life === null ? {} : { predecessorLife: life }) };
  }
}
