import * as childProcess from 'node:child_process';

/** Time within which an expected line has to appear. */
const LINE_TIMEOUT_MS = 20_000;

/** Children that have not exited; they end with this process. */
const runningChildren = new Set<childProcess.ChildProcess>();

process.once('exit', () => {
  for (const child of runningChildren) child.kill('SIGKILL');
});

/** A child process of a test and the lines it has printed. */
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
    runningChildren.add(this.child);
    this.exitCode = new Promise(resolve =>
      this.child.once('exit', code => {
        runningChildren.delete(this.child);
        resolve(code);
      }),
    );
    let partialLine = '';
    this.child.stdout?.on('data', (chunk: Buffer) => {
      const lines = (partialLine + chunk.toString()).split('\n');
      partialLine = lines.pop() ?? '';
      this.lines.push(...lines);
    });
  }

  /** Process ID; 0 when the process could not be started. */
  get pid(): number {
    return this.child.pid ?? 0;
  }

  /**
   * Waits for a line that matches `pattern`. Kills the process and throws when
   * it exits first or prints no such line in time.
   */
  async waitForLine(pattern: RegExp): Promise<string> {
    let exited = false;
    void this.exitCode.then(() => (exited = true));
    const startedAtMs = performance.now();
    while (performance.now() - startedAtMs < LINE_TIMEOUT_MS) {
      const matchingLine = this.lines.find(item => pattern.test(item));
      if (matchingLine !== undefined) return matchingLine;
      if (exited) break;
      await new Promise(resolve => setTimeout(resolve, 10));
    }
    await this.kill();
    throw new Error(
      `process ${this.pid} printed no line matching ${pattern} before it ` +
        `exited or within ${LINE_TIMEOUT_MS} ms; it printed ` +
        `${this.lines.length} lines`,
    );
  }

  /** Sends a signal such as SIGSTOP to the process. */
  signal(name: NodeJS.Signals): void {
    this.child.kill(name);
  }

  /** Resolves to the exit code, or to null if a signal ended the process. */
  waitForExit(): Promise<number | null> {
    return this.exitCode;
  }

  /** Sends SIGKILL and waits for the process to exit. */
  async kill(): Promise<void> {
    this.child.kill('SIGKILL');
    await this.exitCode;
  }
}
