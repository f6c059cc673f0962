/**
 * A program is loaded with and without code compiled in advance.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, test } from 'node:test';
import { loadProgram, writeCodeCache } from './code-cache.js';

const folder = mkdtempSync(join(tmpdir(), 'sorrelladder-'));
after(() => rmSync(folder, { recursive: true }));

/** A program of its own: V8 remembers in this process what it has compiled. */
function program(name: string): string {
  const file = join(folder, `${name}.cjs`);
  writeFileSync(file, `exports.${name} = () => require('node:path').basename(__filename);`);
  return file;
}

function load(file: string, name: string): { isCached: boolean; answer: unknown } {
  const { exports, isCached } = loadProgram(file);
  return { isCached, answer: (exports as Record<string, () => unknown>)[name]?.() };
}

test('a program is loaded from its compiled code', () => {
  const file = program('compiled');
  writeCodeCache(file);
  assert.deepEqual(load(file, 'compiled'), { isCached: true, answer: 'compiled.cjs' });
});

test('and as usual where there is none, or none that fits', () => {
  assert.deepEqual(load(program('plain'), 'plain'), { isCached: false, answer: 'plain.cjs' });
  const file = program('spoilt');
  writeFileSync(`${file}.cache`, 'no compiled code');
  assert.deepEqual(load(file, 'spoilt'), { isCached: false, answer: 'spoilt.cjs' });
});
