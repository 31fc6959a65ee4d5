import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as processCell from '../support/process_cell.js';
import * as wait from '../support/wait.js';
import type * as spawnedEntryProcess from '../support/spawned_entry_process.js';

interface Pair {
  readonly cell: processCell.ProcessCell;
  /** Home of the request; fails while the request is in progress. */
  readonly home: spawnedEntryProcess.SpawnedEntryProcess;
  readonly other: spawnedEntryProcess.SpawnedEntryProcess;
}

async function withPair(body: (pair: Pair) => Promise<void>): Promise<void> {
  const cell = await processCell.ProcessCell.start();
  try {
    await cell.addWorker();
    const home = await cell.addEntry();
    await cell.waitForOwnership(home);
    const other = await cell.addEntry();
    await cell.waitForReadiness(other);
    await cell.waitForMembership(other);
    await body({cell, home, other});
    await cell.assertNotOvercommitted();
  } finally {
    await cell.close();
  }
}

/** Sends a request to its home and waits until its task runs. */
async function begin(pair: Pair, payload: unknown): Promise<string> {
  const {cell, home} = pair;
  const identity = await cell.reserveIdentity(home);
  void cell.putRequest(home, identity, payload).catch(() => undefined);
  await wait.until('the task', async () =>
    (await cell.workers[0].observe())['running'] === 1 ? true : undefined,
  );
  return identity;
}

nodeTest.describe('succession', () => {
  // Guards against a second run, or a lost answer, after its home has died.
  nodeTest.test('a request outlives the kill of its home', () =>
    withPair(async pair => {
      const {cell, home, other} = pair;
      const payload = {runTimeMs: 2_000, answer: 'polished'};
      const identity = await begin(pair, payload);
      await home.kill();
      const answer = await cell.repeatUntilFinal(other, identity, payload);
      assert.equal(answer.body['code'], 0, answer.text);
      assert.equal(answer.body['answer'], 'polished');
      assert.equal((await cell.runCounts()).get(identity), 1);
    }),
  );

  // Guards against two owners of a worker when one of them was only paused.
  nodeTest.test('a home that resumes after its succession does no harm', () =>
    withPair(async pair => {
      const {cell, home, other} = pair;
      const payload = {runTimeMs: 1_000, answer: 'polished'};
      const identity = await begin(pair, payload);
      home.signal('SIGSTOP');
      await cell.waitForOwnership(other);
      home.signal('SIGCONT');
      const answer = await cell.repeatUntilFinal(other, identity, payload);
      assert.equal(answer.body['code'], 0, answer.text);
      await wait.until(
        'the new incarnation',
        async () => home.lines.filter(line => /event=serving/.test(line))[1],
      );
      const next = await cell.reserveIdentity(other);
      const second = await cell.repeatUntilFinal(other, next, {answer: 'next'});
      assert.equal(second.body['answer'], 'next', second.text);
      assert.equal((await cell.runCounts()).get(identity), 1);
      assert.equal((await cell.runCounts()).get(next), 1);
    }),
  );
});
