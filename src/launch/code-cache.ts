/**
 * Loads a bundled program with a V8 code cache that was written at build time, so that a process starts
 * faster.
 *
 * V8 rejects a cache that was written by another version or with other flags; the program is then compiled as
 * usual.
 *
 * @packageDocumentation
 */
import { existsSync, readFileSync, writeFileSync } from 'node:fs';
import Module, { createRequire } from 'node:module';
import { dirname } from 'node:path';
import { setFlagsFromString } from 'node:v8';
import { Script } from 'node:vm';

type CommonJsWrapper = (
  exports: object,
  require: NodeJS.Require,
  module: { exports: object },
  file: string,
  folder: string,
) => void;

/** A loaded program. */
export interface LoadedProgram {
  readonly exports: object;
  /** True when the code cache was used. */
  readonly isCached: boolean;
}

/** Loads a CommonJS bundle, using its code cache if there is a valid one. */
export function loadProgram(file: string): LoadedProgram {
  const cacheFile = cachePathOf(file);
  const cachedData = existsSync(cacheFile) ? readFileSync(cacheFile) : undefined;
  const script = compile(file, cachedData);
  const isCached = cachedData !== undefined && script.cachedDataRejected === false;
  return { exports: execute(script, file), isCached };
}

/**
 * Compiles and executes a CommonJS bundle, including its side effects on loading, and writes the code cache
 * next to it.
 */
export function writeCodeCache(file: string): void {
  const script = compileEagerly(file);
  execute(script, file);
  writeFileSync(cachePathOf(file), script.createCachedData());
}

/**
 * Compiles all functions, not only those that run while the bundle is loaded: a process that has just started
 * would otherwise compile the code of each request while the first requests wait.
 */
function compileEagerly(file: string): Script {
  setFlagsFromString('--no-lazy');
  try {
    return compile(file, undefined);
  } finally {
    // V8 rejects a cache that was written with other flags than those of the process that loads it.
    setFlagsFromString('--lazy');
  }
}

function cachePathOf(file: string): string {
  return `${file}.cache`;
}

function compile(file: string, cachedData: Buffer | undefined): Script {
  const source = Module.wrap(readFileSync(file, 'utf8'));
  return new Script(source, { filename: file, cachedData });
}

function execute(script: Script, file: string): object {
  const module = { exports: {} };
  const wrapper = script.runInThisContext() as CommonJsWrapper;
  wrapper(module.exports, createRequire(file), module, file, dirname(file));
  return module.exports;
}
