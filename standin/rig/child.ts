/**
 * Starts, signals and kills the processes of a test deployment. Only the rig spawns processes, the product
 * never does.
 *
 * @packageDocumentation
 */
import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { fileURLToPath } from 'node:url';

const CLI_SCRIPT = fileURLToPath(new URL('../../src/cli/main.js', import.meta.url));
const STANDIN_SCRIPT = fileURLToPath(new URL('../main.js', import.meta.url));
const MAX_KEPT_LOG_CHARACTERS = 200_000;

/** Program that a process runs. */
export type ProgramName = 'sorrelladder' | 'standin';

/** A child process of the deployment, with its captured output. */
export class Child {
  readonly #process: ChildProcess;
  #log = '';
  #output = '';

  constructor(
    readonly name: string,
    program: ProgramName,
    args: readonly string[],
  ) {
    const script = program === 'sorrelladder' ? CLI_SCRIPT : STANDIN_SCRIPT;
    this.#process = spawn(process.execPath, ['--enable-source-maps', script, ...args], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.#process.stderr?.on('data', (data: Buffer) => {
      this.#log = (this.#log + data.toString()).slice(-MAX_KEPT_LOG_CHARACTERS);
    });
    this.#process.stdout?.on('data', (data: Buffer) => (this.#output += data.toString()));
  }

  get pid(): number {
    return this.#process.pid ?? 0;
  }

  /** The last part of its standard error. */
  get log(): string {
    return this.#log;
  }

  /** Its standard output. */
  get output(): string {
    return this.#output;
  }

  /** Exit code, or `null` while it runs or when it was killed. */
  get exitCode(): number | null {
    return this.#process.exitCode;
  }

  get isRunning(): boolean {
    return this.#process.exitCode === null && this.#process.signalCode === null;
  }

  signal(name: NodeJS.Signals): void {
    if (this.isRunning) this.#process.kill(name);
  }

  /** Waits until the process has ended. */
  async waitForExit(): Promise<number | null> {
    if (this.isRunning) await once(this.#process, 'exit');
    return this.#process.exitCode;
  }

  /** Kills the process, also one that is stopped by SIGSTOP, and waits for its exit. */
  async kill(): Promise<void> {
    this.signal('SIGCONT');
    this.signal('SIGKILL');
    await this.waitForExit();
  }
}
