import * as loadCurve from './load_curve.js';
import * as loadCurveScenarios from './load_curve_scenarios.js';
import * as processLoadCurve from './process_load_curve.js';
import type * as benchRow from '../bench_row.js';

/** Offered load up to three times the capacity and back. */
const FACTORS = [0.5, 0.75, 1, 1.5, 2, 3, 2, 1.5, 1, 0.75, 0.5];
const PHASE_MS = 8_000;
const SEED = 1;

/** Workers of 32 cores, and tasks of one core and one second. */
const PROCESS_ROOM_BOUND: processLoadCurve.ProcessLoadScenario = {
  name: 'room, real processes',
  workerCount: 8,
  taskProcessors: 1_000,
  capacityJobsPerSecond: 30,
};

/** Measures served against offered work, with the load going up and down. */
export async function measureOverload(): Promise<
  ReadonlyArray<benchRow.BenchRow>
> {
  const rows: benchRow.BenchRow[] = [];
  for (const scenario of [
    loadCurveScenarios.LOOP_BOUND,
    loadCurveScenarios.ROOM_BOUND,
  ]) {
    rows.push(...(await measureSimulated(scenario)));
  }
  return [...rows, ...(await measureProcesses())];
}

async function measureSimulated(
  scenario: loadCurveScenarios.LoadCurveScenario,
): Promise<ReadonlyArray<benchRow.BenchRow>> {
  const phases = FACTORS.map(factor => ({factor, durationMs: PHASE_MS}));
  const curve = await loadCurve.measureLoadCurve(scenario, phases, SEED);
  const rows = curve.phases.flatMap((phase, index) => {
    const name = phaseName(scenario.name, index);
    return [
      row(`${name}: served`, phase.servedPerSecond, 'jobs/s'),
      row(`${name}: without value`, phase.worthlessPerSecond, 'jobs/s'),
      row(`${name}: refused`, phase.refusedCallsPerSecond, 'calls/s'),
      row(`${name}: leader`, phase.leaderCallsPerSecond, 'calls/s'),
      row(`${name}: wait, median`, phase.medianWaitMs, 'ms'),
    ];
  });
  const violations = curve.violations.length;
  const name = `overload, ${scenario.name}: broken promises`;
  return [...rows, row(name, violations, '')];
}

async function measureProcesses(): Promise<ReadonlyArray<benchRow.BenchRow>> {
  const phases = await processLoadCurve.measureProcessLoadCurve(
    PROCESS_ROOM_BOUND,
    FACTORS,
    PHASE_MS,
  );
  return phases.flatMap((phase, index) => {
    const name = phaseName(PROCESS_ROOM_BOUND.name, index);
    return [
      row(`${name}: served`, phase.served, 'jobs/s'),
      row(`${name}: refused`, phase.refusedCalls, 'calls/s'),
    ];
  });
}

function phaseName(scenario: string, index: number): string {
  const direction = index <= FACTORS.indexOf(3) ? 'up' : 'down';
  return `overload, ${scenario}, ${FACTORS[index]} ${direction}`;
}

function row(name: string, figure: number, unit: string): benchRow.BenchRow {
  return {name, figure, unit, seed: SEED, goal: '', baseline: ''};
}
