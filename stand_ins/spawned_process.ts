import * as childProcess from 'node:child_process';

/** Time for a process to say that it is ready. */
const READY_TIMEOUT_MS = 20_000;

/** A process that a test starts, with the lines that it prints. */
export class SpawnedProcess {
  readonly lines: string[] = [];
  private readonly child: childProcess.ChildProcess;
  private readonly exitCode: Promise<number | null>;

  constructor(
    command: string,
    commandArguments: ReadonlyArray<string>,
    environment: Readonly<Record<string, string>> = {},
  ) {
    this.child = childProcess.spawn(command, commandArguments, {
      stdio: ['ignore', 'pipe', 'inherit'],
      env: {...process.env, ...environment},
    });
    this.exitCode = new Promise(resolve =>
      this.child.once('exit', code => resolve(code)),
    );
    let rest = '';
    this.child.stdout?.on('data', (chunk: Buffer) => {
      const parts = (rest + chunk.toString()).split('\n');
      rest = parts.pop() ?? '';
      this.lines.push(...parts);
    });
  }

  /** Number of the process. */
  get pid(): number {
    return this.child.pid ?? 0;
  }

  /** Waits for a line; fails when the process ends before it. */
  async waitForLine(pattern: RegExp): Promise<string> {
    let exited = false;
    void this.exitCode.then(() => (exited = true));
    const started = performance.now();
    while (performance.now() - started < READY_TIMEOUT_MS) {
      const found = this.lines.find(item => pattern.test(item));
      if (found !== undefined) return found;
      if (exited) break;
      await new Promise(resolve => setTimeout(resolve, 10));
    }
    await this.kill();
    throw new Error(`no line with ${pattern}; ${this.lines.length} lines`);
  }

  /** Sends a signal, such as SIGSTOP. */
  signal(name: NodeJS.Signals): void {
    this.child.kill(name);
  }

  /** Resolves with the exit code; null when a signal ended the process. */
  waitForExit(): Promise<number | null> {
    return this.exitCode;
  }

  /** Ends the process at once. */
  async kill(): Promise<void> {
    this.child.kill('SIGKILL');
    await this.exitCode;
  }
}
