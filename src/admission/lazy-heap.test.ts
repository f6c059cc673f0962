/**
 * Order and clean-up of a heap whose elements are removed lazily.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { LazyHeap } from './lazy-heap.js';

interface Element {
  readonly value: number;
  isRemoved: boolean;
}

function heapOf(...values: readonly number[]): { heap: LazyHeap<Element>; elements: Element[] } {
  const heap = new LazyHeap<Element>(
    (one, other) => one.value - other.value,
    ({ isRemoved }) => !isRemoved,
  );
  const elements = values.map((value) => ({ value, isRemoved: false }));
  for (const element of elements) heap.push(element);
  return { heap, elements };
}

test('removed elements are passed over', () => {
  const { heap, elements } = heapOf(3, 1, 2);
  for (const element of elements) if (element.value === 1) element.isRemoved = true;
  assert.equal(heap.peek()?.value, 2);
  assert.equal(heap.pop()?.value, 2);
  assert.equal(heap.pop()?.value, 3);
  assert.equal(heap.pop(), undefined);
});

test('a search for an element leaves those that it passes over in place', () => {
  const { heap } = heapOf(4, 2, 3, 1);
  assert.equal(heap.find(({ value }) => value > 2)?.value, 3);
  assert.equal(
    heap.find(({ value }) => value > 4),
    undefined,
  );
  assert.deepEqual([heap.pop()?.value, heap.pop()?.value, heap.pop()?.value], [1, 2, 3]);
});

test('removed elements are dropped before they outnumber the others by much', () => {
  const { heap, elements } = heapOf(...Array.from({ length: 1000 }, (_, index) => index));
  let liveCount = elements.length;
  for (const element of elements.slice(1)) {
    element.isRemoved = true;
    liveCount -= 1;
    heap.compact(liveCount);
    assert.ok(heap.heldCount <= 2 * liveCount + 8, `${heap.heldCount} held for ${liveCount}`);
  }
  assert.equal(heap.peek()?.value, 0);
});

test('a reordered heap has the same elements', () => {
  const { heap, elements } = heapOf(1, 2, 3);
  for (const element of elements) if (element.value === 3) element.isRemoved = true;
  const reversed = heap.reordered((one, other) => other.value - one.value);
  assert.deepEqual([reversed.pop()?.value, reversed.pop()?.value, reversed.pop()], [2, 1, undefined]);
  assert.equal(heap.peek()?.value, 1);
});
