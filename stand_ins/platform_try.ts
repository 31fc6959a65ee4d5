// Runs the platform's processes over the stand-ins, kills the one that
// schedules in the middle of work, and prints what happened.
import * as timers from 'node:timers/promises';
import * as platformCell from './platform_cell.js';

const PROCESS_COUNT = 3;
const WORKER_COUNT = 6;
const TASK_RUN_TIME_MS = 300;
const JOBS_PER_PHASE = 24;
const TASKS_PER_JOB = 4;

/** Time between two jobs. */
const JOB_INTERVAL_MS = 60;

/** Time between two looks at a job. */
const POLL_INTERVAL_MS = 50;

/** Time after which a job counts as not finished. */
const JOB_TIMEOUT_MS = 20_000;

/** Tries of a job that is told to come back, and the pause before each. */
const MAX_ATTEMPTS = 8;
const RETRY_DELAY_MS = 250;

const JOB = {
  spec: '{}',
  steps: [
    {
      count: TASKS_PER_JOB,
      cpu: 1_000,
      mem_mb: 512,
      est_runtime_ms: TASK_RUN_TIME_MS,
    },
    {
      count: 1,
      cpu: 500,
      mem_mb: 256,
      est_runtime_ms: TASK_RUN_TIME_MS,
      after: [0],
    },
  ],
};

/** What became of one job. */
interface JobOutcome {
  readonly state: string;
  readonly attempts: number;
  readonly durationMs: number;
}

/** One run of the demonstration. */
class PlatformDemonstration {
  private submittedJobs = 0;

  constructor(private readonly cell: platformCell.PlatformCell) {}

  async run(): Promise<void> {
    const calm = await this.runPhase('calm', () => {});
    const loss = await this.runPhase('scheduler killed', index => {
      if (index === JOBS_PER_PHASE / 2) void this.cell.leader().child.kill();
    });
    this.printTotals([...calm, ...loss]);
  }

  private async runPhase(
    name: string,
    atJob: (index: number) => void,
  ): Promise<ReadonlyArray<JobOutcome>> {
    const jobs: Array<Promise<JobOutcome>> = [];
    for (let index = 0; index < JOBS_PER_PHASE; index += 1) {
      atJob(index);
      this.submittedJobs += 1;
      jobs.push(this.runJob(this.submittedJobs));
      await timers.setTimeout(JOB_INTERVAL_MS);
    }
    const reports = await Promise.all(jobs);
    const completed = reports.filter(({state}) => state === 'completed');
    const durationsMs = completed
      .map(({durationMs}) => durationMs)
      .sort(ascending);
    console.log(
      `${name.padEnd(18)} jobs ${JOBS_PER_PHASE}  completed ${completed.length}` +
        `  median ${Math.round(durationsMs[durationsMs.length >> 1] ?? 0)} ms` +
        `  longest ${Math.round(durationsMs.at(-1) ?? 0)} ms`,
    );
    return reports;
  }

  private async runJob(number: number): Promise<JobOutcome> {
    const id = platformCell.jobIdOf(number);
    const startedAt = performance.now();
    let attempts = 0;
    let status = 0;
    while (status !== 200 && attempts < MAX_ATTEMPTS) {
      if (attempts > 0) await timers.setTimeout(RETRY_DELAY_MS);
      const entry = this.cell.processes[(number + attempts) % PROCESS_COUNT];
      ({status} = await this.cell.callFront(entry, 'POST', id, JOB));
      attempts += 1;
    }
    const state = status === 200 ? await this.awaitEnd(id) : 'not accepted';
    return {
      state,
      attempts,
      durationMs: performance.now() - startedAt,
    };
  }

  private async awaitEnd(id: string): Promise<string> {
    const until = performance.now() + JOB_TIMEOUT_MS;
    for (let look = 0; performance.now() < until; look += 1) {
      const entry = this.cell.processes[look % PROCESS_COUNT];
      const {status, body} = await this.cell.callFront(entry, 'GET', id);
      const ended = body.state === 'completed' || body.state === 'failed';
      if (status === 200 && ended) return String(body.state);
      await timers.setTimeout(POLL_INTERVAL_MS);
    }
    return 'not finished';
  }

  private printTotals(reports: ReadonlyArray<JobOutcome>): void {
    const attempts = reports.reduce((sum, job) => sum + job.attempts, 0);
    const starts = new Set<string>();
    let again = 0;
    for (const {events} of this.cell.workers) {
      for (const {kind, task} of events) {
        if (kind !== 'started') continue;
        if (starts.has(task)) again += 1;
        starts.add(task);
      }
    }
    console.log(`calls that handed a job in     ${attempts}`);
    console.log(`tasks that were started        ${starts.size}`);
    console.log(`of them started again          ${again}`);
  }
}

function ascending(left: number, right: number): number {
  return left - right;
}

const cell = await platformCell.PlatformCell.start({
  processCount: PROCESS_COUNT,
  workerCount: WORKER_COUNT,
  runPlan: () => ({runTimeMs: TASK_RUN_TIME_MS, outcome: 'done'}),
});
console.log(
  `\n${PROCESS_COUNT} processes on the platform's stand-ins, ${WORKER_COUNT} workers`,
);
await new PlatformDemonstration(cell).run();
await cell.stop();
