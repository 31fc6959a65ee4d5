import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as spawnedProcess from '../../stand_ins/spawned_process.js';

/** Settings under which a test starts an entry process. */
export interface EntryOptions {
  readonly vm: string;
  readonly zone: string;
  readonly region: string;
  readonly log: string;
  readonly vmList: string;
}

/** Command of the compiled program. */
const COMPILED_PROGRAM: ReadonlyArray<string> = [
  process.execPath,
  'build/src/main.js',
];

/** Entry process that runs as a child process of the test. */
export class SpawnedEntryProcess {
  private constructor(
    private readonly child: spawnedProcess.SpawnedProcess,
    private readonly folder: string,
    /** Address on which clients call the process. */
    readonly address: string,
    /** Address on which other entry processes call it. */
    readonly peerAddress: string,
    /** Name of the incarnation that was started. */
    readonly incarnation: string,
  ) {}

  /** Starts a process and waits until it logs that it serves. */
  static async start(
    options: EntryOptions,
    program = COMPILED_PROGRAM,
  ): Promise<SpawnedEntryProcess> {
    const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'entry-'));
    const settingsFile = path.join(folder, 'settings.toml');
    const settings = {...options, host: '127.0.0.1'};
    const lines = Object.entries(settings).map(
      ([key, value]) => `${key} = ${JSON.stringify(value)}`,
    );
    lines.push('callerPort = 0', 'peerPort = 0');
    fs.writeFileSync(settingsFile, `${lines.join('\n')}\n`);
    const [command, ...leadingArguments] = program;
    const child = new spawnedProcess.SpawnedProcess(command, [
      ...leadingArguments,
      'serve',
      '--config',
      settingsFile,
    ]);
    const line = await child.waitForLine(/event=serving/);
    const port = /\bport=(\d+)/.exec(line)?.[1] ?? '';
    const peerPort = /\bpeerPort=(\d+)/.exec(line)?.[1] ?? '';
    const incarnation = /process=(\S+)/.exec(line)?.[1] ?? '';
    return new SpawnedEntryProcess(
      child,
      folder,
      `127.0.0.1:${port}`,
      `127.0.0.1:${peerPort}`,
      incarnation,
    );
  }

  /** Process ID. */
  get pid(): number {
    return this.child.pid;
  }

  /** Lines that the process has logged so far. */
  get lines(): ReadonlyArray<string> {
    return this.child.lines;
  }

  /** Sends a signal such as SIGSTOP to the process. */
  signal(name: NodeJS.Signals): void {
    this.child.signal(name);
  }

  /** Resolves to the exit code, or to null if a signal ended the process. */
  waitForExit(): Promise<number | null> {
    return this.child.waitForExit();
  }

  /** Sends SIGKILL, waits for the exit and removes the settings. */
  async kill(): Promise<void> {
    await this.child.kill();
    fs.rmSync(this.folder, {recursive: true, force: true});
  }
}
