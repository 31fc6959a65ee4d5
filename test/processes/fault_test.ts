import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as spawnedEntryProcess from '../support/spawned_entry_process.js';
import * as httpCall from '../support/http_call.js';
import * as logService from '../../stand_ins/log_service.js';
import * as processCell from '../support/process_cell.js';
import * as wait from '../support/wait.js';

async function withCell(
  body: (cell: processCell.ProcessCell) => Promise<void>,
): Promise<void> {
  const cell = await processCell.ProcessCell.start();
  try {
    await body(cell);
    await cell.assertNotOvercommitted();
  } finally {
    await cell.close();
  }
}

nodeTest.describe('faults of one process', () => {
  // Guards against an entry process that exits at its start because the log
  // service and the VM list refuse connections.
  nodeTest.test('an unreachable platform does not end a process', async () => {
    const refusing = new logService.LogService();
    const logAddress = await refusing.listen();
    refusing.close();
    const entry = await spawnedEntryProcess.SpawnedEntryProcess.start({
      vm: 'entry-1',
      zone: 'kigali-a',
      region: 'kigali',
      log: logAddress,
      vmList: logAddress,
    });
    const answering = new logService.LogService();
    try {
      const live = await httpCall.callJson(entry.address, 'GET', '/live');
      assert.equal(live.status, 200);
      await answering.listen(Number(logAddress.split(':')[1]));
      await wait.until('a read of the log', async () =>
        answering.readCount() > 0 ? true : undefined,
      );
    } finally {
      await entry.kill();
      answering.close();
    }
  });

  // Guards against a graceful shutdown that drops requests whose tasks are
  // queued or running.
  nodeTest.test('SIGTERM under load leaves no request unanswered', () =>
    withCell(async cell => {
      await cell.addWorker();
      const entry = await cell.addEntry();
      await cell.waitForOwnership(entry);
      const identities: string[] = [];
      for (let index = 0; index < 40; index += 1) {
        identities.push(await cell.reserveIdentity(entry));
      }
      const calls = identities.map((identity, index) =>
        cell.putRequest(entry, identity, {
          runTimeMs: 400,
          answer: `of ${index}`,
        }),
      );
      // Waits for all requests: one that arrives after the signal is refused.
      for (const identity of identities) {
        await wait.until(`arrival of ${identity}`, async () => {
          const path = `/v1/requests/${identity}`;
          const seen = await httpCall.callJson(entry.address, 'GET', path);
          return seen.body['state'] === undefined ? undefined : true;
        });
      }
      await wait.until('a running task', async () =>
        (await cell.workers[0].observe())['running'] ? true : undefined,
      );
      entry.signal('SIGTERM');
      const answers = await Promise.all(calls);
      answers.forEach((answer, index) => {
        assert.equal(answer.body['code'], 0, answer.text);
        assert.equal(answer.body['answer'], `of ${index}`);
      });
      assert.equal(await entry.waitForExit(), 0);
      const runs = await cell.runCounts();
      assert.deepEqual(
        identities.map(identity => runs.get(identity)),
        identities.map(() => 1),
      );
    }),
  );

  // Guards against a request that waits forever on a connection over which the
  // worker no longer answers.
  nodeTest.test('silent connections to a worker lose no request', () =>
    withCell(async cell => {
      const worker = await cell.addWorker();
      const entry = await cell.addEntry();
      await cell.waitForOwnership(entry);
      const identity = await cell.reserveIdentity(entry);
      const payload = {runTimeMs: 1_000, answer: 'polished'};
      const call = cell.repeatUntilFinal(entry, identity, payload);
      await wait.until('the task', async () =>
        (await worker.observe())['running'] === 1 ? true : undefined,
      );
      await worker.control({silenceConnections: true});
      const answer = await call;
      assert.equal(answer.body['code'], 0, answer.text);
      assert.equal(answer.body['answer'], 'polished');
      assert.equal((await cell.runCounts()).get(identity), 1);
    }),
  );

  // Guards against a second run after an append that took effect but was not
  // acknowledged.
  nodeTest.test('lost acknowledgements of the log cause no second run', () =>
    withCell(async cell => {
      await cell.addWorker();
      await cell.logService.control({losesAcknowledgements: true});
      const entry = await cell.addEntry();
      await cell.waitForOwnership(entry);
      const identity = await cell.reserveIdentity(entry);
      const answer = await cell.repeatUntilFinal(entry, identity, {
        answer: 'done',
      });
      assert.equal(answer.body['code'], 0, answer.text);
      assert.equal((await cell.runCounts()).get(identity), 1);
    }),
  );
});
