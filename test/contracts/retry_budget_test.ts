import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as retryBudget from '../../src/contracts/retry_budget.js';

function spendAll(budget: retryBudget.RetryBudget, now: number): number {
  let spent = 0;
  while (budget.trySpend(now)) spent += 1;
  return spent;
}

nodeTest.describe('retry budget', () => {
  nodeTest.test('an outage gets one retry a second, not a storm', () => {
    const budget = new retryBudget.RetryBudget();
    const spent = [0, 500, 1_000, 2_000].map(now => spendAll(budget, now));
    assert.deepEqual(spent, [1, 0, 1, 1]);
  });

  nodeTest.test(
    'successful calls earn a tenth of a retry, up to a stock',
    () => {
      const budget = new retryBudget.RetryBudget();
      spendAll(budget, 0);
      for (let call = 0; call < 50; call += 1) budget.recordSuccess();
      // Ten additions of 0.1 may fall short of 1 by rounding.
      assert.ok([4, 5].includes(spendAll(budget, 0)));
      for (let call = 0; call < 5_000; call += 1) budget.recordSuccess();
      assert.equal(spendAll(budget, 0), 100);
    },
  );
});
