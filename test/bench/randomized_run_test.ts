import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as randomizedRun from '../../bench/randomized_run.js';

/** Fixed seeds, so that every run gives the same verdict. */
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
    'no promise is broken whatever faults occur together, and every request ' +
      'is in a final state after they end',
    () => {
      const injected = new Set<randomizedRun.Fault>();
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
      // A run that injects or checks nothing proves nothing.
      assert.equal(injected.size, randomizedRun.FAULTS.length);
      assert.ok(checks > SEEDS.length * 100, `${checks} checks`);
    },
  );

  nodeTest.test('without faults every request runs and ends', () => {
    const run = randomizedRun.runRandomized({
      seed: 1,
      faults: [],
      trace: false,
    });
    assert.deepEqual([...run.codeCounts.keys()], [0], describeRun(run));
    assert.equal(run.unfinishedCount, 0);
  });
});
