/**
 * Which daemons and members a promotion asks, and in which order.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Recipients } from '../cluster/order-delivery.js';
import type { HolderOrder, OrderOutcome } from '../cluster/peer-mesh.js';
import type { MemberRequest, MemberStatus } from '../relay/member-link.js';
import { MemberGroup, type Member } from '../topology/member-group.js';
import { FakeReplacedTerms } from '../../test/support/replaced-terms.js';
import { GroupSupervisor } from './group-supervisor.js';
import type { ControlAnswer, MemberControl } from './member-control.js';

const TERM = 3;
const MEMBER_IDS = ['old', 'first', 'second'];

/** A group whose leader refuses connections, with a record of the actions of its supervisor in order. */
class SupervisorFixture {
  readonly steps: string[] = [];
  readonly #pausedForTerm = new Map<string, number>();
  #successor: string | null = null;
  readonly group = new MemberGroup('g');
  readonly supervisor: GroupSupervisor;

  /**
   * @param firstOutcome - how the first order goes at the daemon `d2`
   * @param secondOutcome - how the order goes at that daemon when it is sent again
   * @param replicaLosingPause - a replica that loses its pause at once
   */
  constructor(
    private readonly firstOutcome: OrderOutcome['kind'],
    private readonly secondOutcome: OrderOutcome['kind'],
    private readonly replicaLosingPause: string | null = null,
  ) {
    for (const memberId of MEMBER_IDS) this.group.members.set(memberId, memberOf(memberId));
    this.group.evidence.observeLeader({ memberId: 'old', term: TERM });
    this.supervisor = new GroupSupervisor(this.group, {
      control: {
        ask: (member: Member, request: MemberRequest) => this.#ask(member, request),
      } as unknown as MemberControl,
      promotion: {
        promote: (_group, memberId) => {
          this.steps.push(`promote ${memberId}`);
          this.#successor = memberId;
          return Promise.resolve(true);
        },
      },
      heldFence: () => 1,
      order: (order, _timeoutMs, recipients) => this.#order(order, recipients),
      connectedDaemonCount: () => 2,
      usesGateways: () => false,
      replacedTerms: new FakeReplacedTerms(),
      leaderPromoted: () => undefined,
      log: (event) => void this.steps.push(event),
      now: () => performance.now(),
    });
  }

  /** Runs the supervisor until the step has been taken; fails after 10 s. */
  async until(step: string): Promise<void> {
    const running = this.supervisor.run();
    const deadlineMs = performance.now() + 10_000;
    while (!this.steps.includes(step)) {
      assert.ok(performance.now() < deadlineMs, `${step} was not reached: ${this.steps.join(', ')}`);
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
    this.supervisor.stop();
    await running;
  }

  #ask(member: Member, request: MemberRequest): Promise<ControlAnswer> {
    const { memberId } = member.entry;
    if (memberId === 'old') return Promise.resolve({ kind: 'refused' });
    if (request.kind === 'pause') {
      this.steps.push(`pause ${memberId}`);
      if (memberId !== this.replicaLosingPause) this.#pausedForTerm.set(memberId, request.term);
    }
    return Promise.resolve({
      kind: 'answered',
      askedAtMs: performance.now(),
      status: this.#status(memberId, request),
    });
  }

  #status(memberId: string, request: MemberRequest): MemberStatus {
    const isPrimary = memberId === this.#successor;
    const pausedForTerm = request.kind === 'pause' ? request.term : (this.#pausedForTerm.get(memberId) ?? 0);
    return {
      isPrimary,
      term: isPrimary ? TERM + 1 : TERM,
      received: { term: TERM, index: 9 },
      pausedForTerm,
    };
  }

  #order(order: HolderOrder, recipients?: Recipients): Promise<ReadonlyMap<string, OrderOutcome>> {
    const again = recipients !== undefined && 'only' in recipients ? recipients.only : undefined;
    this.steps.push(again === undefined ? order.kind : `${order.kind} again: ${[...again].join(',')}`);
    const kind = again === undefined ? this.firstOutcome : this.secondOutcome;
    const outcome: OrderOutcome =
      kind === 'answered'
        ? { kind, answer: { latest: { term: TERM, index: 9 }, limit: { term: TERM, index: 9 } } }
        : { kind };
    return Promise.resolve(new Map([['d2', outcome]]));
  }
}

function memberOf(memberId: string): Member {
  const entry = { memberId, saysPrimary: memberId === 'old' };
  return { entry, isLeaving: false, answeredAtMs: 0 } as unknown as Member;
}

test('a daemon that did not run is asked again once the replicas are paused: it may have started meanwhile', async () => {
  const fixture = new SupervisorFixture('gone', 'answered');
  await fixture.until('promotion_ends');
  const asked = fixture.steps.indexOf('revoke again: d2');
  assert.ok(asked > fixture.steps.indexOf('pause second'));
  assert.ok(asked < fixture.steps.findIndex((step) => step.startsWith('promote ')));
});

test('a promotion waits until the evidence of that daemon has expired if it does not answer then', async () => {
  const fixture = new SupervisorFixture('gone', 'silent');
  const startedMs = performance.now();
  await fixture.until('promotion_call');
  assert.ok(performance.now() - startedMs >= 1500);
});

test('daemons that revoke their evidence at once are asked once', async () => {
  const fixture = new SupervisorFixture('answered', 'silent');
  await fixture.until('promotion_ends');
  assert.ok(!fixture.steps.some((step) => step.startsWith('revoke again')));
});

test('no member is promoted after a replica has lost its pause, even if the promotion waits for no daemon', async () => {
  const fixture = new SupervisorFixture('answered', 'answered', 'second');
  await fixture.until('promotion_given_up');
  assert.ok(!fixture.steps.some((step) => step.startsWith('promote ')));
});

/**
 * A group whose leader delays new connections.
 *
 * @param usesGateways - whether gateways hold the connections to it for other daemons
 */
function slowLeaderFixture(usesGateways: boolean): {
  supervisor: GroupSupervisor;
  group: MemberGroup;
  steps: string[];
} {
  const steps: string[] = [];
  const group = new MemberGroup('g');
  for (const memberId of MEMBER_IDS) group.members.set(memberId, memberOf(memberId));
  group.evidence.observeLeader({ memberId: 'old', term: TERM });
  const ask = (member: Member): Promise<ControlAnswer> => {
    if (member.entry.memberId === 'old') steps.push('asked');
    return Promise.resolve(member.entry.memberId === 'old' ? { kind: 'slow' } : { kind: 'busy' });
  };
  const supervisor = new GroupSupervisor(group, {
    control: { ask } as unknown as MemberControl,
    promotion: { promote: () => Promise.resolve(true) },
    heldFence: () => 1,
    order: () => Promise.resolve(new Map()),
    connectedDaemonCount: () => 6,
    usesGateways: () => usesGateways,
    replacedTerms: new FakeReplacedTerms(),
    leaderPromoted: () => undefined,
    log: (event) => void steps.push(event),
    now: () => performance.now(),
  });
  return { supervisor, group, steps };
}

async function stepsUntil(
  fixture: { supervisor: GroupSupervisor; steps: string[] },
  last: string,
): Promise<string[]> {
  const running = fixture.supervisor.run();
  const deadlineMs = performance.now() + 10_000;
  while (!fixture.steps.includes(last)) {
    assert.ok(performance.now() < deadlineMs, `${last} was not reached: ${fixture.steps.join(', ')}`);
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
  fixture.supervisor.stop();
  await running;
  return fixture.steps;
}

const SILENT_TO_GATEWAY = { groupName: 'g', memberId: 'old', reason: 'silent', reporter: 'd4' } as const;

test('a leader that delays a new connection is not replaced while other daemons use theirs', async () => {
  const fixture = slowLeaderFixture(true);
  fixture.supervisor.suspect();
  const steps = await stepsUntil(fixture, 'asked');
  assert.ok(!steps.includes('promotion_begins'), steps.join(', '));
});

test('a leader that delays a new connection is replaced once another daemon reports it on an open connection', async () => {
  const fixture = slowLeaderFixture(true);
  fixture.supervisor.suspect(SILENT_TO_GATEWAY);
  await stepsUntil(fixture, 'promotion_begins');
});

test('a leader that delays a new connection is replaced at once where every daemon connects itself', async () => {
  const fixture = slowLeaderFixture(false);
  fixture.supervisor.suspect();
  await stepsUntil(fixture, 'promotion_begins');
});
