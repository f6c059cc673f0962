/**
 * Decision whether a request waits for a connection.
 *
 * Guards against refusing a request that could be served, and against holding one that can't.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { decideAdmission, type AdmissionInputs } from './admission.js';

const INPUTS: AdmissionInputs = {
  ahead: 9,
  waiting: 9,
  intervalMs: 10,
  hasConnection: true,
  urgentRate: 0,
  rate: 0,
  serviceMs: 5,
  dueInMs: 250,
  timeLeftMs: 800,
};

test('a request waits if it is served in time, and is refused if its deadline passes before', () => {
  assert.deepEqual(decideAdmission(INPUTS), { kind: 'wait', expectedWaitMs: 100 });
  assert.equal(decideAdmission({ ...INPUTS, timeLeftMs: 105 }).kind, 'wait');
  assert.equal(decideAdmission({ ...INPUTS, timeLeftMs: 104 }).kind, 'refuse');
});

test('without an estimate a request waits', () => {
  assert.deepEqual(decideAdmission({ ...INPUTS, intervalMs: null, timeLeftMs: 1 }), {
    kind: 'wait',
    expectedWaitMs: null,
  });
});

test('the time to open a connection counts where none is open', () => {
  assert.equal(decideAdmission({ ...INPUTS, ahead: 0, hasConnection: false }).expectedWaitMs, 24);
});

test('a request that misses its objective waits behind all others, if there is time left for that', () => {
  const late = { ...INPUTS, ahead: 30, waiting: 60 };
  assert.deepEqual(decideAdmission(late), { kind: 'wait', expectedWaitMs: 610 });
  assert.equal(decideAdmission({ ...late, timeLeftMs: 500 }).kind, 'refuse');
});

test('a request that misses its objective while others keep arriving is refused', () => {
  const late = { ...INPUTS, ahead: 30, waiting: 30 };
  assert.deepEqual(decideAdmission({ ...late, rate: 0.1 }), { kind: 'refuse', expectedWaitMs: 310 * 8 });
  assert.equal(decideAdmission({ ...late, rate: 0.05 }).kind, 'wait', 'half of the capacity is left');
});

test('requests that are more urgent and keep arriving lengthen the wait', () => {
  assert.equal(decideAdmission({ ...INPUTS, urgentRate: 0.05 }).expectedWaitMs, 200);
  assert.equal(decideAdmission({ ...INPUTS, ahead: 0, waiting: 0, rate: 0.2 }).expectedWaitMs, 10);
});
