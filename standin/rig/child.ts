/**
 * Starts, pauses and ends the processes of a test deployment. Only the rig starts processes, never the product.
 *
 * @packageDocumentation
 */
import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { fileURLToPath } from 'node:url';

const SERVE_PROGRAM = fileURLToPath(new URL('../../src/cli/main.js', import.meta.url));
const STANDIN_PROGRAM = fileURLToPath(new URL('../main.js', import.meta.url));
const MAX_KEPT_LOG_CHARACTERS = 200_000;

/** Which program a process runs. */
export type ProgramName = 'sorrelladder' | 'standin';

/** A process of the deployment. */
export class Child {
  readonly #process: ChildProcess;
  #log = '';
  #output = '';

  constructor(
    readonly name: string,
    program: ProgramName,
    args: readonly string[],
  ) {
    const script = program === 'sorrelladder' ? SERVE_PROGRAM : STANDIN_PROGRAM;
    this.#process = spawn(process.execPath, ['--enable-source-maps', script, ...args], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.#process.stderr?.on('data', (data: Buffer) => {
      this.#log = (this.#log + data.toString()).slice(-MAX_KEPT_LOG_CHARACTERS);
    });
    this.#process.stdout?.on('data', (data: Buffer) => (this.#output += data.toString()));
  }

  /** Process id. */
  get pid(): number {
    return this.#process.pid ?? 0;
  }

  /** What it wrote to standard error, the end of it. */
  get log(): string {
    return this.#log;
  }

  /** What it wrote to standard output. */
  get output(): string {
    return this.#output;
  }

  /** Exit code, or `null` while it runs or when it was killed. */
  get exitCode(): number | null {
    return this.#process.exitCode;
  }

  /** True while the process runs. */
  get isRunning(): boolean {
    return this.#process.exitCode === null && this.#process.signalCode === null;
  }

  /** Sends a signal. */
  signal(name: NodeJS.Signals): void {
    if (this.isRunning) this.#process.kill(name);
  }

  /** Waits until the process has ended. */
  async waitForExit(): Promise<number | null> {
    if (this.isRunning) await once(this.#process, 'exit');
    return this.#process.exitCode;
  }

  /** Kills the process and waits until it is gone. */
  async kill(): Promise<void> {
    this.signal('SIGCONT');
    this.signal('SIGKILL');
    await this.waitForExit();
  }
}
