import * as spawnedProcess from '../../stand_ins/spawned_process.js';
import * as httpCall from './http_call.js';

/** Stand-in that runs as a child process of the test. */
export class StandInProcess {
  private constructor(
    private readonly child: spawnedProcess.SpawnedProcess,
    /** Address on which it listens. */
    readonly address: string,
  ) {}

  /** Starts `stand_ins/<name>_main.ts` and waits until it listens. */
  static async start(
    name: string,
    commandArguments: ReadonlyArray<string> = [],
  ): Promise<StandInProcess> {
    const child = new spawnedProcess.SpawnedProcess(process.execPath, [
      `build/stand_ins/${name}_main.js`,
      ...commandArguments,
    ]);
    const line = await child.waitForLine(/event=listening/);
    const address = /address=(\S+)/.exec(line)?.[1] ?? '';
    return new StandInProcess(child, address);
  }

  /** Posts a change, such as injected failures, to /control. */
  async control(change: unknown): Promise<void> {
    await httpCall.callJson(this.address, 'POST', '/control', change);
  }

  /** Returns the state that the stand-in shows at /control. */
  async observe(): Promise<Readonly<Record<string, unknown>>> {
    const answer = await httpCall.callJson(this.address, 'GET', '/control');
    return answer.body;
  }

  /** Sends SIGKILL and waits for the process to exit. */
  kill(): Promise<void> {
    return this.child.kill();
  }
}
