import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { refusalOfCut, type CutRequest } from './cut-request.js';

const READ: CutRequest = {
  kind: 'read',
  isWrite: false,
  wasSent: true,
  isInTransaction: false,
  hasWritten: false,
};

interface Case {
  readonly name: string;
  readonly cut: Partial<CutRequest>;
  readonly code: string;
  readonly verdict: string;
}

const CASES: readonly Case[] = [
  { name: 'a read that was sent', cut: {}, code: 'timed_out', verdict: 'may_have_run' },
  { name: 'a read that was not sent', cut: { wasSent: false }, code: 'busy', verdict: 'not_run' },
  {
    name: 'a write that was sent',
    cut: { kind: 'write', isWrite: true },
    code: 'in_doubt',
    verdict: 'may_have_run',
  },
  {
    name: 'a prepared write that was sent',
    cut: { kind: 'execute', isWrite: true },
    code: 'in_doubt',
    verdict: 'may_have_run',
  },
  {
    name: 'a write that was not sent',
    cut: { kind: 'write', isWrite: true, wasSent: false },
    code: 'busy',
    verdict: 'not_run',
  },
  {
    name: 'a write inside a transaction',
    cut: { kind: 'write', isWrite: true, isInTransaction: true, hasWritten: true },
    code: 'aborted',
    verdict: 'not_run',
  },
  {
    name: 'a commit of writes that was sent',
    cut: { kind: 'commit', isInTransaction: true, hasWritten: true },
    code: 'in_doubt',
    verdict: 'may_have_run',
  },
  {
    name: 'a commit of writes that was not sent',
    cut: { kind: 'commit', isInTransaction: true, hasWritten: true, wasSent: false },
    code: 'aborted',
    verdict: 'not_run',
  },
  {
    name: 'a commit of reads',
    cut: { kind: 'commit', isInTransaction: true },
    code: 'aborted',
    verdict: 'not_run',
  },
];

describe('the client of a request that is cut is told of', () => {
  for (const { name, cut, code, verdict } of CASES)
    test(name, () => {
      const refusal = refusalOfCut({ ...READ, ...cut }, 'stopping');
      assert.equal(refusal.code, code);
      assert.equal(refusal.verdict, verdict);
    });
});
