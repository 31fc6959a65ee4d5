import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';

/** Time for a process to say that it serves. */
const START_LIMIT_MS = 20_000;

/** Settings of one entry process that a test starts. */
export interface EntryOptions {
  readonly vm: string;
  readonly zone: string;
  readonly region: string;
  readonly log: string;
  readonly vmList: string;
}

/** An entry process that runs apart from the test. */
export class EntryProcess {
  private constructor(
    private readonly child: childProcess.ChildProcess,
    private readonly folder: string,
    /** Address for callers. */
    readonly address: string,
    /** Name of this incarnation. */
    readonly process: string,
  ) {}

  /** Starts a process and waits until it says that it serves. */
  static async start(options: EntryOptions): Promise<EntryProcess> {
    const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'entry-'));
    const config = path.join(folder, 'settings.toml');
    const settings = {...options, host: '127.0.0.1'};
    const lines = Object.entries(settings).map(
      ([key, value]) => `${key} = ${JSON.stringify(value)}`,
    );
    lines.push('callerPort = 0', 'peerPort = 0');
    fs.writeFileSync(config, `${lines.join('\n')}\n`);
    const child = childProcess.spawn(
      process.execPath,
      ['build/src/main.js', 'serve', '--config', config],
      {stdio: ['ignore', 'pipe', 'inherit']},
    );
    const line = await waitForLine(child, /event=serving/);
    const port = /port=(\d+)/.exec(line)?.[1] ?? '';
    const name = /process=(\S+)/.exec(line)?.[1] ?? '';
    return new EntryProcess(child, folder, `127.0.0.1:${port}`, name);
  }

  /** Sends a signal, such as SIGSTOP. */
  signal(name: NodeJS.Signals): void {
    this.child.kill(name);
  }

  /** Ends the process at once. */
  async kill(): Promise<void> {
    if (this.child.exitCode === null && this.child.signalCode === null) {
      const ended = new Promise(resolve => this.child.once('exit', resolve));
      this.child.kill('SIGKILL');
      await ended;
    }
    fs.rmSync(this.folder, {recursive: true, force: true});
  }
}

function waitForLine(
  child: childProcess.ChildProcess,
  pattern: RegExp,
): Promise<string> {
  return new Promise((resolve, reject) => {
    const timer = setTimeout(() => {
      child.kill('SIGKILL');
      reject(new Error(`no line with ${pattern} within ${START_LIMIT_MS} ms`));
    }, START_LIMIT_MS);
    let output = '';
    child.once('exit', code => reject(new Error(`exited with ${code}`)));
    child.stdout?.on('data', (chunk: Buffer) => {
      output += chunk.toString();
      const line = output.split('\n').find(item => pattern.test(item));
      if (line === undefined) return;
      clearTimeout(timer);
      resolve(line);
    });
  });
}
