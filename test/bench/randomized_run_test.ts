import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as randomizedRun from '../../bench/randomized_run.js';

/** Fixed seeds make the result reproducible. */
const SEEDS = Array.from({length: 40}, (_, index) => index + 1);

function describeRun(run: randomizedRun.RunResult): string {
  return JSON.stringify({
    command: `node build/bench/soak.js --seeds 1 --from ${run.seed} --trace`,
    violation: run.violations[0],
    reported: run.reportedViolations[0],
    unfinished: run.unfinishedCount,
  });
}

nodeTest.describe('randomised runs', () => {
  nodeTest.test(
    'no invariant is violated under any combination of faults, and every ' +
      'request reaches a final state after they end',
    () => {
      const injected = new Set<randomizedRun.FaultKind>();
      let checks = 0;
      for (const seed of SEEDS) {
        const run = randomizedRun.runRandomized({
          seed,
          faults: randomizedRun.FAULTS,
          trace: false,
        });
        for (const fault of run.faultCounts.keys()) injected.add(fault);
        checks += run.checkCount;
        const sound =
          run.violations.length === 0 &&
          run.reportedViolations.length === 0 &&
          run.unfinishedCount === 0;
        assert.ok(sound, describeRun(run));
      }
      // Runs that inject no faults or check nothing would prove nothing.
      assert.equal(injected.size, randomizedRun.FAULTS.length);
      assert.ok(checks > SEEDS.length * 100, `${checks} checks`);
    },
  );

  nodeTest.test('every request succeeds in a run without faults', () => {
    const run = randomizedRun.runRandomized({
      seed: 1,
      faults: [],
      trace: false,
    });
    assert.deepEqual([...run.codeCounts.keys()], [0], describeRun(run));
    assert.equal(run.unfinishedCount, 0);
  });
});
