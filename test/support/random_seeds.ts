import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as randomCell from './random_cell.js';
import type * as randomWorld from './random_world.js';

/** Declares one simulation test for each seed. */
export function testSeeds(
  seeds: ReadonlyArray<number>,
  runtimes?: randomWorld.RuntimeRange,
  changesConfiguration = false,
  restartsInPlace = false,
  additional: randomCell.AdditionalFaults = {},
): void {
  for (const seed of seeds) {
    nodeTest.test(`violates no invariant with seed ${seed}`, async () => {
      const outcome = await new randomCell.RandomCell(
        seed,
        runtimes,
        changesConfiguration,
        restartsInPlace,
        additional,
      ).run();
      assert.deepEqual(outcome.violations, []);
      assert.ok(outcome.startCount > 20);
    });
  }
}
