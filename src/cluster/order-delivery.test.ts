/**
 * Who is asked to let go before a promotion, and from when on a new daemon may hold evidence.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import {
  EVIDENCE_VALIDITY_MS,
  LeadershipEvidence,
  REGISTRATION_SETTLE_MS,
} from '../leadership/leadership-evidence.js';
import type { DaemonRecord } from './daemon-record.js';
import { ZERO_POSITION } from '../position/position.js';
import { deliverOrder, type OrderPorts } from './order-delivery.js';
import type { HolderOrder, OrderOutcome } from './peer-mesh.js';
import { Registration } from './registration.js';

function daemon(name: string, host = name): DaemonRecord {
  return { name, life: `${name}-1`, host, port: 1, gatewayPort: 2, zone: 'a', capacity: 1 };
}

const REVOKE: HolderOrder = { kind: 'revoke', groupName: 'g', term: 3 };
const ANSWERED: OrderOutcome = { kind: 'answered', answer: { latest: ZERO_POSITION, limit: ZERO_POSITION } };

function ports(register: () => Promise<readonly DaemonRecord[]>): { ports: OrderPorts; sent: string[] } {
  const sent: string[] = [];
  return {
    sent,
    ports: {
      known: () => [daemon('d1'), daemon('d2')],
      readRegister: register,
      isRegisterBehind: () => false,
      send: (records) => {
        sent.push(...records.map(({ host }) => host));
        return Promise.resolve(new Map(records.map(({ name }) => [name, ANSWERED])));
      },
    },
  };
}

describe('an order', () => {
  test('to let go reaches daemons that the copy of the store does not have yet', async () => {
    const { ports: given, sent } = ports(() => Promise.resolve([daemon('d1'), daemon('new')]));
    const outcomes = await deliverOrder(given, REVOKE, 200);
    assert.deepEqual(sent, ['d1', 'd2', 'new']);
    assert.deepEqual([...outcomes.keys()], ['d1', 'd2', 'new']);
  });

  test('reaches a daemon that runs at another address than it did', async () => {
    const { ports: given, sent } = ports(() => Promise.resolve([daemon('d1', 'elsewhere')]));
    await deliverOrder(given, REVOKE, 200);
    assert.deepEqual(sent, ['d1', 'd2', 'elsewhere']);
  });

  /**
   * A daemon that had registered since the copy from which the store came back was in no register, and could acknowledge by evidence that
   * a promotion did not know of. Found by reading; before, such an order counted as heard by all.
   */
  test('counts as unheard by somebody while the register may lack some', async () => {
    const { ports: given, sent } = ports(() => Promise.resolve([daemon('new')]));
    const outcomes = await deliverOrder({ ...given, isRegisterBehind: () => true }, REVOKE, 200);
    assert.deepEqual(sent, ['d1', 'd2', 'new'], 'those that it has are asked all the same');
    assert.ok([...outcomes.values()].some(({ kind }) => kind === 'silent'));
  });

  test('counts as unheard by somebody when the register cannot be read', async () => {
    const { ports: given } = ports(() => Promise.reject(new Error('down')));
    const outcomes = await deliverOrder(given, REVOKE, 200);
    assert.ok([...outcomes.values()].some(({ kind }) => kind === 'silent'));
  });

  test('of another kind reads no register', async () => {
    const { ports: given, sent } = ports(() => Promise.reject(new Error('not to be called')));
    const outcomes = await deliverOrder(given, { kind: 'allow', groupName: 'g' }, 200);
    assert.deepEqual(sent, ['d1', 'd2']);
    assert.ok([...outcomes.values()].every(({ kind }) => kind === 'answered'));
  });
});

describe('a daemon that registers', () => {
  test('that starts while the store may lack its record may have had an earlier process', () => {
    const registration = new Registration(daemon('d1'));
    registration.firstLook(new Map(), 0, { unreadable: new Set(), isBehind: true });
    assert.equal(registration.hasPredecessor, true);
    registration.firstLook(new Map(), 0);
    assert.equal(registration.hasPredecessor, false);
  });

  test('counts evidence only once whoever promotes has certainly heard of it', () => {
    const registration = new Registration(daemon('d1'));
    registration.firstLook(new Map(), 0);
    assert.equal(registration.countsFromMs, Number.POSITIVE_INFINITY);
    registration.registered(5000);
    assert.equal(registration.countsFromMs, 5000 + REGISTRATION_SETTLE_MS);
    registration.registered(9000);
    assert.equal(registration.countsFromMs, 5000 + REGISTRATION_SETTLE_MS);
  });

  test('at the address of an earlier process is known already, at another one it is not', () => {
    const same = new Registration(daemon('d1'));
    same.firstLook(new Map([['d1', daemon('d1')]]), 4000);
    assert.equal(same.countsFromMs, 4000, 'orders reach it already');
    same.registered(5000);
    assert.equal(same.countsFromMs, 4000);
    const moved = new Registration(daemon('d1', 'elsewhere'));
    moved.firstLook(new Map([['d1', daemon('d1')]]), 4000);
    assert.equal(moved.countsFromMs, Number.POSITIVE_INFINITY);
    moved.registered(5000);
    assert.equal(moved.countsFromMs, 5000 + REGISTRATION_SETTLE_MS);
  });

  test('right after the register was read holds no evidence from before pauses that were in time', () => {
    const readAtMs = 1000;
    const registration = new Registration(daemon('new'));
    registration.firstLook(new Map(), 0);
    registration.registered(readAtMs + 1);
    const evidence = new LeadershipEvidence(() => registration.countsFromMs);
    evidence.observeLeader({ memberId: 'a', term: 3 });
    const lastPauseMs = readAtMs + REGISTRATION_SETTLE_MS;
    for (let askedAtMs = readAtMs; askedAtMs <= lastPauseMs; askedAtMs += 10)
      evidence.recordWitness(3, 0, askedAtMs);
    assert.equal(evidence.current(lastPauseMs), null);
    assert.ok(evidence.validUntilMs < lastPauseMs + EVIDENCE_VALIDITY_MS);
  });
});
