import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as jobCell from '../support/job_cell.js';
import * as runAudit from '../support/run_audit.js';
import * as simulatedCell from '../support/simulated_cell.js';
import type * as simulatedMember from '../support/simulated_member.js';

const {describe, test} = nodeTest;

const MEMBER_COUNT = 9;

const WORKER_COUNT = 4;

/** Longer than the wait of a successor for workers that it can't reach. */
const PARTITION_MS = 12_000;

/** Interval between two jobs, of which each leader accepts some. */
const JOB_INTERVAL_MS = 150;

const RUN_TIME_MS = 2_000;

const {QUEUE} = jobCell;

/** The operator's page of the queue, in the platform's format. */
const ROUTE = {
  name: QUEUE.name,
  host: QUEUE.host,
  path_prefix: QUEUE.pathPrefix,
  service_name: QUEUE.service,
  attempts: QUEUE.attempts,
};

async function startCell(seed: number): Promise<simulatedCell.SimulatedCell> {
  return simulatedCell.SimulatedCell.start(MEMBER_COUNT, seed, true, cell => {
    for (let index = 0; index < WORKER_COUNT; index += 1) {
      cell.addWorker(jobCell.registryEntry(`w${index}`), () => ({
        runTimeMs: RUN_TIME_MS,
        outcome: 'done',
      }));
    }
    cell.publish(1, [ROUTE]);
    // Workers end runs with expired leases on their own.
    cell.time.runEvery(10, () => {
      for (const model of cell.workers.byAddress.values()) model.endDueRuns();
    });
  });
}

/** Submits jobs to every member that serves, for a time. */
async function submitJobs(
  cell: simulatedCell.SimulatedCell,
  durationMs: number,
): Promise<void> {
  const until = cell.time.now() + durationMs;
  while (cell.time.now() < until) {
    const id = `job${Math.round(cell.time.now())}`;
    for (const {node} of cell.members) {
      void node.submit(jobCell.jobOf(id, {count: 2}), 1);
    }
    await cell.time.advance(JOB_INTERVAL_MS);
  }
}

/** Returns a leader and the members of its availability zone. */
function zoneOfLeader(
  cell: simulatedCell.SimulatedCell,
): ReadonlyArray<simulatedMember.SimulatedMember> {
  const {zone} = cell.leader().self;
  return cell.members.filter(({self}) => self.zone === zone);
}

describe('a leader that is cut off with its availability zone', () => {
  for (const seed of [1, 2, 3]) {
    // Guards against the incident of issue 35: the members that are cut off with
    // the leader know no later term, and their pings extended its permission for
    // as long as the cut lasted.
    test(`starts no task that its successor starts too (seed ${seed})`, async () => {
      const cell = await startCell(seed);
      await submitJobs(cell, 3_000);
      const cutOff = zoneOfLeader(cell).map(({self}) => self.address);
      const claimCount = cell.wonClaims.length;
      cell.partition([...cutOff, cell.workerEntries[0].address]);
      await submitJobs(cell, PARTITION_MS);
      assert.equal(cell.wonClaims.length, claimCount + 1, 'not replaced once');
      cell.heal();
      await cell.time.advance(10_000);
      assert.deepEqual(runAudit.findRepeatedRuns(cell.workers), []);
    });
  }
});
