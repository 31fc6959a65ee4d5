// Demonstration: runs jobs on three scheduler processes with stand-ins for the
// platform, kills the leader during the second phase, and prints the outcome.
import * as timers from 'node:timers/promises';
import * as platformCell from './platform_cell.js';

const PROCESS_COUNT = 3;
const WORKER_COUNT = 6;
const TASK_RUN_TIME_MS = 300;
const JOBS_PER_PHASE = 24;
const FIRST_STEP_TASKS = 4;

/** Time between two submissions. */
const JOB_INTERVAL_MS = 60;

/** Time between two status calls for a job. */
const POLL_INTERVAL_MS = 50;

/** Time within which an accepted job has to end. */
const JOB_TIMEOUT_MS = 20_000;

/** Attempts to submit a job, and the delay before each repetition. */
const MAXIMUM_ATTEMPTS = 8;
const RETRY_DELAY_MS = 250;

const JOB_REQUEST = {
  spec: '{}',
  steps: [
    {
      count: FIRST_STEP_TASKS,
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

/** Final state of one job, attempts to submit it, and its duration. */
interface JobOutcome {
  readonly state: string;
  readonly attempts: number;
  readonly durationMs: number;
}

/** Submits the jobs of both phases and reports on them. */
class PlatformDemonstration {
  private submittedJobs = 0;

  constructor(private readonly cell: platformCell.PlatformCell) {}

  async run(): Promise<void> {
    const calm = await this.runPhase('calm', () => {});
    const failover = await this.runPhase('scheduler killed', index => {
      if (index === JOBS_PER_PHASE / 2) void this.cell.leader().child.kill();
    });
    this.printTotals([...calm, ...failover]);
  }

  private async runPhase(
    name: string,
    beforeJob: (index: number) => void,
  ): Promise<ReadonlyArray<JobOutcome>> {
    const jobs: Array<Promise<JobOutcome>> = [];
    for (let index = 0; index < JOBS_PER_PHASE; index += 1) {
      beforeJob(index);
      this.submittedJobs += 1;
      jobs.push(this.runJob(this.submittedJobs));
      await timers.setTimeout(JOB_INTERVAL_MS);
    }
    const outcomes = await Promise.all(jobs);
    const completed = outcomes.filter(({state}) => state === 'completed');
    const durationsMs = completed
      .map(({durationMs}) => durationMs)
      .sort(ascending);
    console.log(
      `${name.padEnd(18)} jobs ${JOBS_PER_PHASE}  completed ${completed.length}` +
        `  median ${Math.round(durationsMs[durationsMs.length >> 1] ?? 0)} ms` +
        `  longest ${Math.round(durationsMs.at(-1) ?? 0)} ms`,
    );
    return outcomes;
  }

  private async runJob(jobNumber: number): Promise<JobOutcome> {
    const id = platformCell.jobIdOf(jobNumber);
    const startedAtMs = performance.now();
    let attempts = 0;
    let status = 0;
    while (status !== 200 && attempts < MAXIMUM_ATTEMPTS) {
      if (attempts > 0) await timers.setTimeout(RETRY_DELAY_MS);
      const target =
        this.cell.processes[(jobNumber + attempts) % PROCESS_COUNT];
      ({status} = await this.cell.callJobApi(target, 'POST', id, JOB_REQUEST));
      attempts += 1;
    }
    const state = status === 200 ? await this.waitForEnd(id) : 'not accepted';
    return {
      state,
      attempts,
      durationMs: performance.now() - startedAtMs,
    };
  }

  private async waitForEnd(id: string): Promise<string> {
    const deadlineMs = performance.now() + JOB_TIMEOUT_MS;
    for (let poll = 0; performance.now() < deadlineMs; poll += 1) {
      const target = this.cell.processes[poll % PROCESS_COUNT];
      const {status, body} = await this.cell.callJobApi(target, 'GET', id);
      const ended = body.state === 'completed' || body.state === 'failed';
      if (status === 200 && ended) return String(body.state);
      await timers.setTimeout(POLL_INTERVAL_MS);
    }
    return 'not finished';
  }

  private printTotals(outcomes: ReadonlyArray<JobOutcome>): void {
    const attempts = outcomes.reduce((sum, job) => sum + job.attempts, 0);
    const startedTasks = new Set<string>();
    let restartCount = 0;
    for (const {events} of this.cell.workers) {
      for (const {kind, task} of events) {
        if (kind !== 'started') continue;
        if (startedTasks.has(task)) restartCount += 1;
        startedTasks.add(task);
      }
    }
    console.log(`calls that submitted a job     ${attempts}`);
    console.log(`tasks that were started        ${startedTasks.size}`);
    console.log(`of them started again          ${restartCount}`);
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
