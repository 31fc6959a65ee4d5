import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as platformCell from '../../stand_ins/platform_cell.js';
import * as wait from '../support/wait.js';

const {describe, test} = nodeTest;

const SMALL_STEP = {count: 1, cpu: 500, mem_mb: 64};

/** Small bodies that ask for more tasks than a process can hold. */
const OVERSIZED_BODIES: ReadonlyArray<readonly [string, object]> = [
  [
    'many wide steps',
    {spec: 'x', steps: Array(256).fill({...SMALL_STEP, count: 10_000})},
  ],
  [
    'many occurrences that are due',
    {
      spec: 'x',
      steps: [SMALL_STEP],
      repeat_count: 1_000_000_000,
      start_at_ms: 1,
      interval_ms: 1,
    },
  ],
];

describe('a process that is sent a job with too many tasks', () => {
  for (const [name, body] of OVERSIZED_BODIES) {
    // Guards against one submission that uses up the memory of the scheduler, and
    // of each successor that loads it.
    test(`refuses it and serves others (${name})`, async () => {
      const cell = await platformCell.PlatformCell.start({
        processCount: 1,
        runPlan: () => ({runTimeMs: 50, outcome: 'done'}),
      });
      try {
        const [target] = cell.processes;
        const large = platformCell.jobIdOf(1);
        const refused = await wait.until('the job is answered', async () => {
          const answer = await cell.callJobApi(target, 'POST', large, body);
          return answer.status === 503 ? undefined : answer;
        });
        assert.equal(refused.status, 400);
        const small = platformCell.jobIdOf(2);
        const smallBody = {spec: 'x', steps: [SMALL_STEP]};
        await cell.callJobApi(target, 'POST', small, smallBody);
        await wait.until('the next job is completed', async () => {
          const answer = await cell.callJobApi(target, 'GET', small);
          return answer.body['state'] === 'completed' ? true : undefined;
        });
      } finally {
        await cell.stop();
      }
    });
  }
});
