import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { refusalOfInterrupted, type InterruptedRequest } from './interrupted-request.js';

const READ: InterruptedRequest = {
  kind: 'read',
  isWrite: false,
  wasSent: true,
  isInTransaction: false,
  hasWritten: false,
};

interface Case {
  readonly name: string;
  readonly request: Partial<InterruptedRequest>;
  readonly code: string;
  readonly verdict: string;
}

const CASES: readonly Case[] = [
  { name: 'a read that was sent', request: {}, code: 'timed_out', verdict: 'may_have_run' },
  { name: 'a read that was not sent', request: { wasSent: false }, code: 'busy', verdict: 'not_run' },
  {
    name: 'a write that was sent',
    request: { kind: 'write', isWrite: true },
    code: 'in_doubt',
    verdict: 'may_have_run',
  },
  {
    name: 'a prepared write that was sent',
    request: { kind: 'execute', isWrite: true },
    code: 'in_doubt',
    verdict: 'may_have_run',
  },
  {
    name: 'a write that was not sent',
    request: { kind: 'write', isWrite: true, wasSent: false },
    code: 'busy',
    verdict: 'not_run',
  },
  {
    name: 'a write inside a transaction',
    request: { kind: 'write', isWrite: true, isInTransaction: true, hasWritten: true },
    code: 'aborted',
    verdict: 'not_run',
  },
  {
    name: 'a commit of writes that was sent',
    request: { kind: 'commit', isInTransaction: true, hasWritten: true },
    code: 'in_doubt',
    verdict: 'may_have_run',
  },
  {
    name: 'a commit of writes that was not sent',
    request: { kind: 'commit', isInTransaction: true, hasWritten: true, wasSent: false },
    code: 'aborted',
    verdict: 'not_run',
  },
  {
    name: 'a commit of reads',
    request: { kind: 'commit', isInTransaction: true },
    code: 'aborted',
    verdict: 'not_run',
  },
];

describe('the refusal of an interrupted request has the code and verdict of', () => {
  for (const { name, request, code, verdict } of CASES)
    test(name, () => {
      const refusal = refusalOfInterrupted({ ...READ, ...request }, 'stopping');
      assert.equal(refusal.code, code);
      assert.equal(refusal.verdict, verdict);
    });
});
