import * as timers from 'node:timers/promises';
import * as platformCell from '../stand_ins/platform_cell.js';
import * as processMeter from './process_meter.js';
import type * as benchRow from './bench_row.js';

/** Sizes of the cell. */
const WORKER_COUNTS = [33, 100, 300];

/** Jobs handed in a second, each with `TASKS` tasks. */
const JOB_RATES = [0, 2, 8];
const TASKS = 10;

/** Time of a task. */
const RUNTIME_MS = 1_000;

/** Time for the code to be compiled and for the backlog to be even. */
const SETTLE_MS = 6_000;

/** Time over which rates are taken. */
const MEASURE_MS = 10_000;

const PROCESSES = 2;

/** Milliseconds of processor in a second at 1 %. */
const MS_PER_PERCENT = 10;

/** Uses of the two processes during a measurement. */
interface CellUse {
  readonly scheduler: processMeter.ProcessUse;
  readonly other: processMeter.ProcessUse;
  readonly startsPerSecond: number;
}

/** Hands jobs in at a rate until it is stopped. */
class Load {
  private stopped = false;
  private next = 0;

  constructor(
    private readonly cell: platformCell.PlatformCell,
    private readonly jobsPerSecond: number,
  ) {}

  async run(): Promise<void> {
    if (this.jobsPerSecond === 0) return;
    const entry = this.cell.processes[1];
    const start = performance.now();
    while (!this.stopped) {
      this.next += 1;
      const id = platformCell.jobIdOf(this.next);
      void this.cell.call(entry, 'POST', id, JOB);
      const due = start + (1_000 * this.next) / this.jobsPerSecond;
      await timers.setTimeout(Math.max(0, due - performance.now()));
    }
  }

  stop(): void {
    this.stopped = true;
  }
}

const JOB = {
  spec: '{}',
  steps: [{count: TASKS, cpu: 1_000, mem_mb: 512, est_runtime_ms: RUNTIME_MS}],
};

/** Measures the platform's processes from outside, over stand-ins. */
export async function measureCell(): Promise<ReadonlyArray<benchRow.BenchRow>> {
  const rows: benchRow.BenchRow[] = [];
  for (const workers of WORKER_COUNTS) {
    for (const rate of JOB_RATES) {
      rows.push(...rowsOf(workers, await measureAt(workers, rate)));
    }
  }
  return rows;
}

async function measureAt(workers: number, rate: number): Promise<CellUse> {
  const cell = await platformCell.PlatformCell.start({
    processes: PROCESSES,
    workers,
    runs: () => ({runtimeMs: RUNTIME_MS, how: 'done'}),
    command: [process.execPath, 'target/parsleyknot.cjs'],
  });
  const load = new Load(cell, rate);
  void load.run();
  await timers.setTimeout(SETTLE_MS);
  const leader = cell.leader();
  const others = cell.processes.filter(item => item !== leader);
  const startsBefore = cell.startCount();
  const earlier = [leader, ...others].map(readUse);
  await timers.setTimeout(MEASURE_MS);
  const later = [leader, ...others].map(readUse);
  const [scheduler, other] = later.map((reading, index) =>
    processMeter.useBetween(earlier[index], reading),
  );
  const starts = cell.startCount() - startsBefore;
  load.stop();
  await cell.stop();
  return {scheduler, other, startsPerSecond: (starts * 1_000) / MEASURE_MS};
}

function readUse(item: platformCell.CellProcess): processMeter.ProcessReading {
  return processMeter.readProcess(item.child.pid);
}

function rowsOf(
  workers: number,
  {scheduler, other, startsPerSecond}: CellUse,
): ReadonlyArray<benchRow.BenchRow> {
  const where = `cell, ${workers} workers, ${startsPerSecond.toFixed(0)} starts/s`;
  const rows: benchRow.BenchRow[] = [
    row(`${where}: scheduler`, scheduler.processorPercent, '% of a core'),
    row(`${where}: scheduler`, scheduler.residentMebibytes, 'MiB'),
    row(`${where}: scheduler`, scheduler.bytesPerSecond / 1_000, 'KB/s'),
    row(`${where}: other process`, other.processorPercent, '% of a core'),
    row(`${where}: other process`, other.residentMebibytes, 'MiB'),
    row(`${where}: other process`, other.bytesPerSecond / 1_000, 'KB/s'),
  ];
  if (startsPerSecond === 0) return rows;
  const milliseconds = scheduler.processorPercent * MS_PER_PERCENT;
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
