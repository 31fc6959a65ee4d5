import * as timers from 'node:timers/promises';
import * as platformCell from '../../stand_ins/platform_cell.js';

/** Cell of real processes, with a load of jobs of one task each. */
export interface ProcessLoadScenario {
  readonly name: string;
  readonly workerCount: number;
  /** Thousandths of a core that each task reserves. */
  readonly taskProcessors: number;
  readonly capacityJobsPerSecond: number;
}

/** What the callers of one load got; rates are per second. */
export interface ProcessPhaseFigures {
  readonly factor: number;
  readonly offered: number;
  /** Tasks that ended in this phase while their jobs had value. */
  readonly served: number;
  readonly refusedCalls: number;
  /** Calls with any other response than an acceptance or a refusal. */
  readonly uncertainCalls: number;
}

/** Run time of each task. */
const TASK_RUN_TIME_MS = 1_000;

/** Age until which a job has value: three times its objective. */
const VALUE_MS = 6_000;

/** Calls that a caller makes for one job at most. */
const MAXIMUM_CALLS = 5;

const PROCESS_COUNT = 3;

const MILLISECONDS_PER_SECOND = 1_000;

interface ProcessPhase {
  readonly factor: number;
  readonly offeredCount: number;
  readonly refusedCount: number;
  readonly uncertainCount: number;
  readonly startedAtMs: number;
  readonly endedAtMs: number;
}

/** Measures the loads one after the other on one cell. */
export async function measureProcessLoadCurve(
  scenario: ProcessLoadScenario,
  factors: ReadonlyArray<number>,
  phaseMs: number,
): Promise<ReadonlyArray<ProcessPhaseFigures>> {
  const cell = await platformCell.PlatformCell.start({
    processCount: PROCESS_COUNT,
    workerCount: scenario.workerCount,
    runPlan: () => ({runTimeMs: TASK_RUN_TIME_MS, outcome: 'done'}),
    command: [process.execPath, 'target/parsleyknot.cjs'],
  });
  const callers = new ProcessCallers(cell, scenario.taskProcessors);
  const phases: ProcessPhase[] = [];
  for (const factor of factors) {
    const rate = factor * scenario.capacityJobsPerSecond;
    phases.push({factor, ...(await callers.offer(rate, phaseMs))});
  }
  const figures = phases.map(phase => figuresOf(cell, callers, phase));
  callers.stop();
  await cell.stop();
  return figures;
}

/** Callers of a cell of real processes. */
class ProcessCallers {
  /** When the first call of each job was made. */
  readonly sentAtMs = new Map<string, number>();
  private refusedCount = 0;
  private uncertainCount = 0;
  private stopped = false;

  constructor(
    private readonly cell: platformCell.PlatformCell,
    private readonly taskProcessors: number,
  ) {}

  stop(): void {
    this.stopped = true;
  }

  async offer(
    jobsPerSecond: number,
    durationMs: number,
  ): Promise<Omit<ProcessPhase, 'factor'>> {
    const startedAtMs = performance.now();
    const {refusedCount, uncertainCount} = this;
    let offeredCount = 0;
    for (;;) {
      const dueMs =
        startedAtMs + (MILLISECONDS_PER_SECOND * offeredCount) / jobsPerSecond;
      if (dueMs >= startedAtMs + durationMs) break;
      await timers.setTimeout(Math.max(0, dueMs - performance.now()));
      offeredCount += 1;
      void this.call(platformCell.jobIdOf(this.sentAtMs.size + 1));
    }
    return {
      offeredCount,
      refusedCount: this.refusedCount - refusedCount,
      uncertainCount: this.uncertainCount - uncertainCount,
      startedAtMs,
      endedAtMs: performance.now(),
    };
  }

  private async call(id: string): Promise<void> {
    this.sentAtMs.set(id, performance.now());
    const {processes} = this.cell;
    const body = this.jobRequest();
    for (let attempt = 0; attempt < MAXIMUM_CALLS; attempt += 1) {
      const target = processes[(this.sentAtMs.size + attempt) % PROCESS_COUNT];
      const response = await this.cell.callJobApi(target, 'POST', id, body);
      if (response.status === 200 || this.stopped) return;
      if (response.status === 503) this.refusedCount += 1;
      else this.uncertainCount += 1;
      await timers.setTimeout(
        response.retryAfterSeconds * MILLISECONDS_PER_SECOND,
      );
    }
  }

  private jobRequest(): unknown {
    const step = {
      count: 1,
      cpu: this.taskProcessors,
      mem_mb: 1,
      est_runtime_ms: TASK_RUN_TIME_MS,
    };
    return {spec: '{}', steps: [step]};
  }
}

function figuresOf(
  cell: platformCell.PlatformCell,
  callers: ProcessCallers,
  phase: ProcessPhase,
): ProcessPhaseFigures {
  const {startedAtMs, endedAtMs} = phase;
  let servedCount = 0;
  for (const {events} of cell.workers) {
    for (const event of events) {
      if (event.kind !== 'ended' || event.outcome !== 'done') continue;
      if (event.atMs < startedAtMs || event.atMs >= endedAtMs) continue;
      const [id] = event.task.split('.', 1);
      const sentAtMs = callers.sentAtMs.get(id) ?? -Infinity;
      if (event.atMs - sentAtMs <= VALUE_MS) servedCount += 1;
    }
  }
  const seconds = (endedAtMs - startedAtMs) / MILLISECONDS_PER_SECOND;
  return {
    factor: phase.factor,
    offered: phase.offeredCount / seconds,
    served: servedCount / seconds,
    refusedCalls: phase.refusedCount / seconds,
    uncertainCalls: phase.uncertainCount / seconds,
  };
}
