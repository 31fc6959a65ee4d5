import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as platformCell from '../../stand_ins/platform_cell.js';
import * as wait from '../support/wait.js';
import type * as workerModel from '../../stand_ins/worker_model.js';

const {describe, test} = nodeTest;

const TASK = {cpu: 500, mem_mb: 256, est_runtime_ms: 200};

/** Tasks take as long as their payload says. */
const PLAN: workerModel.RunPlan = order => ({
  runTimeMs: Number(order.payload),
  outcome: 'done',
});

/** Hands a job in until it is accepted, as a requester with retries does. */
async function submit(
  cell: platformCell.PlatformCell,
  id: string,
  runtimeMs: number,
  count: number,
): Promise<void> {
  const body = {spec: String(runtimeMs), steps: [{...TASK, count}]};
  let turn = 0;
  await wait.until(`${id} accepted`, async () => {
    const target = cell.processes[turn % cell.processes.length];
    turn += 1;
    const {status} = await cell.callFront(target, 'POST', id, body);
    return status === 200 ? true : undefined;
  });
}

async function completed(
  cell: platformCell.PlatformCell,
  id: string,
): Promise<void> {
  let turn = 0;
  await wait.until(`${id} completed`, async () => {
    const target = cell.processes[turn % cell.processes.length];
    turn += 1;
    const {body} = await cell.callFront(target, 'GET', id);
    return body.state === 'completed' ? true : undefined;
  });
}

/** A test body in a cell of its own. */
function inCell(
  processes: number,
  body: (cell: platformCell.PlatformCell) => Promise<void>,
): () => Promise<void> {
  return async () => {
    const cell = await platformCell.PlatformCell.start({
      processCount: processes,
      runPlan: PLAN,
    });
    try {
      await body(cell);
    } finally {
      await cell.stop();
    }
  };
}

describe('processes on the platform', () => {
  // Guards against parts that work alone and not together.
  test(
    'run a job that any of them takes',
    inCell(3, async cell => {
      await submit(cell, 'aaaaaaaaaaaaaaa1', 100, 6);
      await completed(cell, 'aaaaaaaaaaaaaaa1');
      assert.equal(cell.startEventsOf('aaaaaaaaaaaaaaa1').length, 6);
      const unknown = await cell.callFront(cell.processes[0], 'GET', 'ff');
      assert.equal(unknown.status, 410);
      const pending = await cell.callFront(cell.processes[1], 'GET', '');
      assert.deepEqual(pending.body, {pending: 0});
    }),
  );

  // Guards against jobs that are lost or run twice with their scheduler.
  test(
    'go on when the one that schedules is killed',
    inCell(3, async cell => {
      await submit(cell, 'aaaaaaaaaaaaaaa1', 2_500, 4);
      await submit(cell, 'aaaaaaaaaaaaaaa2', 300, 8);
      const leader = cell.leader();
      await leader.child.kill();
      cell.processes.splice(cell.processes.indexOf(leader), 1);
      await submit(cell, 'aaaaaaaaaaaaaaa3', 300, 3);
      for (const digit of [1, 2, 3]) {
        await completed(cell, `aaaaaaaaaaaaaaa${digit}`);
      }
      assert.equal(cell.startEventsOf('aaaaaaaaaaaaaaa1').length, 4);
      assert.equal(cell.startEventsOf('aaaaaaaaaaaaaaa2').length, 8);
    }),
  );

  // Guards against a scheduler that comes back from a pause and goes on.
  test(
    'ignore a scheduler that was paused and replaced',
    inCell(3, async cell => {
      const paused = cell.leader();
      paused.child.signal('SIGSTOP');
      const others = cell.processes.filter(item => item !== paused);
      cell.processes.splice(0, cell.processes.length, ...others);
      await submit(cell, 'aaaaaaaaaaaaaaa1', 200, 4);
      paused.child.signal('SIGCONT');
      cell.processes.push(paused);
      await paused.child.waitForLine(/event=termEnded/);
      await submit(cell, 'aaaaaaaaaaaaaaa2', 200, 4);
      await completed(cell, 'aaaaaaaaaaaaaaa1');
      await completed(cell, 'aaaaaaaaaaaaaaa2');
      assert.equal(cell.startEventsOf('aaaaaaaaaaaaaaa').length, 8);
    }),
  );

  // Guards against requests that are cut off by a planned stop.
  test(
    'answer what is open and exit on SIGTERM',
    inCell(2, async cell => {
      const leader = cell.leader();
      const open = cell.callFront(leader, 'POST', 'aaaaaaaaaaaaaaa1', {
        spec: '100',
        steps: [{...TASK, count: 1}],
      });
      leader.child.signal('SIGTERM');
      assert.equal((await open).status, 200);
      assert.equal(await leader.child.waitForExit(), 0);
      cell.processes.splice(cell.processes.indexOf(leader), 1);
      await completed(cell, 'aaaaaaaaaaaaaaa1');
    }),
  );

  // Guards against a refusal for a job that is accepted all the same, and
  // against callers that are held while the store is away.
  test(
    'say 504 or 503 while the store is silent, and keep running work',
    inCell(2, async cell => {
      await submit(cell, 'aaaaaaaaaaaaaaa1', 3_000, 2);
      cell.store.silent = true;
      const body = {spec: '100', steps: [{...TASK, count: 1}]};
      const [first] = cell.processes;
      const doubtful = await cell.callFront(
        first,
        'POST',
        'aaaaaaaaaaaaaaa2',
        body,
      );
      assert.equal(doubtful.status, 504);
      const refused = await cell.callFront(
        first,
        'POST',
        'aaaaaaaaaaaaaaa3',
        body,
      );
      assert.equal(refused.status, 503);
      cell.store.silent = false;
      await completed(cell, 'aaaaaaaaaaaaaaa1');
      assert.equal(cell.startEventsOf('aaaaaaaaaaaaaaa1').length, 2);
      assert.equal(cell.startEventsOf('aaaaaaaaaaaaaaa3').length, 0);
    }),
  );

  // Guards against a configuration that is not in force in every process.
  test(
    'take a new configuration and drop its queues',
    inCell(2, async cell => {
      cell.publishConfiguration(2, []);
      for (const target of cell.processes) {
        await wait.until('queue dropped', async () => {
          const {status} = await cell.callFront(target, 'GET', '');
          return status === 404 ? true : undefined;
        });
      }
    }),
  );
});
