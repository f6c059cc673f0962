/**
 * A member on which each new connection occupies a slot for some time, and a large fleet of daemons that
 * starts at once. Neither the status requests nor the connections of the fleet may use up the slots that the
 * member needs for statements.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import type { DaemonRecord } from '../../src/cluster/daemon-record.js';
import type { GatewayClient } from '../../src/gateway/gateway-client.js';
import { MemberConnections } from '../../src/gateway/member-connections.js';
import { StatusQuestions } from '../../src/gateway/status-questions.js';
import { MemberControl } from '../../src/leadership/member-control.js';
import { LinkPool } from '../../src/relay/link-pool.js';
import type { SessionLink } from '../../src/relay/session-link.js';
import { Member, type MemberEntry } from '../../src/topology/member-group.js';
import { ModelledMember, type MemberModel } from '../support/modelled-member.js';

const MODEL: MemberModel = { slots: 2, handshakeMs: 27, workMs: 14, queue: 16 };
/** Highest number of statements that the member can answer per second. */
const CAPACITY_PER_S = (1000 / MODEL.workMs) * MODEL.slots;
const DAEMONS = 195;
const GATEWAYS = 6;
const CONNECTIONS_PER_GATEWAY = 4;
const STATUS_INTERVAL_MS = 300;
const STATUS_TIMEOUT_MS = 250;
const LATENCY_OBJECTIVE_MS = 250;

const ENTRY: MemberEntry = {
  memberId: 'm',
  groupName: 'g',
  host: 'h',
  port: 1,
  zone: 'z',
  slots: MODEL.slots,
  isDraining: false,
  saysPrimary: false,
  bornMs: null,
};

/** A clock and timers that the test advances. */
class TestClock {
  now = 0;

  constructor(private readonly context: TestContext) {
    context.mock.timers.enable({ apis: ['setTimeout'] });
    context.mock.method(performance, 'now', () => this.now);
  }

  async advance(ms: number): Promise<void> {
    for (let step = 0; step < ms; step += 1) {
      this.now += 1;
      this.context.mock.timers.tick(1);
      await new Promise((resolve) => setImmediate(resolve));
    }
  }
}

/** The daemons of a fleet, and the one member that they use. */
class Fleet {
  readonly member = new ModelledMember(MODEL);
  readonly #records = Array.from({ length: DAEMONS }, (_, index) => ({ name: `d${index}` }) as DaemonRecord);
  readonly #gateways = this.#records.slice(0, GATEWAYS);
  readonly #pools = new Map(this.#gateways.map(({ name }) => [name, this.#pool(CONNECTIONS_PER_GATEWAY)]));
  readonly #statusQuestions = new StatusQuestions();
  answeredStatusRequests = 0;
  /** Statements answered within the latency objective. */
  inTime = 0;
  #statementCount = 0;

  constructor(private readonly time: TestClock) {}

  /** Makes every daemon request the status periodically. */
  pollStatusFromEveryDaemon(): void {
    for (const { name } of this.#records) {
      const member = this.#memberOf(name);
      const control = new MemberControl({
        dialer: this.member,
        readStatus: (reply) =>
          reply.result.isComplete
            ? { isPrimary: false, term: 1, received: { term: 1, index: 1 }, pausedForTerm: 0 }
            : null,
        mayConnect: () => name === 'd0',
        now: () => this.time.now,
      });
      const ask = async (): Promise<void> => {
        const answer = await control.ask(member, { kind: 'status' }, STATUS_TIMEOUT_MS, true);
        if (answer.kind === 'answered') this.answeredStatusRequests += 1;
        control.closeIdleConnections();
        setTimeout(() => void ask(), STATUS_INTERVAL_MS);
      };
      setTimeout(() => void ask(), (Number(name.slice(1)) * 300) / DAEMONS);
    }
  }

  /** Sends one statement, through the gateways in turn. */
  async sendStatement(): Promise<void> {
    const pool = [...this.#pools.values()][this.#statementCount++ % GATEWAYS];
    if (pool === undefined) return;
    const dueAtMs = this.time.now + LATENCY_OBJECTIVE_MS;
    const demand = {
      tenantName: null,
      values: new Map<string, string>(),
      isWrite: false,
      priority: 1,
      dueAtMs,
    };
    try {
      const link = await pool.acquire(demand, LATENCY_OBJECTIVE_MS);
      const reply = await link.send({ kind: 'statement', requestId: 'r', payload: 'READ x', after: null });
      pool.release(link);
      if (reply.result.isComplete && this.time.now <= dueAtMs) this.inTime += 1;
    } catch {
      // No connection became free in time; the client receives an error.
    }
  }

  /** Applies a load; returns how many statements the member answered, and how many of them in time. */
  async applyLoad(
    perSecond: number,
    ms: number,
  ): Promise<{ readonly served: number; readonly inTime: number }> {
    const before = { served: this.member.answeredStatements, inTime: this.inTime };
    let due = 0;
    for (let step = 0; step < ms; step += 1) {
      due += perSecond / 1000;
      for (; due >= 1; due -= 1) void this.sendStatement();
      await this.time.advance(1);
      for (const pool of this.#pools.values()) pool.trim();
    }
    return { served: this.member.answeredStatements - before.served, inTime: this.inTime - before.inTime };
  }

  #memberOf(name: string): Member {
    const pool = this.#pools.get(name) ?? this.#pool(0);
    const gatewayClient = {
      choose: () => this.#gateways[0] ?? null,
      borrow: (record: DaemonRecord) => this.#openLoan(record),
    };
    const connections = new MemberConnections({
      groupName: ENTRY.groupName,
      memberId: ENTRY.memberId,
      bornMs: () => null,
      pool,
      gatewayClient: gatewayClient as unknown as GatewayClient,
      assignment: () => ({ gateways: this.#gateways, standbys: [], budget: CONNECTIONS_PER_GATEWAY }),
      tenantShare: () => 1,
      fallbackLenders: () => this.#records,
      ownName: name,
    });
    return new Member(ENTRY, connections);
  }

  #openLoan({ name }: DaemonRecord): SessionLink {
    const pool = this.#pools.get(name);
    const send: SessionLink['send'] = () =>
      pool === undefined ? Promise.reject(new Error('no gateway')) : this.#statusQuestions.ask(pool);
    return { send, close: () => undefined } as unknown as SessionLink;
  }

  #pool(budget: number): LinkPool {
    return new LinkPool({
      dialer: this.member,
      address: ENTRY,
      budget: () => budget,
      dialTimeoutMs: 400,
      limitBackoffMs: 100,
      idleTimeoutMs: 800,
      serviceMs: () => MODEL.workMs,
      onFailure: () => undefined,
      now: () => this.time.now,
      random: () => 0.5,
    });
  }
}

test('the status requests of a fleet that starts at once are answered, and few connections are opened', async (context) => {
  const time = new TestClock(context);
  const fleet = new Fleet(time);
  fleet.pollStatusFromEveryDaemon();
  await time.advance(2000);
  assert.ok(fleet.answeredStatusRequests > DAEMONS, `answered: ${fleet.answeredStatusRequests}`);
  assert.ok(
    fleet.member.connectionAttempts <= GATEWAYS * CONNECTIONS_PER_GATEWAY,
    `connections begun: ${fleet.member.connectionAttempts}`,
  );
});

test('at five times its capacity a member still answers nine tenths of it', async (context) => {
  const fleet = new Fleet(new TestClock(context));
  fleet.pollStatusFromEveryDaemon();
  await fleet.applyLoad(5 * CAPACITY_PER_S, 1000);
  const { served } = await fleet.applyLoad(5 * CAPACITY_PER_S, 3000);
  assert.ok(served >= 0.9 * 3 * CAPACITY_PER_S, `served: ${served} of ${Math.round(3 * CAPACITY_PER_S)}`);
});

test('two seconds after a load spike statements are answered in time again', async (context) => {
  const fleet = new Fleet(new TestClock(context));
  fleet.pollStatusFromEveryDaemon();
  await fleet.applyLoad(0.6 * CAPACITY_PER_S, 1000);
  await fleet.applyLoad(5 * CAPACITY_PER_S, 2000);
  await fleet.applyLoad(0.6 * CAPACITY_PER_S, 2000);
  const { inTime } = await fleet.applyLoad(0.6 * CAPACITY_PER_S, 2000);
  assert.ok(inTime >= 0.98 * 2 * 0.6 * CAPACITY_PER_S, `in time: ${inTime}`);
});
