import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as platformCell from '../../stand_ins/platform_cell.js';
import * as wait from '../support/wait.js';
import type * as workerModel from '../../stand_ins/worker_model.js';

const {describe, test} = nodeTest;

const STEP = {cpu: 500, mem_mb: 256, est_runtime_ms: 200};

/** Tasks run for the number of milliseconds in their payload. */
const RUN_PLAN: workerModel.RunPlan = order => ({
  runTimeMs: Number(order.payload),
  outcome: 'done',
});

/** Submits a job until it is accepted, like a caller that retries. */
async function submitUntilAccepted(
  cell: platformCell.PlatformCell,
  id: string,
  runTimeMs: number,
  count: number,
): Promise<void> {
  const body = {spec: String(runTimeMs), steps: [{...STEP, count}]};
  let attempt = 0;
  await wait.until(`${id} accepted`, async () => {
    const target = cell.processes[attempt % cell.processes.length];
    attempt += 1;
    const {status} = await cell.callJobApi(target, 'POST', id, body);
    return status === 200 ? true : undefined;
  });
}

async function waitUntilCompleted(
  cell: platformCell.PlatformCell,
  id: string,
): Promise<void> {
  let attempt = 0;
  await wait.until(`${id} completed`, async () => {
    const target = cell.processes[attempt % cell.processes.length];
    attempt += 1;
    const {body} = await cell.callJobApi(target, 'GET', id);
    return body.state === 'completed' ? true : undefined;
  });
}

/** Returns a test body that runs in a cell of its own. */
function withCell(
  processCount: number,
  body: (cell: platformCell.PlatformCell) => Promise<void>,
): () => Promise<void> {
  return async () => {
    const cell = await platformCell.PlatformCell.start({
      processCount,
      runPlan: RUN_PLAN,
    });
    try {
      await body(cell);
    } finally {
      await cell.stop();
    }
  };
}

describe('cell of platform processes', () => {
  // Guards against parts that pass their own tests and fail in combination.
  test(
    'runs a job that any of its processes accepts',
    withCell(3, async cell => {
      await submitUntilAccepted(cell, 'aaaaaaaaaaaaaaa1', 100, 6);
      await waitUntilCompleted(cell, 'aaaaaaaaaaaaaaa1');
      assert.equal(cell.startEventsOf('aaaaaaaaaaaaaaa1').length, 6);
      const unknown = await cell.callJobApi(cell.processes[0], 'GET', 'ff');
      assert.equal(unknown.status, 410);
      const pending = await cell.callJobApi(cell.processes[1], 'GET', '');
      assert.deepEqual(pending.body, {pending: 0});
    }),
  );

  // Guards against jobs lost or run twice when the leader is killed.
  test(
    'completes all jobs after its leader is killed',
    withCell(3, async cell => {
      await submitUntilAccepted(cell, 'aaaaaaaaaaaaaaa1', 2_500, 4);
      await submitUntilAccepted(cell, 'aaaaaaaaaaaaaaa2', 300, 8);
      const leader = cell.leader();
      await leader.child.kill();
      cell.processes.splice(cell.processes.indexOf(leader), 1);
      await submitUntilAccepted(cell, 'aaaaaaaaaaaaaaa3', 300, 3);
      for (const digit of [1, 2, 3]) {
        await waitUntilCompleted(cell, `aaaaaaaaaaaaaaa${digit}`);
      }
      assert.equal(cell.startEventsOf('aaaaaaaaaaaaaaa1').length, 4);
      assert.equal(cell.startEventsOf('aaaaaaaaaaaaaaa2').length, 8);
    }),
  );

  // Guards against duplicate starts by a leader that continues after a pause
  // during which it was replaced.
  test(
    'ignores a leader that was paused and replaced',
    withCell(3, async cell => {
      const paused = cell.leader();
      paused.child.signal('SIGSTOP');
      const others = cell.processes.filter(item => item !== paused);
      cell.processes.splice(0, cell.processes.length, ...others);
      await submitUntilAccepted(cell, 'aaaaaaaaaaaaaaa1', 200, 4);
      paused.child.signal('SIGCONT');
      cell.processes.push(paused);
      await paused.child.waitForLine(/event=termEnded/);
      await submitUntilAccepted(cell, 'aaaaaaaaaaaaaaa2', 200, 4);
      await waitUntilCompleted(cell, 'aaaaaaaaaaaaaaa1');
      await waitUntilCompleted(cell, 'aaaaaaaaaaaaaaa2');
      assert.equal(cell.startEventsOf('aaaaaaaaaaaaaaa').length, 8);
    }),
  );

  // Guards against requests that are cut off when a process stops as planned.
  test(
    'answers open requests and exits on SIGTERM',
    withCell(2, async cell => {
      const leader = cell.leader();
      const openCall = cell.callJobApi(leader, 'POST', 'aaaaaaaaaaaaaaa1', {
        spec: '100',
        steps: [{...STEP, count: 1}],
      });
      leader.child.signal('SIGTERM');
      assert.equal((await openCall).status, 200);
      assert.equal(await leader.child.waitForExit(), 0);
      cell.processes.splice(cell.processes.indexOf(leader), 1);
      await waitUntilCompleted(cell, 'aaaaaaaaaaaaaaa1');
    }),
  );

  // Guards against requests that are cut off by a second SIGTERM: the process
  // ended at once, although its drain was not over.
  test(
    'answers open requests after a second SIGTERM, too',
    withCell(2, async cell => {
      const leader = cell.leader();
      cell.store.silent = true;
      const openCall = cell.callJobApi(leader, 'POST', 'aaaaaaaaaaaaaaa1', {
        spec: '100',
        steps: [{...STEP, count: 1}],
      });
      leader.child.signal('SIGTERM');
      await leader.child.waitForLine(/event=stopping/);
      leader.child.signal('SIGTERM');
      assert.equal((await openCall).status, 504);
      assert.equal(await leader.child.waitForExit(), 0);
      cell.store.silent = false;
      cell.processes.splice(cell.processes.indexOf(leader), 1);
    }),
  );

  // Guards against refusing a job that the store may still accept, and against
  // callers that are held for as long as the store is silent.
  test(
    'returns 504, then 503 while the store is silent, and keeps tasks running',
    withCell(2, async cell => {
      await submitUntilAccepted(cell, 'aaaaaaaaaaaaaaa1', 3_000, 2);
      cell.store.silent = true;
      const body = {spec: '100', steps: [{...STEP, count: 1}]};
      const [first] = cell.processes;
      const undecided = await cell.callJobApi(
        first,
        'POST',
        'aaaaaaaaaaaaaaa2',
        body,
      );
      assert.equal(undecided.status, 504);
      const refused = await cell.callJobApi(
        first,
        'POST',
        'aaaaaaaaaaaaaaa3',
        body,
      );
      assert.equal(refused.status, 503);
      cell.store.silent = false;
      await waitUntilCompleted(cell, 'aaaaaaaaaaaaaaa1');
      assert.equal(cell.startEventsOf('aaaaaaaaaaaaaaa1').length, 2);
      assert.equal(cell.startEventsOf('aaaaaaaaaaaaaaa3').length, 0);
    }),
  );

  // Guards against a process that keeps serving an older configuration.
  test(
    'applies a new configuration and drops the removed queues',
    withCell(2, async cell => {
      cell.publishConfiguration(2, []);
      for (const target of cell.processes) {
        await wait.until('queue dropped', async () => {
          const {status} = await cell.callJobApi(target, 'GET', '');
          return status === 404 ? true : undefined;
        });
      }
    }),
  );
});
