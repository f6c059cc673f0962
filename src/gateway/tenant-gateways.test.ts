/**
 * Choice of the gateways that lend to a tenant.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { daemonRecords } from '../../test/support/daemon-records.js';
import { gatewaysOfTenant } from './tenant-gateways.js';

const GATEWAYS = daemonRecords(6);

function namesFor(tenantName: string, share: number, memberId = 'm'): string[] {
  return gatewaysOfTenant(tenantName, share, memberId, GATEWAYS).map(({ name }) => name);
}

test('a small tenant has one gateway per member, chosen alike by every daemon', () => {
  assert.equal(namesFor('amber', 0.01).length, 1);
  assert.deepEqual(namesFor('amber', 0.01), namesFor('amber', 0.01));
  const places = new Set(Array.from({ length: 20 }, (_, index) => namesFor('amber', 0.01, `m${index}`)[0]));
  assert.ok(places.size > 2, 'its requests are not all sent to one daemon');
});

test('a large tenant has more gateways, up to all of them', () => {
  assert.equal(namesFor('birch', 0.15).length, 3);
  assert.equal(namesFor('birch', 0.6).length, 6);
  assert.equal(namesFor('birch', 1).length, 6);
});

test('tenants are distributed over the gateways', () => {
  const count = new Map<string, number>();
  for (let index = 0; index < 84; index += 1) {
    const [name = ''] = namesFor(`tenant-${index}`, 0.01);
    count.set(name, (count.get(name) ?? 0) + 1);
  }
  assert.equal(count.size, GATEWAYS.length);
  assert.ok(Math.max(...count.values()) <= 28, [...count.values()].join());
});
