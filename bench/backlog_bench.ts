import * as backlogCell from '../test/support/backlog_cell.js';
import type * as benchRow from './bench_row.js';

/** Workers of the largest deployment that is measured. */
const WORKER_COUNT = 246;

/** Tasks that run on each worker; they take all its processors. */
const TASKS_PER_WORKER = 4;

/** Numbers of steps that wait for capacity. */
const BACKLOGS = [0, 100, 1_000] as const;

const WARM_UP_EVENTS = 100;

const MEASURED_EVENTS = 300;

const MEASURED_TICKS = 100;

/** Time between two events. */
const EVENT_INTERVAL_MS = 2;

/** Events between two ticks. */
const EVENTS_PER_TICK = 50;

interface BacklogFigures {
  /** Mean time that the placement after one event takes. */
  readonly meanMs: number;
  /** Duration of the longest turn. */
  readonly longestTurnMs: number;
  /** Mean time of a tick and its placement while nothing changes. */
  readonly unchangedMs: number;
}

/** A full cell in which runs end one after the other while steps wait. */
class BacklogRun {
  private readonly cell = new backlogCell.BacklogCell({
    workerCount: WORKER_COUNT,
  });
  private nextEnd = 0;
  private eventCount = 0;

  constructor(private readonly backlog: number) {}

  /** Measures the placement after each end of a run. */
  async measure(): Promise<BacklogFigures> {
    await this.cell.begin();
    this.cell.submit('fill', {count: WORKER_COUNT * TASKS_PER_WORKER});
    await this.settle();
    const jobCount = this.backlog + WARM_UP_EVENTS + MEASURED_EVENTS;
    for (let index = 0; index < this.backlog; index += 1) {
      this.cell.submit(`wait${index}`, {estimatedRuntimeMs: 600_000});
    }
    await this.settle();
    for (let index = 0; index < WARM_UP_EVENTS; index += 1) {
      await this.measureEvent(jobCount + index);
    }
    let totalMs = 0;
    let longestTurnMs = 0;
    for (let index = 0; index < MEASURED_EVENTS; index += 1) {
      for (const turn of await this.measureEvent(index)) {
        totalMs += turn.durationMs;
        longestTurnMs = Math.max(longestTurnMs, turn.durationMs);
      }
    }
    const unchangedMs = await this.measureUnchanged();
    return {meanMs: totalMs / MEASURED_EVENTS, longestTurnMs, unchangedMs};
  }

  /** Measures ticks between which nothing changes. */
  private async measureUnchanged(): Promise<number> {
    let totalMs = 0;
    for (let index = 0; index < MEASURED_TICKS; index += 1) {
      this.cell.nowMs += EVENT_INTERVAL_MS;
      const startedAtMs = performance.now();
      this.cell.scheduler.tick();
      totalMs += performance.now() - startedAtMs;
      const turns = await this.cell.runTurns();
      totalMs += turns.reduce((sum, turn) => sum + turn.durationMs, 0);
    }
    return totalMs / MEASURED_TICKS;
  }

  /** Ends one run, and submits a job so that the backlog stays the same. */
  private async measureEvent(
    index: number,
  ): Promise<ReadonlyArray<backlogCell.Turn>> {
    const {workers, scheduler} = this.cell;
    this.cell.nowMs += EVENT_INTERVAL_MS;
    this.cell.submit(`next${index}`, {estimatedRuntimeMs: 600_000});
    await this.settle();
    this.eventCount += 1;
    if (this.eventCount % EVENTS_PER_TICK === 0) scheduler.tick();
    workers.endRun(workers.starts[this.nextEnd]);
    this.nextEnd += 1;
    return this.cell.runTurns();
  }

  private async settle(): Promise<void> {
    await this.cell.runTurns();
  }
}

/** Measures the cost of placement after one event, by the backlog. */
export async function measureBacklog(): Promise<
  ReadonlyArray<benchRow.BenchRow>
> {
  const rows: benchRow.BenchRow[] = [];
  for (const backlog of BACKLOGS) {
    const figures = await new BacklogRun(backlog).measure();
    const name = `${WORKER_COUNT} workers, ${backlog} waiting steps`;
    rows.push(row(`placement after a run's end, ${name}`, figures.meanMs));
    rows.push(row(`longest turn, ${name}`, figures.longestTurnMs));
    rows.push(row(`tick without a change, ${name}`, figures.unchangedMs));
  }
  return rows;
}

function row(name: string, milliseconds: number): benchRow.BenchRow {
  const figure = Math.round(milliseconds * 1_000) / 1_000;
  return {name, figure, unit: 'ms', seed: 0, baseline: '', goal: ''};
}
