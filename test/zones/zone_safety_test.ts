import * as assert from 'node:assert/strict';
import * as faultSchedule from './fault_schedule.js';
import * as nodeTest from 'node:test';
import * as simulatedZone from './simulated_zone.js';

/** Number of seeds; ZONE_SEEDS and ZONE_FIRST_SEED select other seeds. */
const SEEDS = Number(process.env['ZONE_SEEDS'] ?? 240);
const FIRST_SEED = Number(process.env['ZONE_FIRST_SEED'] ?? 1);

/**
 * Time from the end of faults until each worker has an owner with a permit. It
 * covers 15 s of absence in the VM list and its lag, 15 s for a successor to be
 * established, silence, claim, wait, and a second succession after it.
 */
const RECOVERY_BOUND_MS = 60_000;

interface Outcome {
  readonly seed: number;
  readonly violations: ReadonlyArray<string>;
  readonly recoveryMs: number;
  readonly eventCount: number;
}

function simulate(seed: number): Outcome {
  const zone = new simulatedZone.SimulatedZone(seed);
  const faults = new faultSchedule.FaultSchedule(zone);
  faults.start();
  faults.restartSuperseded();
  zone.run(faultSchedule.FAULTS_END_MS);
  faults.end();
  const faultsEndedAt = zone.now;
  const recovered = zone.run(faultsEndedAt + RECOVERY_BOUND_MS, () => {
    for (const [name, {role}] of zone.listed()) {
      if (role === 'worker' && zone.permitHolders(name).length !== 1) {
        return false;
      }
    }
    return true;
  });
  const recoveryMs = recovered ? zone.now - faultsEndedAt : Infinity;
  // Rebalancing and late messages continue after the recovery.
  zone.run(zone.now + 15_000);
  const {violations, eventCount} = zone;
  return {seed, violations, recoveryMs, eventCount};
}

nodeTest.describe('permits in a zone under random faults', () => {
  nodeTest.test(
    `no two processes hold a permit for a worker, and each worker gets one ` +
      `owner after the faults end: guards against double placement and ` +
      `workers without an owner after lost messages, pauses and restarts`,
    () => {
      let slowest = 0;
      let eventCount = 0;
      for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed += 1) {
        const outcome = simulate(seed);
        assert.deepEqual(outcome.violations.slice(0, 3), [], `seed ${seed}`);
        assert.ok(
          outcome.recoveryMs <= RECOVERY_BOUND_MS,
          `seed ${seed}: a worker has no single owner within ` +
            `${RECOVERY_BOUND_MS} ms after the faults`,
        );
        slowest = Math.max(slowest, outcome.recoveryMs);
        eventCount += outcome.eventCount;
      }
      console.log(
        `seeds ${FIRST_SEED}..${FIRST_SEED + SEEDS - 1}: ${eventCount} events, ` +
          `slowest recovery ${Math.round(slowest)} ms`,
      );
    },
  );
});
