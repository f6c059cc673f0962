/**
 * Loads a bundled program with the code that V8 compiled at build time, so that a process starts faster.
 *
 * V8 refuses a cache of another version or of other flags; the program is then compiled as usual.
 *
 * @packageDocumentation
 */
import { existsSync, readFileSync, writeFileSync } from 'node:fs';
import Module, { createRequire } from 'node:module';
import { dirname } from 'node:path';
import { Script } from 'node:vm';

type CommonJsWrapper = (
  exports: object,
  require: NodeJS.Require,
  module: { exports: object },
  file: string,
  folder: string,
) => void;

/** A program as loaded. */
export interface LoadedProgram {
  readonly exports: object;
  /** True when the compiled code was used. */
  readonly isCached: boolean;
}

/** Loads a CommonJS bundle. */
export function loadProgram(file: string): LoadedProgram {
  const cache = cacheOf(file);
  const cachedData = existsSync(cache) ? readFileSync(cache) : undefined;
  const script = compile(file, cachedData);
  const isCached = cachedData !== undefined && script.cachedDataRejected === false;
  return { exports: run(script, file), isCached };
}

/** Compiles a CommonJS bundle and keeps the result beside it; what the bundle does when it is loaded, it does. */
export function writeCodeCache(file: string): void {
  const script = compile(file, undefined);
  run(script, file);
  writeFileSync(cacheOf(file), script.createCachedData());
}

function cacheOf(file: string): string {
  return `${file}.cache`;
}

function compile(file: string, cachedData: Buffer | undefined): Script {
  const source = Module.wrap(readFileSync(file, 'utf8'));
  return new Script(source, { filename: file, cachedData });
}

function run(script: Script, file: string): object {
  const module = { exports: {} };
  const wrapper = script.runInThisContext() as CommonJsWrapper;
  wrapper(module.exports, createRequire(file), module, file, dirname(file));
  return module.exports;
}
