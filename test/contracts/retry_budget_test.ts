import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as retryBudget from '../../src/contracts/retry_budget.js';

function spendAll(budget: retryBudget.RetryBudget, now: number): number {
  let spent = 0;
  while (budget.trySpend(now)) spent += 1;
  return spent;
}

nodeTest.describe('retry budget', () => {
  nodeTest.test(
    'grants one retry a second in an outage; guards against a retry storm',
    () => {
      const budget = new retryBudget.RetryBudget();
      const spent = [0, 500, 1_000, 2_000].map(now => spendAll(budget, now));
      assert.deepEqual(spent, [1, 0, 1, 1]);
    },
  );

  nodeTest.test(
    'earns a tenth of a retry with each success, up to 100 saved retries',
    () => {
      const budget = new retryBudget.RetryBudget();
      spendAll(budget, 0);
      for (let call = 0; call < 50; call += 1) budget.recordSuccess();
      // The sum of ten times 0.1 may be less than 1 because of rounding.
      assert.ok([4, 5].includes(spendAll(budget, 0)));
      for (let call = 0; call < 5_000; call += 1) budget.recordSuccess();
      assert.equal(spendAll(budget, 0), 100);
    },
  );

  nodeTest.test(
    'takes back a retry that a call did not need; guards against calls that use up the budget by being answered',
    () => {
      const budget = new retryBudget.RetryBudget();
      for (let call = 0; call < 20; call += 1) {
        assert.equal(budget.trySpend(0), true);
        budget.giveBack();
      }
      assert.equal(spendAll(budget, 0), 1);
    },
  );
});
