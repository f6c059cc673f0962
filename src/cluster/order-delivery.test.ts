/**
 * Which daemons are asked to revoke evidence before a promotion, and from when on a new daemon may hold
 * evidence.
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
      readRegistry: register,
      isRegistryIncomplete: () => false,
      send: (records) => {
        sent.push(...records.map(({ host }) => host));
        return Promise.resolve(new Map(records.map(({ name }) => [name, ANSWERED])));
      },
    },
  };
}

describe('an order', () => {
  test('to revoke evidence reaches daemons that the local copy of the store does not have yet', async () => {
    const { ports: given, sent } = ports(() => Promise.resolve([daemon('d1'), daemon('new')]));
    const outcomes = await deliverOrder(given, REVOKE, 200);
    assert.deepEqual(sent, ['d1', 'd2', 'new']);
    assert.deepEqual([...outcomes.keys()], ['d1', 'd2', 'new']);
  });

  test('reaches a daemon whose address has changed', async () => {
    const { ports: given, sent } = ports(() => Promise.resolve([daemon('d1', 'elsewhere')]));
    await deliverOrder(given, REVOKE, 200);
    assert.deepEqual(sent, ['d1', 'd2', 'elsewhere']);
  });

  /** Guards against STALE: the known process had ended, and the one that has registered since may hold evidence. */
  test('reaches a process that has registered at the address of an ended one, which does not answer for it', async () => {
    const next = { ...daemon('d1'), life: 'd1-2' };
    for (const [ofKnown, ofRegistered] of [
      ['gone', 'silent'],
      ['silent', 'gone'],
    ] as const) {
      const { ports: given } = ports(() => Promise.resolve([next, daemon('d2')]));
      const outcomes = await deliverOrder(
        {
          ...given,
          send: (records) =>
            Promise.resolve(
              new Map(
                records.map(({ name, life }) => [
                  name,
                  { kind: life === next.life ? ofRegistered : ofKnown },
                ]),
              ),
            ),
        },
        REVOKE,
        200,
      );
      assert.equal(outcomes.get('d1')?.kind, 'silent');
    }
  });

  /**
   * A daemon that registered after the backup from which the store was restored is in no registry. It could
   * acknowledge commits by evidence that the promotion does not know of, if the order counted as answered by
   * all.
   */
  test('counts as unanswered by one daemon while the registry may be incomplete', async () => {
    const { ports: given, sent } = ports(() => Promise.resolve([daemon('new')]));
    const outcomes = await deliverOrder({ ...given, isRegistryIncomplete: () => true }, REVOKE, 200);
    assert.deepEqual(sent, ['d1', 'd2', 'new'], 'registered daemons receive the order all the same');
    assert.ok([...outcomes.values()].some(({ kind }) => kind === 'silent'));
  });

  test('counts as unanswered by one daemon when the registry cannot be read', async () => {
    const { ports: given } = ports(() => Promise.reject(new Error('down')));
    const outcomes = await deliverOrder(given, REVOKE, 200);
    assert.ok([...outcomes.values()].some(({ kind }) => kind === 'silent'));
  });

  test('of another kind does not read the registry', async () => {
    const { ports: given, sent } = ports(() => Promise.reject(new Error('not to be called')));
    const outcomes = await deliverOrder(given, { kind: 'allow', groupName: 'g' }, 200);
    assert.deepEqual(sent, ['d1', 'd2']);
    assert.ok([...outcomes.values()].every(({ kind }) => kind === 'answered'));
  });
});

const STORE = { kind: 'store' } as const;
const MEMBERS = { kind: 'members' } as const;
const COLLECTOR = { kind: 'daemon', isHolder: false } as const;

describe('a daemon that registers', () => {
  test('while the store may lack its record is assumed to have had an earlier process', () => {
    const registration = new Registration(daemon('d1'));
    registration.applyInitialRecords(new Map(), { unreadable: new Set(), isIncomplete: true });
    assert.equal(registration.hasPredecessor, true);
    registration.applyInitialRecords(new Map());
    assert.equal(registration.hasPredecessor, false);
  });

  test('counts evidence only once every duty holder is certain to know it', () => {
    const registration = new Registration(daemon('d1'));
    registration.applyInitialRecords(new Map());
    for (const source of [MEMBERS, COLLECTOR, STORE])
      assert.equal(registration.countsFromMs(source), Number.POSITIVE_INFINITY);
    for (const registeredAtMs of [5000, 9000]) {
      registration.markRegistered(registeredAtMs);
      assert.equal(registration.countsFromMs(MEMBERS), 5000 + REGISTRATION_SETTLE_MS);
      assert.equal(registration.countsFromMs(COLLECTOR), 5000 + REGISTRATION_SETTLE_MS);
      assert.equal(registration.countsFromMs(STORE), 5000, 'a promotion that does not know it is recorded');
    }
  });

  test('counts the evidence of the holder of the duty, which knows it, from its registration on', () => {
    const registration = new Registration(daemon('d1'));
    const holder = { kind: 'daemon', isHolder: true } as const;
    assert.equal(registration.countsFromMs(holder), Number.POSITIVE_INFINITY);
    registration.markRegistered(5000);
    assert.equal(registration.countsFromMs(holder), 5000);
  });

  test('counts nothing the sooner at the address of an earlier process, which may have ended before an order', () => {
    for (const host of [undefined, 'elsewhere']) {
      const registration = new Registration(daemon('d1', host));
      registration.applyInitialRecords(new Map([['d1', daemon('d1')]]));
      assert.equal(registration.isAtFormerAddress, host === undefined);
      assert.equal(registration.countsFromMs(MEMBERS), Number.POSITIVE_INFINITY);
      registration.markRegistered(5000);
      assert.equal(registration.countsFromMs(MEMBERS), 5000 + REGISTRATION_SETTLE_MS);
    }
  });

  test('right after the registry was read holds no evidence from before the pauses, if those were in time', () => {
    const readAtMs = 1000;
    const registration = new Registration(daemon('new'));
    registration.applyInitialRecords(new Map());
    registration.markRegistered(readAtMs + 1);
    const evidence = new LeadershipEvidence((source) => registration.countsFromMs(source));
    evidence.observeLeader({ memberId: 'a', term: 3 });
    const lastPauseMs = readAtMs + REGISTRATION_SETTLE_MS;
    for (let askedAtMs = readAtMs; askedAtMs <= lastPauseMs; askedAtMs += 10)
      evidence.recordWitness(3, 0, askedAtMs);
    assert.equal(evidence.current(lastPauseMs), null);
    assert.ok(evidence.validUntilMs < lastPauseMs + EVIDENCE_VALIDITY_MS);
  });
});
