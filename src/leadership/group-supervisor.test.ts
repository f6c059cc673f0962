/**
 * Whom a promotion asks, and when.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Recipients } from '../cluster/order-delivery.js';
import type { HolderOrder, OrderOutcome } from '../cluster/peer-mesh.js';
import type { MemberRequest, MemberStatus } from '../relay/member-link.js';
import { MemberGroup, type Member } from '../topology/member-group.js';
import { GroupSupervisor } from './group-supervisor.js';
import type { ControlAnswer, MemberControl } from './member-control.js';

const TERM = 3;
const NAMES = ['old', 'first', 'second'];

/** A group whose leader refuses connections, and all that a supervisor does about it, in order. */
class Scene {
  readonly steps: string[] = [];
  readonly #pausedForTerm = new Map<string, number>();
  #successor: string | null = null;
  readonly group = new MemberGroup('g');
  readonly supervisor: GroupSupervisor;

  /**
   * @param onFirstOrder - how the daemon `d2` takes the first order, and how it takes it when it is asked again
   * @param losesPause - a replica that forgets its pause at once
   */
  constructor(
    private readonly onFirstOrder: OrderOutcome['kind'],
    private readonly onSecondOrder: OrderOutcome['kind'],
    private readonly losesPause: string | null = null,
  ) {
    for (const memberId of NAMES) this.group.members.set(memberId, memberOf(memberId));
    this.group.evidence.believe({ memberId: 'old', term: TERM });
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
      callerCount: () => 2,
      isLent: () => false,
      confirmLeader: () => undefined,
      log: (event) => void this.steps.push(event),
      now: () => performance.now(),
    });
  }

  /** Runs until the step has been taken; fails if that takes long. */
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
      if (memberId !== this.losesPause) this.#pausedForTerm.set(memberId, request.term);
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
    const kind = again === undefined ? this.onFirstOrder : this.onSecondOrder;
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
  const scene = new Scene('gone', 'answered');
  await scene.until('promotion_ends');
  const asked = scene.steps.indexOf('revoke again: d2');
  assert.ok(asked > scene.steps.indexOf('pause second'));
  assert.ok(asked < scene.steps.findIndex((step) => step.startsWith('promote ')));
});

test('if it does not answer then, its evidence is waited out', async () => {
  const scene = new Scene('gone', 'silent');
  const startedMs = performance.now();
  await scene.until('promotion_call');
  assert.ok(performance.now() - startedMs >= 1500);
});

test('daemons that let go at once are asked once', async () => {
  const scene = new Scene('answered', 'silent');
  await scene.until('promotion_ends');
  assert.ok(!scene.steps.some((step) => step.startsWith('revoke again')));
});

test('nobody is promoted on a pause that was lost right after it, also when nobody is waited for', async () => {
  const scene = new Scene('answered', 'answered', 'second');
  await scene.until('promotion_given_up');
  assert.ok(!scene.steps.some((step) => step.startsWith('promote ')));
});

/** A group whose leader keeps new connections waiting; `lent`: other daemons hold the connections to it. */
function slowLeaderScene(lent: boolean): {
  supervisor: GroupSupervisor;
  group: MemberGroup;
  steps: string[];
} {
  const steps: string[] = [];
  const group = new MemberGroup('g');
  for (const memberId of NAMES) group.members.set(memberId, memberOf(memberId));
  group.evidence.believe({ memberId: 'old', term: TERM });
  const ask = (member: Member): Promise<ControlAnswer> => {
    if (member.entry.memberId === 'old') steps.push('asked');
    return Promise.resolve(member.entry.memberId === 'old' ? { kind: 'slow' } : { kind: 'busy' });
  };
  const supervisor = new GroupSupervisor(group, {
    control: { ask } as unknown as MemberControl,
    promotion: { promote: () => Promise.resolve(true) },
    heldFence: () => 1,
    order: () => Promise.resolve(new Map()),
    callerCount: () => 6,
    isLent: () => lent,
    confirmLeader: () => undefined,
    log: (event) => void steps.push(event),
    now: () => performance.now(),
  });
  return { supervisor, group, steps };
}

async function stepsOf(
  scene: { supervisor: GroupSupervisor; steps: string[] },
  last: string,
): Promise<string[]> {
  const running = scene.supervisor.run();
  const deadlineMs = performance.now() + 10_000;
  while (!scene.steps.includes(last)) {
    assert.ok(performance.now() < deadlineMs, `${last} was not reached: ${scene.steps.join(', ')}`);
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
  scene.supervisor.stop();
  await running;
  return scene.steps;
}

const SILENT_TO_GATEWAY = { groupName: 'g', memberId: 'old', reason: 'silent', reporter: 'd4' } as const;

test('a leader that keeps a new connection waiting is not replaced while others use theirs', async () => {
  const scene = slowLeaderScene(true);
  scene.supervisor.suspect();
  const steps = await stepsOf(scene, 'asked');
  assert.ok(!steps.includes('promotion_begins'), steps.join(', '));
});

test('it is once an open connection of another daemon is silent, too', async () => {
  const scene = slowLeaderScene(true);
  scene.supervisor.suspect(SILENT_TO_GATEWAY);
  await stepsOf(scene, 'promotion_begins');
});

test('it is at once where every daemon connects itself', async () => {
  const scene = slowLeaderScene(false);
  scene.supervisor.suspect();
  await stepsOf(scene, 'promotion_begins');
});
