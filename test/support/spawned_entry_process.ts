import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as spawnedProcess from '../../stand_ins/spawned_process.js';

/** Settings of one entry process that a test starts. */
export interface EntryOptions {
  readonly vm: string;
  readonly zone: string;
  readonly region: string;
  readonly log: string;
  readonly vmList: string;
}

/** The program as the compiler leaves it. */
const COMPILED_PROGRAM: ReadonlyArray<string> = [
  process.execPath,
  'build/src/main.js',
];

/** An entry process that runs apart from the test. */
export class SpawnedEntryProcess {
  private constructor(
    private readonly child: spawnedProcess.SpawnedProcess,
    private readonly folder: string,
    /** Address for callers. */
    readonly address: string,
    /** Address for other entry processes. */
    readonly peerAddress: string,
    /** Name of this incarnation. */
    readonly incarnation: string,
  ) {}

  /** Starts a process and waits until it says that it serves. */
  static async start(
    options: EntryOptions,
    program = COMPILED_PROGRAM,
  ): Promise<SpawnedEntryProcess> {
    const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'entry-'));
    const config = path.join(folder, 'settings.toml');
    const settings = {...options, host: '127.0.0.1'};
    const lines = Object.entries(settings).map(
      ([key, value]) => `${key} = ${JSON.stringify(value)}`,
    );
    lines.push('callerPort = 0', 'peerPort = 0');
    fs.writeFileSync(config, `${lines.join('\n')}\n`);
    const [command, ...before] = program;
    const child = new spawnedProcess.SpawnedProcess(command, [
      ...before,
      'serve',
      '--config',
      config,
    ]);
    const line = await child.waitForLine(/event=serving/);
    const port = /\bport=(\d+)/.exec(line)?.[1] ?? '';
    const peerPort = /\bpeerPort=(\d+)/.exec(line)?.[1] ?? '';
    const name = /process=(\S+)/.exec(line)?.[1] ?? '';
    return new SpawnedEntryProcess(
      child,
      folder,
      `127.0.0.1:${port}`,
      `127.0.0.1:${peerPort}`,
      name,
    );
  }

  /** Number of the process. */
  get pid(): number {
    return this.child.pid;
  }

  /** Lines that the process has logged. */
  get lines(): ReadonlyArray<string> {
    return this.child.lines;
  }

  /** Sends a signal, such as SIGSTOP. */
  signal(name: NodeJS.Signals): void {
    this.child.signal(name);
  }

  /** Resolves with the exit code. */
  waitForExit(): Promise<number | null> {
    return this.child.waitForExit();
  }

  /** Ends the process at once. */
  async kill(): Promise<void> {
    await this.child.kill();
    fs.rmSync(this.folder, {recursive: true, force: true});
  }
}
