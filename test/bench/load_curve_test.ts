import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as loadCurve from '../../bench/load_curve/load_curve.js';
import * as loadCurveScenarios from '../../bench/load_curve/load_curve_scenarios.js';

const {describe, test} = nodeTest;

/** Calm load, three times the capacity, and half of it; each settles first. */
const PHASES: ReadonlyArray<loadCurve.LoadPhase> = [
  {factor: 1, durationMs: 4_000},
  {factor: 1, durationMs: 6_000},
  {factor: 3, durationMs: 4_000},
  {factor: 3, durationMs: 8_000},
  {factor: 0.5, durationMs: 4_000},
  {factor: 0.5, durationMs: 6_000},
];

/** Share of the served work at the capacity that overload must leave. */
const MINIMUM_SERVED_SHARE = 0.9;

/** Objective of the urgent jobs, and that of the batch jobs. */
const BATCH_OBJECTIVE_MS = 8_500;

const SEEDS = [1];

interface SettledPhases {
  readonly calm: loadCurve.PhaseFigures;
  readonly overload: loadCurve.PhaseFigures;
  readonly recovery: loadCurve.PhaseFigures;
}

function settledPhases(curve: loadCurve.LoadCurve): SettledPhases {
  const [, calm, , overload, , recovery] = curve.phases;
  return {calm, overload, recovery};
}

describe('a cell under three times the load that it can carry', () => {
  for (const scenario of [
    loadCurveScenarios.LOOP_BOUND,
    loadCurveScenarios.ROOM_BOUND,
  ]) {
    for (const seed of SEEDS) {
      // Guards against a metastable overload: a cell that serves less the more
      // is offered and does not recover when the load is gone.
      test(`serves as much and recovers: ${scenario.name}, seed ${seed}`, async () => {
        const curve = await loadCurve.measureLoadCurve(scenario, PHASES, seed);
        assert.deepEqual(curve.violations, []);
        const {calm, overload, recovery} = settledPhases(curve);
        assert.ok(
          overload.servedPerSecond >=
            MINIMUM_SERVED_SHARE * calm.servedPerSecond,
          `${overload.servedPerSecond} of ${calm.servedPerSecond} a second`,
        );
        assert.ok(overload.refusedCallsPerSecond > 0);
        assert.equal(calm.worthlessPerSecond, 0);
        assert.ok(
          recovery.servedPerSecond >= 0.5 * calm.servedPerSecond,
          `${recovery.servedPerSecond} a second after the load`,
        );
        assert.ok(
          recovery.p95WaitMs <= BATCH_OBJECTIVE_MS,
          `${recovery.p95WaitMs} ms after the load`,
        );
        assert.ok(recovery.loopDelayMs < 500, `${recovery.loopDelayMs} ms`);
      });
    }
  }
});
