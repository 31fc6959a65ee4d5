import * as timers from 'node:timers/promises';
import * as platformCell from '../stand_ins/platform_cell.js';
import * as processMeter from './process_meter.js';
import type * as benchRow from './bench_row.js';

/** Sizes of the cell. */
const WORKER_COUNTS = [33, 100, 300];

/** Jobs handed in a second, each with `TASKS` tasks. */
const JOBS_PER_SECOND = [0, 2, 8];
const TASKS_PER_JOB = 10;

/** Time of a task. */
const TASK_RUN_TIME_MS = 1_000;

/** Time for the code to be compiled and for the backlog to be even. */
const WARM_UP_MS = 6_000;

/** Time over which rates are taken. */
const MEASUREMENT_MS = 10_000;

const PROCESS_COUNT = 2;

/** Milliseconds of processor in a second at 1 %. */
const CPU_MS_PER_SECOND_PERCENT = 10;

/** Uses of the two processes during a measurement. */
interface CellUsage {
  readonly scheduler: processMeter.ProcessUsage;
  readonly other: processMeter.ProcessUsage;
  readonly startsPerSecond: number;
}

/** Hands jobs in at a rate until it is stopped. */
class JobLoad {
  private stopped = false;
  private lastJobNumber = 0;

  constructor(
    private readonly cell: platformCell.PlatformCell,
    private readonly jobsPerSecond: number,
  ) {}

  async run(): Promise<void> {
    if (this.jobsPerSecond === 0) return;
    const entry = this.cell.processes[1];
    const start = performance.now();
    while (!this.stopped) {
      this.lastJobNumber += 1;
      const id = platformCell.jobIdOf(this.lastJobNumber);
      void this.cell.callFront(entry, 'POST', id, JOB);
      const due = start + (1_000 * this.lastJobNumber) / this.jobsPerSecond;
      await timers.setTimeout(Math.max(0, due - performance.now()));
    }
  }

  stop(): void {
    this.stopped = true;
  }
}

const JOB = {
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

/** Measures the platform's processes from outside, over stand-ins. */
export async function measureCell(): Promise<ReadonlyArray<benchRow.BenchRow>> {
  const rows: benchRow.BenchRow[] = [];
  for (const workerCount of WORKER_COUNTS) {
    for (const rate of JOBS_PER_SECOND) {
      rows.push(...rowsOf(workerCount, await measureAt(workerCount, rate)));
    }
  }
  return rows;
}

async function measureAt(
  workerCount: number,
  rate: number,
): Promise<CellUsage> {
  const cell = await platformCell.PlatformCell.start({
    processCount: PROCESS_COUNT,
    workerCount,
    runPlan: () => ({runTimeMs: TASK_RUN_TIME_MS, outcome: 'done'}),
    command: [process.execPath, 'target/parsleyknot.cjs'],
  });
  const load = new JobLoad(cell, rate);
  void load.run();
  await timers.setTimeout(WARM_UP_MS);
  const leader = cell.leader();
  const others = cell.processes.filter(item => item !== leader);
  const startsBefore = cell.startCount();
  const earlier = [leader, ...others].map(readUsage);
  await timers.setTimeout(MEASUREMENT_MS);
  const later = [leader, ...others].map(readUsage);
  const [scheduler, other] = later.map((reading, index) =>
    processMeter.usageBetween(earlier[index], reading),
  );
  const starts = cell.startCount() - startsBefore;
  load.stop();
  await cell.stop();
  return {scheduler, other, startsPerSecond: (starts * 1_000) / MEASUREMENT_MS};
}

function readUsage(
  item: platformCell.CellProcess,
): processMeter.ProcessReading {
  return processMeter.readProcess(item.child.pid);
}

function rowsOf(
  workerCount: number,
  {scheduler, other, startsPerSecond}: CellUsage,
): ReadonlyArray<benchRow.BenchRow> {
  const where = `cell, ${workerCount} workers, ${startsPerSecond.toFixed(0)} starts/s`;
  const rows: benchRow.BenchRow[] = [
    row(`${where}: scheduler`, scheduler.processorPercent, '% of a core'),
    row(`${where}: scheduler`, scheduler.residentMebibytes, 'MiB'),
    row(`${where}: scheduler`, scheduler.bytesPerSecond / 1_000, 'KB/s'),
    row(`${where}: other process`, other.processorPercent, '% of a core'),
    row(`${where}: other process`, other.residentMebibytes, 'MiB'),
    row(`${where}: other process`, other.bytesPerSecond / 1_000, 'KB/s'),
  ];
  if (startsPerSecond === 0) return rows;
  const milliseconds = scheduler.processorPercent * CPU_MS_PER_SECOND_PERCENT;
  const perStart = milliseconds / startsPerSecond;
  return [...rows, row(`${where}: scheduler, a start`, perStart, 'ms')];
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
