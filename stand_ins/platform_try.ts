// Runs the platform's processes over the stand-ins, kills the one that
// schedules in the middle of work, and prints what happened.
import * as timers from 'node:timers/promises';
import * as platformCell from './platform_cell.js';

const PROCESSES = 3;
const WORKERS = 6;
const RUNTIME_MS = 300;
const JOBS = 24;
const TASKS = 4;

/** Time between two jobs. */
const JOB_GAP_MS = 60;

/** Time between two looks at a job. */
const LOOK_MS = 50;

/** Time after which a job counts as not finished. */
const PATIENCE_MS = 20_000;

/** Tries of a job that is told to come back, and the pause before each. */
const TRIES = 8;
const TRY_PAUSE_MS = 250;

const JOB = {
  spec: '{}',
  steps: [
    {count: TASKS, cpu: 1_000, mem_mb: 512, est_runtime_ms: RUNTIME_MS},
    {count: 1, cpu: 500, mem_mb: 256, est_runtime_ms: RUNTIME_MS, after: [0]},
  ],
};

/** What became of one job. */
interface JobReport {
  readonly state: string;
  readonly tries: number;
  readonly milliseconds: number;
}

/** One run of the demonstration. */
class PlatformTry {
  private handedIn = 0;

  constructor(private readonly cell: platformCell.PlatformCell) {}

  async run(): Promise<void> {
    const calm = await this.phase('calm', () => {});
    const loss = await this.phase('scheduler killed', index => {
      if (index === JOBS / 2) void this.cell.leader().child.kill();
    });
    this.report([...calm, ...loss]);
  }

  private async phase(
    name: string,
    atJob: (index: number) => void,
  ): Promise<ReadonlyArray<JobReport>> {
    const jobs: Array<Promise<JobReport>> = [];
    for (let index = 0; index < JOBS; index += 1) {
      atJob(index);
      this.handedIn += 1;
      jobs.push(this.runJob(this.handedIn));
      await timers.setTimeout(JOB_GAP_MS);
    }
    const reports = await Promise.all(jobs);
    const done = reports.filter(({state}) => state === 'completed');
    const times = done.map(({milliseconds}) => milliseconds).sort(ascending);
    console.log(
      `${name.padEnd(18)} jobs ${JOBS}  completed ${done.length}` +
        `  median ${Math.round(times[times.length >> 1] ?? 0)} ms` +
        `  longest ${Math.round(times.at(-1) ?? 0)} ms`,
    );
    return reports;
  }

  private async runJob(number: number): Promise<JobReport> {
    const id = platformCell.jobIdOf(number);
    const startedAt = performance.now();
    let tries = 0;
    let status = 0;
    while (status !== 200 && tries < TRIES) {
      if (tries > 0) await timers.setTimeout(TRY_PAUSE_MS);
      const entry = this.cell.processes[(number + tries) % PROCESSES];
      ({status} = await this.cell.call(entry, 'POST', id, JOB));
      tries += 1;
    }
    const state = status === 200 ? await this.awaitEnd(id) : 'not accepted';
    return {state, tries, milliseconds: performance.now() - startedAt};
  }

  private async awaitEnd(id: string): Promise<string> {
    const until = performance.now() + PATIENCE_MS;
    for (let look = 0; performance.now() < until; look += 1) {
      const entry = this.cell.processes[look % PROCESSES];
      const {status, body} = await this.cell.call(entry, 'GET', id);
      const ended = body.state === 'completed' || body.state === 'failed';
      if (status === 200 && ended) return String(body.state);
      await timers.setTimeout(LOOK_MS);
    }
    return 'not finished';
  }

  private report(reports: ReadonlyArray<JobReport>): void {
    const tries = reports.reduce((sum, job) => sum + job.tries, 0);
    const starts = new Set<string>();
    let again = 0;
    for (const {events} of this.cell.workers) {
      for (const {kind, task} of events) {
        if (kind !== 'started') continue;
        if (starts.has(task)) again += 1;
        starts.add(task);
      }
    }
    console.log(`calls that handed a job in     ${tries}`);
    console.log(`tasks that were started        ${starts.size}`);
    console.log(`of them started again          ${again}`);
  }
}

function ascending(left: number, right: number): number {
  return left - right;
}

const cell = await platformCell.PlatformCell.start({
  processes: PROCESSES,
  workers: WORKERS,
  runs: () => ({runtimeMs: RUNTIME_MS, how: 'done'}),
});
console.log(
  `\n${PROCESSES} processes on the platform's stand-ins, ${WORKERS} workers`,
);
await new PlatformTry(cell).run();
await cell.stop();
