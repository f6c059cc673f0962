/**
 * How often, and for how long, an appointment calls the platform and asks the successor for its status.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { afterEach, beforeEach, mock, test } from 'node:test';
import type { Position } from '../position/position.js';
import { appoint, type AppointmentOutcome } from './appointment.js';
import type { ControlAnswer } from './member-control.js';

const OLD_TERM = 3;
const TICK_MS = 5;

/** Behaviour of the platform and the member; times in milliseconds since the start. */
interface Scenario {
  readonly platform: (call: number) => Promise<boolean>;
  /** When the member starts to lead. */
  readonly leadsAtMs: number;
  /** Position that the member reports. */
  readonly received: Position;
  /** When the member's process ends. */
  readonly endsAtMs: number;
  /** Until when the duty is held. */
  readonly heldUntilMs: number;
}

const DEFAULT_SCENARIO: Scenario = {
  platform: () => Promise.resolve(true),
  leadsAtMs: 300,
  received: { term: OLD_TERM, index: 1 },
  endsAtMs: Number.POSITIVE_INFINITY,
  heldUntilMs: Number.POSITIVE_INFINITY,
};

beforeEach(() => mock.timers.enable({ apis: ['setTimeout'] }));
afterEach(() => mock.timers.reset());

async function runAppointment(changes: Partial<Scenario>): Promise<{
  readonly leads: boolean;
  readonly kind: AppointmentOutcome['kind'];
  readonly ms: number;
  readonly calls: number;
  readonly questions: number;
  readonly orders: number;
  readonly orderedAtMs: readonly number[];
}> {
  const scenario = { ...DEFAULT_SCENARIO, ...changes };
  let now = 0;
  let calls = 0;
  let questions = 0;
  const orderedAtMs: number[] = [];
  const status = (): Promise<ControlAnswer> => {
    questions += 1;
    if (now >= scenario.endsAtMs) return Promise.resolve({ kind: 'refused' });
    const isPrimary = now >= scenario.leadsAtMs;
    const { received } = scenario;
    const term = isPrimary ? OLD_TERM + 1 : OLD_TERM;
    return Promise.resolve({
      kind: 'answered',
      askedAtMs: now,
      status: { isPrimary, term, received, pausedForTerm: 0 },
    });
  };
  const call = (): Promise<boolean> | null => {
    if (now >= scenario.heldUntilMs) return null;
    calls += 1;
    return scenario.platform(calls);
  };
  let outcome: { readonly leads: boolean } | null = null;
  const ports = {
    call,
    status,
    renewRevocation: () => void orderedAtMs.push(now),
    enforcePauses: () => undefined,
    now: () => now,
  };
  const running = appoint(ports, { oldTerm: OLD_TERM, received: { term: OLD_TERM, index: 1 } });
  void running.then(({ kind }) => (outcome = { leads: kind === 'leads' }));
  while (outcome === null && now < 20_000) {
    await new Promise((resolve) => setImmediate(resolve));
    now += TICK_MS;
    mock.timers.tick(TICK_MS);
  }
  const { kind } = await running;
  const orders = orderedAtMs.length;
  return { leads: kind === 'leads', kind, ms: now, calls, questions, orders, orderedAtMs };
}

/**
 * Guards against status requests without an interval, each of which takes a slot of the member. The delay
 * between two was raced against the answer of the platform, which had already arrived.
 */
test('a member is asked for its status at intervals while the platform promotes it', async () => {
  const { leads, ms, questions } = await runAppointment({ leadsAtMs: 400 });
  assert.ok(leads && ms < 450, `${ms} ms`);
  assert.ok(questions < 35, `${questions} questions`);
});

test('a refusal by the platform ends the appointment at once', async () => {
  const { leads, ms, calls } = await runAppointment({ platform: () => Promise.resolve(false) });
  assert.deepEqual([leads, calls], [false, 1]);
  assert.ok(ms < 50, `${ms} ms`);
});

test('the call is repeated for the same member, which is found to lead late', async () => {
  const { leads, calls, orders } = await runAppointment({ leadsAtMs: 4000 });
  assert.deepEqual([leads, calls], [true, 2]);
  assert.ok(orders >= 4, `the revocation was renewed ${orders} times`);
});

test('a refusal does not cancel the call before it', async () => {
  const platform = (call: number): Promise<boolean> =>
    call === 1 ? Promise.reject(new Error('no answer')) : Promise.resolve(false);
  assert.ok((await runAppointment({ platform, leadsAtMs: 4000 })).leads);
});

test('no call is made without the promotion duty, but the effect of the last one is waited for', async () => {
  const { leads, calls } = await runAppointment({ heldUntilMs: 1000, leadsAtMs: 4000 });
  assert.deepEqual([leads, calls], [true, 1]);
  assert.deepEqual((await runAppointment({ heldUntilMs: 0 })).leads, false);
});

test('the appointment ends 6.5 s after the first call if the platform does nothing', async () => {
  const { leads, ms } = await runAppointment({ leadsAtMs: Number.POSITIVE_INFINITY });
  assert.ok(!leads && ms >= 6500 && ms < 7000, `${ms} ms`);
});

test('calls that the platform does not answer are retried every 0.5 s for 4.5 s', async () => {
  const platform = (): Promise<boolean> => Promise.reject(new Error('no answer'));
  const { leads, ms, calls } = await runAppointment({ platform, leadsAtMs: Number.POSITIVE_INFINITY });
  assert.ok(!leads && ms >= 9000 && ms < 10_000, `${ms} ms`);
  assert.ok(calls >= 8 && calls <= 10, `${calls} calls`);
});

test('no more calls are made for a member that has ended, but the open one is waited out, since it may promote the next incarnation', async () => {
  const { leads, ms, kind, calls } = await runAppointment({
    leadsAtMs: Number.POSITIVE_INFINITY,
    endsAtMs: 600,
  });
  assert.ok(!leads && ms >= 5000 && ms < 5200, `${ms} ms`);
  assert.deepEqual([kind, calls], ['ended', 1]);
});

/** Guards against lost commits: a member that had restarted with an empty log was announced as the leader. */
test('a member that leads with less than it had received is told apart', async () => {
  const { kind } = await runAppointment({ received: { term: 0, index: 0 } });
  assert.equal(kind, 'lacks');
});

/**
 * Guards against lost commits (57 in one run). The platform was slow and was called every 0.5 s. Each call
 * deferred the next order to the daemons, whose revocation is valid for 1.5 s. The old leader came back with
 * its log, a replica that the duty holder could not reach was its witness, and daemons acknowledged its
 * commits until the platform promoted the successor. In the log: no `order kind=seal` for 1.6 s beside three
 * `promotion_call`.
 */
test('the revocation is renewed in time, however often the platform is called', async () => {
  const platform = (): Promise<boolean> => Promise.reject(new Error('no answer'));
  const { orderedAtMs, ms } = await runAppointment({ platform, leadsAtMs: Number.POSITIVE_INFINITY });
  const gaps = [...orderedAtMs, ms].map((atMs, index) => atMs - (orderedAtMs[index - 1] ?? 0));
  assert.ok(Math.max(...gaps) < 1000, `${Math.max(...gaps)} ms between two renewals`);
});
