/**
 * Weight of reported loads, and choice between gateways.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { LoadReport } from './load-report.js';
import { expectedLoad, MemberLoads, NO_REPORT } from './member-load.js';

const ONE = { name: 'one' };
const OTHER = { name: 'other' };

function report(inUse: number, waiting = 0, serviceMs = 20): LoadReport {
  return { inUse, waiting, serviceMs };
}

test('a report loses half of its weight in 500 ms, and all of it after 4 s', () => {
  const loads = new MemberLoads();
  loads.entry('m', 'one').record(report(4, 2), false, 1000);
  assert.deepEqual(loads.average('m', [ONE, OTHER], 1000), { load: 6, weight: 1 });
  assert.deepEqual(loads.average('m', [ONE, OTHER], 1500), { load: 6, weight: 0.5 });
  assert.deepEqual(loads.average('m', [ONE, OTHER], 5000), NO_REPORT);
  assert.deepEqual(loads.average('m', [OTHER], 1000), NO_REPORT, 'the report of a gateway that is not used');
});

test('a report from the future does not count', () => {
  const loads = new MemberLoads();
  loads.entry('m', 'one').record(report(4, 2), false, 1000);
  assert.deepEqual(loads.average('m', [ONE], 999), NO_REPORT);
  assert.equal(loads.serviceMs('m', 999), null);
});

test('own loans since the report are added, and the answered one is not counted twice', () => {
  const entry = new MemberLoads().entry('m', 'one');
  entry.loanStarted();
  entry.loanStarted();
  entry.record(report(5), true, 0);
  entry.loanEnded();
  assert.equal(entry.reportedLoad, 5, 'the gateway had released the connection before it reported');
  entry.loanStarted();
  entry.loanStarted();
  assert.equal(entry.reportedLoad, 7);
  for (let ended = 0; ended < 5; ended += 1) entry.loanEnded();
  assert.equal(entry.ownLoans, 0);
});

test('without a report the expected load is that of the own requests', () => {
  assert.equal(expectedLoad(3, NO_REPORT), 3);
  assert.equal(expectedLoad(3, { load: 7, weight: 1 }), 7);
  assert.equal(expectedLoad(3, { load: 7, weight: 0.5 }), 5);
});

test('of two gateways the one with the lower reported load is chosen, and one without a report is average', () => {
  const loads = new MemberLoads();
  assert.equal(loads.lessLoaded('m', ONE, OTHER, 0), null);
  loads.entry('m', 'one').record(report(4, 3), false, 0);
  loads.entry('m', 'third').record(report(1), false, 0);
  assert.equal(loads.lessLoaded('m', ONE, OTHER, 0), OTHER);
  assert.equal(loads.lessLoaded('m', { name: 'third' }, OTHER, 0)?.name, 'third');
  assert.equal(loads.lessLoaded('m', ONE, OTHER, 10_000), null, 'the reports are too old');
});

test('loads of members that no longer exist do not accumulate', () => {
  const loads = new MemberLoads();
  const first = loads.entry('m-0', 'one');
  first.loanStarted();
  for (let member = 1; member < 1000; member += 1) loads.entry(`m-${member}`, 'one');
  assert.equal(loads.find('m-0', 'one'), null);
  assert.equal(loads.find('m-743', 'one'), null);
  assert.notEqual(loads.find('m-744', 'one'), null);
  first.loanEnded();
  assert.equal(first.ownLoans, 0, 'a loan of a forgotten entry ends as usual');
});

test('the reports of a gateway whose connection has ended are forgotten', () => {
  const loads = new MemberLoads();
  loads.entry('m', 'one').record(report(4), false, 0);
  loads.forgetGateway('one');
  assert.equal(loads.find('m', 'one'), null);
  assert.deepEqual(loads.average('m', [ONE], 0), NO_REPORT);
});
