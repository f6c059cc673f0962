/**
 * Detection of slow and stalled commits.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CommitTracker } from './commit-tracker.js';

test('a commit that takes a multiple of the typical time is slow, then stalled', () => {
  const commits = new CommitTracker();
  for (let at = 0; at < 1000; at += 50) commits.recordEnded(commits.recordSent(at), true, at + 20);
  commits.recordSent(2000);
  assert.equal(commits.isSlow(2060), false);
  assert.equal(commits.isSlow(2100), true);
  assert.equal(commits.isStalled(2100), false);
  assert.equal(commits.isStalled(2350), true);
});

test('the threshold for slow commits grows with the typical time, up to the stall limit', () => {
  const commits = new CommitTracker();
  for (let at = 0; at < 5000; at += 200) commits.recordEnded(commits.recordSent(at), true, at + 150);
  commits.recordSent(10_000);
  assert.equal(commits.isSlow(10_200), false);
  assert.equal(commits.isSlow(10_350), true);
});

test('an answer ends a commit; an abandoned commit does not change the typical time', () => {
  const commits = new CommitTracker();
  const lost = commits.recordSent(0);
  assert.equal(commits.isSlow(400), true);
  commits.recordEnded(lost, false, 800);
  assert.equal(commits.isSlow(800), false);
  commits.recordSent(1000);
  assert.equal(commits.isSlow(1130), true, 'the typical time is unchanged');
});

test('the oldest pending commit decides', () => {
  const commits = new CommitTracker();
  const first = commits.recordSent(0);
  commits.recordSent(300);
  assert.equal(commits.isStalled(400), true);
  commits.recordEnded(first, true, 400);
  assert.equal(commits.isStalled(400), false);
});
