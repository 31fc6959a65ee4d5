import * as spawnedProcess from '../../stand_ins/spawned_process.js';
import * as httpCall from './http_call.js';

/** A stand-in that runs as a process of its own. */
export class StandInProcess {
  private constructor(
    private readonly child: spawnedProcess.SpawnedProcess,
    /** Where it listens. */
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

  /** Changes the stand-in, for example its failures. */
  async control(change: unknown): Promise<void> {
    await httpCall.callJson(this.address, 'POST', '/control', change);
  }

  /** What the stand-in has seen. */
  async observe(): Promise<Readonly<Record<string, unknown>>> {
    const answer = await httpCall.callJson(this.address, 'GET', '/control');
    return answer.body;
  }

  /** Ends the process at once. */
  kill(): Promise<void> {
    return this.child.kill();
  }
}
