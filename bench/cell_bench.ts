import * as timers from 'node:timers/promises';
import * as platformCell from '../stand_ins/platform_cell.js';
import * as processMeter from './process_meter.js';
import type * as benchRow from './bench_row.js';

/** Numbers of workers of the measured cells. */
const WORKER_COUNTS = [33, 100, 300];

/** Rates at which jobs are submitted, each with `TASKS_PER_JOB` tasks. */
const JOBS_PER_SECOND = [0, 2, 8];
const TASKS_PER_JOB = 10;

/** Run time of each task. */
const TASK_RUN_TIME_MS = 1_000;

/** Time for JIT compilation and for the backlog to become steady. */
const WARM_UP_MS = 6_000;

/** Time over which usage and rates are measured. */
const MEASUREMENT_MS = 10_000;

const PROCESS_COUNT = 2;

/** CPU time per second, in milliseconds, of 1 % of a core. */
const CPU_MS_PER_SECOND_PERCENT = 10;

/** Usage of the process that runs the scheduler and of the other process. */
interface CellUsage {
  readonly scheduler: processMeter.ProcessUsage;
  readonly other: processMeter.ProcessUsage;
  readonly startsPerSecond: number;
}

/** Submits jobs at a constant rate until it is stopped. */
class JobGenerator {
  private stopped = false;
  private lastJobNumber = 0;

  constructor(
    private readonly cell: platformCell.PlatformCell,
    private readonly jobsPerSecond: number,
  ) {}

  async run(): Promise<void> {
    if (this.jobsPerSecond === 0) return;
    const target = this.cell.processes[1];
    const startedAtMs = performance.now();
    while (!this.stopped) {
      this.lastJobNumber += 1;
      const id = platformCell.jobIdOf(this.lastJobNumber);
      void this.cell.callJobApi(target, 'POST', id, JOB_REQUEST);
      const dueMs =
        startedAtMs + (1_000 * this.lastJobNumber) / this.jobsPerSecond;
      await timers.setTimeout(Math.max(0, dueMs - performance.now()));
    }
  }

  stop(): void {
    this.stopped = true;
  }
}

const JOB_REQUEST = {
  spec: '{}',
  steps: [
    {
      count: TASKS_PER_JOB,
      cpu: 1_000,
      mem_mb: 512,
      est_runtime_ms: TASK_RUN_TIME_MS,
    },
  ],
};

/** Measures the resource usage of scheduler processes over stand-ins. */
export async function measureCell(): Promise<ReadonlyArray<benchRow.BenchRow>> {
  const rows: benchRow.BenchRow[] = [];
  for (const workerCount of WORKER_COUNTS) {
    for (const jobsPerSecond of JOBS_PER_SECOND) {
      rows.push(
        ...rowsOf(workerCount, await measureAt(workerCount, jobsPerSecond)),
      );
    }
  }
  return rows;
}

async function measureAt(
  workerCount: number,
  jobsPerSecond: number,
): Promise<CellUsage> {
  const cell = await platformCell.PlatformCell.start({
    processCount: PROCESS_COUNT,
    workerCount,
    runPlan: () => ({runTimeMs: TASK_RUN_TIME_MS, outcome: 'done'}),
    command: [process.execPath, 'target/parsleyknot.cjs'],
  });
  const generator = new JobGenerator(cell, jobsPerSecond);
  void generator.run();
  await timers.setTimeout(WARM_UP_MS);
  const leader = cell.leader();
  const others = cell.processes.filter(item => item !== leader);
  const startsBefore = cell.startCount();
  const earlier = [leader, ...others].map(readCellProcess);
  await timers.setTimeout(MEASUREMENT_MS);
  const later = [leader, ...others].map(readCellProcess);
  const [scheduler, other] = later.map((reading, index) =>
    processMeter.usageBetween(earlier[index], reading),
  );
  const starts = cell.startCount() - startsBefore;
  generator.stop();
  await cell.stop();
  return {scheduler, other, startsPerSecond: (starts * 1_000) / MEASUREMENT_MS};
}

function readCellProcess(
  item: platformCell.CellProcess,
): processMeter.ProcessReading {
  return processMeter.readProcess(item.child.pid);
}

function rowsOf(
  workerCount: number,
  {scheduler, other, startsPerSecond}: CellUsage,
): ReadonlyArray<benchRow.BenchRow> {
  const scenario = `cell, ${workerCount} workers, ${startsPerSecond.toFixed(0)} starts/s`;
  const rows: benchRow.BenchRow[] = [
    row(`${scenario}: scheduler`, scheduler.processorPercent, '% of a core'),
    row(`${scenario}: scheduler`, scheduler.residentMebibytes, 'MiB'),
    row(`${scenario}: scheduler`, scheduler.bytesPerSecond / 1_000, 'KB/s'),
    row(`${scenario}: other process`, other.processorPercent, '% of a core'),
    row(`${scenario}: other process`, other.residentMebibytes, 'MiB'),
    row(`${scenario}: other process`, other.bytesPerSecond / 1_000, 'KB/s'),
  ];
  if (startsPerSecond === 0) return rows;
  const cpuMsPerSecond = scheduler.processorPercent * CPU_MS_PER_SECOND_PERCENT;
  const cpuMsPerStart = cpuMsPerSecond / startsPerSecond;
  return [...rows, row(`${scenario}: scheduler, a start`, cpuMsPerStart, 'ms')];
}

function row(name: string, figure: number, unit: string): benchRow.BenchRow {
  return {
    name: `${name}, ${unit}`,
    figure,
    unit,
    seed: 0,
    goal: '',
    baseline: '',
  };
}
