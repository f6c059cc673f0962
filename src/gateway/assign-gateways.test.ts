/**
 * Assignment of connections to daemons, choice of delegates, and the daemon directory.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { DaemonDirectory } from '../cluster/daemon-directory.js';
import { chooseDelegates } from '../cluster/delegates.js';
import type { DaemonRecord } from '../cluster/daemon-record.js';
import { assignGateways } from './assign-gateways.js';

function daemon(name: string, zone: string, capacity = 1): DaemonRecord {
  return { name, life: `${name}-1`, host: 'h', port: 1, gatewayPort: 2, zone, capacity };
}

function fleet(size: number, zones: readonly string[]): DaemonRecord[] {
  return Array.from({ length: size }, (_, i) => daemon(`d${i}`, zones[i % zones.length] ?? ''));
}

function assign(daemons: readonly DaemonRecord[], connections: number): ReturnType<typeof assignGateways> {
  return assignGateways(daemons, { memberId: 'm', zone: 'a', connections });
}

describe('the connections of a member', () => {
  test('are assigned to all daemons while each gets at least one', () => {
    assert.deepEqual(assign(fleet(6, ['a', 'b', 'c']), 31), { gateways: null, standbys: [], budget: 5 });
    assert.deepEqual(assign(fleet(31, ['a', 'b', 'c']), 31), { gateways: null, standbys: [], budget: 1 });
  });

  test('are otherwise held by a few daemons of the member’s zone, within the limit', () => {
    for (const size of [32, 67, 300, 900]) {
      const { gateways, standbys, budget } = assign(fleet(size, ['a', 'b', 'c']), 31);
      assert.ok(gateways !== null && gateways.length >= 2);
      assert.ok(gateways.every(({ zone }) => zone === 'a'));
      assert.ok((gateways.length + standbys.length) * budget <= 31);
      assert.ok(budget >= 4);
    }
  });

  test('are also held by one daemon of another zone, in case the zone fails', () => {
    const { standbys } = assign(fleet(66, ['a', 'b', 'c']), 31);
    assert.equal(standbys.length, 1);
    assert.notEqual(standbys[0]?.zone, 'a');
  });

  test('are held in other zones if the member’s zone has no daemons', () => {
    const { gateways } = assign(fleet(60, ['b', 'c']), 31);
    assert.ok(gateways !== null && gateways.length > 0);
  });

  test('are not reassigned when another daemon leaves, and only one gateway changes when one leaves', () => {
    const daemons = fleet(66, ['a', 'b', 'c']);
    const before = assign(daemons, 31).gateways ?? [];
    const other = daemons.find(({ zone, name }) => zone === 'a' && !before.some((one) => one.name === name));
    assert.deepEqual(
      assign(
        daemons.filter((one) => one !== other),
        31,
      ).gateways,
      before,
    );
    const after =
      assign(
        daemons.filter((one) => one !== before[0]),
        31,
      ).gateways ?? [];
    assert.equal(after.filter((one) => before.includes(one)).length, before.length - 1);
  });

  test('are assigned in proportion to the daemons’ capacity', () => {
    const daemons = [...fleet(20, ['a']), ...['big1', 'big2'].map((name) => daemon(name, 'a', 10))];
    let big = 0;
    for (let member = 0; member < 200; member += 1) {
      const { gateways } = assignGateways(daemons, { memberId: `m${member}`, zone: 'a', connections: 8 });
      big += gateways?.filter(({ name }) => name.startsWith('big')).length ?? 0;
    }
    assert.ok(big > 150, `big daemons were chosen ${big} of 400 times, a tenth of them by chance`);
  });
});

describe('the delegates of a fleet', () => {
  test('are all daemons of a small fleet, and two per zone of a large one', () => {
    assert.equal(chooseDelegates('witnesses', fleet(12, ['a', 'b'])), null);
    const askers = chooseDelegates('witnesses', fleet(60, ['a', 'b', 'c'])) ?? [];
    assert.deepEqual(askers.map(({ zone }) => zone).sort(), ['a', 'a', 'b', 'b', 'c', 'c']);
  });
});

describe('the directory of daemons', () => {
  const records = new Map(fleet(3, ['a']).map((record) => [record.name, record]));
  const all = new Set(records.keys());

  test('a daemon whose lease expired while the store was available is not live', () => {
    const directory = new DaemonDirectory();
    directory.update(records, all, 0);
    directory.update(records, new Set(['d0', 'd1']), 100);
    assert.deepEqual(
      directory.live.map(({ name }) => name),
      ['d0', 'd1'],
    );
  });

  test('reports a change only if a daemon joins, leaves or restarts', () => {
    const directory = new DaemonDirectory();
    assert.equal(directory.update(records, all, 0), true);
    assert.equal(directory.update(records, all, 100), false);
    assert.equal(directory.update(records, new Set(['d0', 'd1']), 200), true);
    assert.equal(directory.update(records, all, 300), true);
    const restarted = new Map([...records].map(([name, record]) => [name, { ...record, life: 'other' }]));
    assert.equal(directory.update(restarted, all, 400), true);
  });

  test('after a power loss, daemons with a record in the store are expected to return', () => {
    const directory = new DaemonDirectory();
    directory.update(records, new Set(['d0']), 0);
    assert.equal(directory.live.length, 1);
    assert.equal(directory.expected(100).length, 3);
    assert.equal(directory.expected(700_000).length, 1);
  });

  test('a daemon without a lease stays known for a while, since it may still hold evidence', () => {
    const directory = new DaemonDirectory();
    directory.update(records, all, 0);
    directory.update(records, new Set(), 100);
    assert.equal(directory.known(60_000).length, 3);
    assert.equal(directory.known(700_000).length, 0);
  });

  test('a daemon whose record was deleted stays known too', () => {
    const directory = new DaemonDirectory();
    directory.update(records, all, 0);
    directory.update(new Map(), new Set(), 100);
    assert.equal(directory.live.length, 0);
    assert.equal(directory.known(60_000).length, 3);
  });

  test('leases that expired during an outage count only after time to register again', () => {
    const directory = new DaemonDirectory();
    directory.update(records, all, 0);
    directory.availability(false, 100);
    directory.update(records, new Set(), 4000);
    directory.availability(true, 4010);
    assert.equal(directory.live.length, 3);
    directory.update(records, new Set(['d0']), 5000);
    assert.equal(directory.refresh(6000), false);
    assert.equal(directory.refresh(7010), true);
    assert.deepEqual(
      directory.live.map(({ name }) => name),
      ['d0'],
    );
  });
});
