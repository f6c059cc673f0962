/**
 * Loading a program with and without a code cache. A cache that V8 rejects must not prevent the program from
 * loading.
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

/**
 * Writes a program with distinct source text for each test, since V8 caches compiled code within the process.
 */
function program(name: string): string {
  const file = join(folder, `${name}.cjs`);
  writeFileSync(file, `exports.${name} = () => require('node:path').basename(__filename);`);
  return file;
}

function load(file: string, name: string): { isCached: boolean; answer: unknown } {
  const { exports, isCached } = loadProgram(file);
  return { isCached, answer: (exports as Record<string, () => unknown>)[name]?.() };
}

test('a program is loaded from its code cache', () => {
  const file = program('compiled');
  writeCodeCache(file);
  assert.deepEqual(load(file, 'compiled'), { isCached: true, answer: 'compiled.cjs' });
});

test('a program is compiled when it has no code cache or V8 rejects the cache', () => {
  assert.deepEqual(load(program('plain'), 'plain'), { isCached: false, answer: 'plain.cjs' });
  const file = program('spoilt');
  writeFileSync(`${file}.cache`, 'no compiled code');
  assert.deepEqual(load(file, 'spoilt'), { isCached: false, answer: 'spoilt.cjs' });
});
