import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as processCell from '../support/process_cell.js';
import * as wait from '../support/wait.js';
import type * as spawnedEntryProcess from '../support/spawned_entry_process.js';

interface EntryPair {
  readonly cell: processCell.ProcessCell;
  /** Home of the request; killed or paused while the request is in progress. */
  readonly home: spawnedEntryProcess.SpawnedEntryProcess;
  readonly successor: spawnedEntryProcess.SpawnedEntryProcess;
}

async function withPair(
  body: (pair: EntryPair) => Promise<void>,
): Promise<void> {
  const cell = await processCell.ProcessCell.start();
  try {
    await cell.addWorker();
    const home = await cell.addEntry();
    await cell.waitForOwnership(home);
    const successor = await cell.addEntry();
    await cell.waitForReadiness(successor);
    await cell.waitForMembership(successor);
    await body({cell, home, successor});
    await cell.assertNotOvercommitted();
  } finally {
    await cell.close();
  }
}

/** Sends a request to the home process and waits until its task runs. */
async function beginRequest(
  pair: EntryPair,
  payload: unknown,
): Promise<string> {
  const {cell, home} = pair;
  const identity = await cell.reserveIdentity(home);
  void cell.putRequest(home, identity, payload).catch(() => undefined);
  await wait.until('the task', async () =>
    (await cell.workers[0].observe())['running'] === 1 ? true : undefined,
  );
  return identity;
}

nodeTest.describe('succession', () => {
  // Guards against a second run or a lost answer when the process that owns a
  // request is killed while the task runs.
  nodeTest.test('a request completes after its home has been killed', () =>
    withPair(async pair => {
      const {cell, home, successor} = pair;
      const payload = {runTimeMs: 2_000, answer: 'polished'};
      const identity = await beginRequest(pair, payload);
      await home.kill();
      const answer = await cell.repeatUntilFinal(successor, identity, payload);
      assert.equal(answer.body['code'], 0, answer.text);
      assert.equal(answer.body['answer'], 'polished');
      assert.equal((await cell.runCounts()).get(identity), 1);
    }),
  );

  // Guards against two owners of a worker: the paused home resumes after
  // another process has taken over its workers.
  nodeTest.test('a home that resumes after failover causes no second run', () =>
    withPair(async pair => {
      const {cell, home, successor} = pair;
      const payload = {runTimeMs: 1_000, answer: 'polished'};
      const identity = await beginRequest(pair, payload);
      home.signal('SIGSTOP');
      await cell.waitForOwnership(successor);
      home.signal('SIGCONT');
      const answer = await cell.repeatUntilFinal(successor, identity, payload);
      assert.equal(answer.body['code'], 0, answer.text);
      await wait.until(
        'the new incarnation',
        async () => home.lines.filter(line => /event=serving/.test(line))[1],
      );
      const next = await cell.reserveIdentity(successor);
      const second = await cell.repeatUntilFinal(successor, next, {
        answer: 'next',
      });
      assert.equal(second.body['answer'], 'next', second.text);
      assert.equal((await cell.runCounts()).get(identity), 1);
      assert.equal((await cell.runCounts()).get(next), 1);
    }),
  );
});
