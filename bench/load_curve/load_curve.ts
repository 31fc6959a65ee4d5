import * as loadCallers from './load_callers.js';
import * as loadedCell from './loaded_cell.js';
import type * as loadCurveScenarios from './load_curve_scenarios.js';

/** Offered load, as a multiple of the capacity, over a time. */
export interface LoadPhase {
  readonly factor: number;
  readonly durationMs: number;
}

/** What the callers of one phase got. */
export interface PhaseFigures {
  readonly factor: number;
  readonly offeredPerSecond: number;
  /** Jobs that ended in this phase while they still had value. */
  readonly servedPerSecond: number;
  /** Core-seconds of these jobs, a second. */
  readonly servedCores: number;
  /** Accepted jobs of this phase that ended too late to have value. */
  readonly worthlessPerSecond: number;
  readonly refusedCallsPerSecond: number;
  /** Calls without a certain outcome, a second. */
  readonly uncertainCallsPerSecond: number;
  readonly leaderCallsPerSecond: number;
  /** Wait of jobs that were accepted at once, from their call to their end. */
  readonly medianWaitMs: number;
  readonly p95WaitMs: number;
  /** Delay of the leader's loop at the end of the phase. */
  readonly loopDelayMs: number;
}

/** Result of a load curve, with all promises that were broken. */
export interface LoadCurve {
  readonly phases: ReadonlyArray<PhaseFigures>;
  readonly violations: ReadonlyArray<string>;
}

/** Time after the load in which all accepted jobs have to end. */
const MAXIMUM_DRAIN_MS = 90_000;
const DRAIN_STEP_MS = 1_000;

/** Observations of one phase while it ran. */
interface PhaseRecord {
  readonly phase: LoadPhase;
  readonly offered: ReadonlyArray<loadCallers.JobCall>;
  readonly startedAtMs: number;
  readonly before: CallTotals;
  readonly after: CallTotals;
  readonly loopDelayMs: number;
}

interface CallTotals {
  readonly refused: number;
  readonly uncertain: number;
  readonly leader: number;
}

/** Runs the phases one after the other on one cell. */
export async function measureLoadCurve(
  scenario: loadCurveScenarios.LoadCurveScenario,
  phases: ReadonlyArray<LoadPhase>,
  seed: number,
): Promise<LoadCurve> {
  const cell = await loadedCell.LoadedCell.start(scenario.cell);
  const callers = new loadCallers.LoadCallers(cell, seed);
  const records: PhaseRecord[] = [];
  for (const phase of phases) {
    const startedAtMs = cell.time.now();
    const before = totalsOf(cell, callers);
    const rate = phase.factor * scenario.capacityJobsPerSecond;
    const offered = await callers.offer(rate, phase.durationMs);
    const after = totalsOf(cell, callers);
    const loopDelayMs = cell.loop.delayMs;
    records.push({phase, offered, startedAtMs, before, after, loopDelayMs});
  }
  await drain(cell, callers);
  return {
    phases: records.map(record => figuresOf(cell, callers, record)),
    violations: violationsOf(cell, callers),
  };
}

async function drain(
  cell: loadedCell.LoadedCell,
  callers: loadCallers.LoadCallers,
): Promise<void> {
  const untilMs = cell.time.now() + MAXIMUM_DRAIN_MS;
  const isDone = (): boolean =>
    callers.idle &&
    callers.calls.every(
      call => !call.accepted || cell.completedAtMs.has(call.id),
    );
  while (!isDone() && cell.time.now() < untilMs) {
    await cell.time.advance(DRAIN_STEP_MS);
  }
}

function totalsOf(
  cell: loadedCell.LoadedCell,
  callers: loadCallers.LoadCallers,
): CallTotals {
  const leader =
    cell.countOf('leader_calls', 'submit') +
    cell.countOf('leader_calls', 'screen');
  return {
    refused: callers.refusedCallCount,
    uncertain: callers.uncertainCallCount,
    leader,
  };
}

function figuresOf(
  cell: loadedCell.LoadedCell,
  callers: loadCallers.LoadCallers,
  record: PhaseRecord,
): PhaseFigures {
  const {phase, offered, startedAtMs, before, after} = record;
  const seconds = phase.durationMs / 1_000;
  const endedAtMs = (call: loadCallers.JobCall): number =>
    cell.completedAtMs.get(call.id) ?? Infinity;
  const served = callers.calls.filter(
    call =>
      endedAtMs(call) > startedAtMs &&
      endedAtMs(call) <= startedAtMs + phase.durationMs &&
      endedAtMs(call) <= call.valueUntilMs,
  );
  const worthless = offered.filter(
    call => call.accepted && endedAtMs(call) > call.valueUntilMs,
  );
  const waitsMs = offered
    .filter(call => call.accepted && call.refusalCount === 0)
    .map(call => endedAtMs(call) - call.sentAtMs)
    .sort((left, right) => left - right);
  const coreSeconds = served.reduce((sum, call) => sum + workOf(call), 0);
  return {
    factor: phase.factor,
    offeredPerSecond: offered.length / seconds,
    servedPerSecond: served.length / seconds,
    servedCores: coreSeconds / seconds,
    worthlessPerSecond: worthless.length / seconds,
    refusedCallsPerSecond: (after.refused - before.refused) / seconds,
    uncertainCallsPerSecond: (after.uncertain - before.uncertain) / seconds,
    leaderCallsPerSecond: (after.leader - before.leader) / seconds,
    medianWaitMs: quantile(waitsMs, 0.5),
    p95WaitMs: quantile(waitsMs, 0.95),
    loopDelayMs: record.loopDelayMs,
  };
}

/** Returns the core-seconds of a job. */
function workOf({definition}: loadCallers.JobCall): number {
  return definition.steps.reduce(
    (sum, step) => sum + (step.count * step.estimatedRuntimeMs) / 1_000,
    0,
  );
}

function quantile(sorted: ReadonlyArray<number>, share: number): number {
  return sorted[Math.floor(sorted.length * share)] ?? 0;
}

/** Accepted jobs that did not end, and refusals that were not true. */
function violationsOf(
  cell: loadedCell.LoadedCell,
  callers: loadCallers.LoadCallers,
): ReadonlyArray<string> {
  const violations = callers.falseRefusals.map(
    id => `refused although accepted: ${id}`,
  );
  const started = new Set(
    cell.cell.workers.events.map(event => event.task.split('.')[0]),
  );
  for (const call of callers.calls) {
    if (call.accepted && !cell.completedAtMs.has(call.id)) {
      violations.push(`accepted but not completed: ${call.id}`);
    }
    const wasOnlyRefused = !call.accepted && !call.uncertain;
    if (wasOnlyRefused && started.has(call.id)) {
      violations.push(`ran although refused: ${call.id}`);
    }
  }
  return violations;
}
