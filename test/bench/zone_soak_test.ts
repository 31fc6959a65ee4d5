import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as zoneSoak from '../../bench/zone_soak.js';
import type * as zoneSoakPlan from '../../bench/zone_soak_plan.js';

const SEED = 1;

/** Longer than a takeover with workers out of reach, 7.5 s. */
const CUT_MS = 11_000;

/** The leader's zone is cut off with one of its workers. */
const LEADER_CUT: zoneSoakPlan.CutPlan = {
  leadMs: 500,
  zones: 'leader',
  kind: 'links',
  direction: 'both',
  spared: 'none',
  ending: 'deliver',
  workersInside: 1,
  durationMs: CUT_MS,
  leaderKilledMs: 0,
  disruptions: [],
};

/** Its successor's zone loses all that is sent to it, and restarts. */
const SUCCESSOR_CUT: zoneSoakPlan.CutPlan = {
  ...LEADER_CUT,
  direction: 'inbound',
  ending: 'reset',
  durationMs: 9_000,
  disruptions: [
    {kind: 'crashWorker', isInside: true, startMs: 1_000, durationMs: 500},
    {kind: 'rollingRestart', isInside: true, startMs: 2_000, durationMs: 1},
  ],
};

nodeTest.describe('scheduler processes while their zone is cut off', () => {
  // Guards against tasks that a leader starts again on a worker that was cut
  // off with it while its successor runs them elsewhere, and against accepted
  // jobs that are lost or called unknown.
  nodeTest.test('keep their guarantees', async () => {
    const outcome = await zoneSoak.ZoneSoak.runSeed({
      seed: SEED,
      size: zoneSoak.SMALL_SIZE,
      cuts: [LEADER_CUT, SUCCESSOR_CUT],
    });
    assert.deepEqual(outcome.violations, []);
    assert.ok(outcome.acceptedCount > 20, `${outcome.acceptedCount} accepted`);
  });
});
