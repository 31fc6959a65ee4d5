import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as randomCell from '../support/random_cell.js';
import * as randomCellChecks from '../support/random_cell_checks.js';
import * as randomWorld from '../support/random_world.js';

const {describe, test} = nodeTest;

const TASK = 'aa.0.0.0';

/** Returns a cell in which the end of `TASK` was stored, and when. */
async function createWorldWithStoredEnd(): Promise<{
  readonly world: randomWorld.RandomWorld;
  readonly storedAtMs: number;
}> {
  const world = new randomWorld.RandomWorld({
    seed: 1,
    runtimes: randomCell.SHORT_RUNTIMES,
    changesConfiguration: false,
    restartsInPlace: true,
    pausesLeaders: false,
  });
  const steps = [
    {occurrence: 0, position: 0, done: [0], failed: [], checkpoints: []},
  ];
  const progress = {outcome: 'open', started: true, steps} as const;
  const change = {kind: 'progress', id: 'aa', progress} as const;
  void world.cell.journal.append(1, 1, [change], 1_000);
  await world.cell.time.advance(1_000);
  const storedAtMs = world.cell.journal.storedAsDoneAtMs(TASK);
  assert.ok(storedAtMs);
  return {world, storedAtMs};
}

/** Adds a start of the task that was sent and carried out at these times. */
function addStart(
  world: randomWorld.RandomWorld,
  sentAtMs: number,
  atMs: number,
): void {
  world.cell.workers.events.push({
    atMs,
    worker: 'w0',
    kind: 'started',
    task: TASK,
    run: 1,
    fencingToken: 1_000,
    outcome: '',
    sentAtMs,
  });
}

/** Lets a worker forget a success of the task. */
function acknowledgeSuccess(
  world: randomWorld.RandomWorld,
  endedAtMs: number,
): void {
  world.cell.workers.acknowledgedEnds.push({
    task: TASK,
    run: 1,
    endKind: 'done',
    endedAtMs,
    leaseLapsed: false,
  });
}

function violationsOf(world: randomWorld.RandomWorld): ReadonlyArray<string> {
  const checks = new randomCellChecks.RandomCellChecks(world);
  checks.checkInvariants();
  checks.checkAcknowledgedSuccesses();
  return checks.violations;
}

describe('the checks of the random cell', () => {
  // Guards against a check that misses a scheduler which starts a task although
  // its end is stored.
  test('find a start that was sent after the end was stored', async () => {
    const {world, storedAtMs} = await createWorldWithStoredEnd();
    addStart(world, storedAtMs + 1, storedAtMs + 2);
    assert.equal(violationsOf(world).length, 1);
  });

  // Guards against a check that misses a late copy of a start after an end that
  // was acknowledged, then or later.
  test('find a late start after an acknowledged success', async () => {
    const {world, storedAtMs} = await createWorldWithStoredEnd();
    addStart(world, storedAtMs - 1, storedAtMs + 5_000);
    acknowledgeSuccess(world, storedAtMs - 1);
    assert.equal(violationsOf(world).length, 1);
  });

  // Guards against a check that is stricter than the rule: the end that was
  // stored was never acknowledged, because its worker was lost.
  test('allow a late start after an end that is only stored', async () => {
    const {world, storedAtMs} = await createWorldWithStoredEnd();
    addStart(world, storedAtMs - 1, storedAtMs + 5_000);
    assert.deepEqual(violationsOf(world), []);
  });
});
