import * as assert from 'node:assert/strict';
import * as lendingReserve from '../../src/contracts/lending_reserve.js';
import * as nodeTest from 'node:test';
import * as randomSource from '../../src/machines/random_source.js';

const LONG_RUN_TIME_MS = lendingReserve.LONG_TASK_RUN_TIME_MS;

function reserveAfter(
  demandAt: (step: number) => number,
): lendingReserve.LendingReserve {
  const reserve = new lendingReserve.LendingReserve();
  for (let step = 0; step < 2_000; step += 1) {
    reserve.recordDemand(demandAt(step), step * 100);
  }
  return reserve;
}

nodeTest.describe('lending reserve', () => {
  nodeTest.test('steady demand keeps only the minimum reserve idle', () => {
    const reserve = reserveAfter(() => 0.6);
    assert.equal(reserve.fractionFor(LONG_RUN_TIME_MS), 0.05);
  });

  nodeTest.test(
    'varying demand increases the reserve for long tasks only',
    () => {
      const random = new randomSource.SeededRandom(5);
      const reserve = reserveAfter(() => 0.5 + random.below(100) / 1_000);
      const kept = reserve.fractionFor(LONG_RUN_TIME_MS);
      assert.ok(kept > 0.1 && kept < 0.15, `reserve fraction ${kept}`);
      assert.equal(reserve.fractionFor(LONG_RUN_TIME_MS - 1), 0.05);
    },
  );

  nodeTest.test(
    'extreme demand changes do not raise the reserve above its maximum',
    () => {
      const reserve = reserveAfter(step => (step % 10 < 5 ? 0 : 1));
      assert.equal(reserve.fractionFor(LONG_RUN_TIME_MS), 0.2);
    },
  );
});
