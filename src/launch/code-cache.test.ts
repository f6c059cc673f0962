/**
 * Loading a program with and without a code cache. A cache that V8 rejects must not prevent the program from
 * loading.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { mkdtempSync, rmSync, statSync, writeFileSync } from 'node:fs';
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
  const member = (exports as Record<string, unknown>)[name];
  return { isCached, answer: typeof member === 'function' ? (member as () => unknown)() : member };
}

test('a program is loaded from its code cache', () => {
  const file = program('compiled');
  writeCodeCache(file);
  assert.deepEqual(load(file, 'compiled'), { isCached: true, answer: 'compiled.cjs' });
});

test('the code cache contains functions that do not run while the program is loaded', () => {
  const steps = Array.from({ length: 200 }, (_, index) => `value = value * ${index} + input.field${index};`);
  const body = `(input) => { let value = 0; ${steps.join(' ')} return value; }`;
  const sizes = ['1', body].map((value, index) => {
    const file = join(folder, `eager${index}.cjs`);
    writeFileSync(file, `exports.text = ${JSON.stringify(body)}; exports.value = ${value};`);
    writeCodeCache(file);
    assert.equal(load(file, 'text').isCached, true);
    return statSync(`${file}.cache`).size;
  });
  const [withoutFunction = 0, withFunction = 0] = sizes;
  assert.ok(withFunction > withoutFunction + 1000, `${withoutFunction} and ${withFunction} bytes`);
});

test('a program is compiled when it has no code cache or V8 rejects the cache', () => {
  assert.deepEqual(load(program('plain'), 'plain'), { isCached: false, answer: 'plain.cjs' });
  const file = program('spoilt');
  writeFileSync(`${file}.cache`, 'no compiled code');
  assert.deepEqual(load(file, 'spoilt'), { isCached: false, answer: 'spoilt.cjs' });
});
