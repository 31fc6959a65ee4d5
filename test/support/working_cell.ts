import * as jobCell from './job_cell.js';
import * as simulatedCell from './simulated_cell.js';

/** Usual interval between two jobs. */
const JOB_INTERVAL_MS = 150;

const MEMBER_COUNT = 9;

const WORKER_COUNT = 4;

/** Interval at which workers end runs with expired leases on their own. */
const LEASE_CHECK_INTERVAL_MS = 10;

const {QUEUE} = jobCell;

/** Name of the queue that takes the jobs. */
export const QUEUE_NAME = QUEUE.name;

/** The operator's page of the queue, in the platform's format. */
const ROUTE = {
  name: QUEUE.name,
  host: QUEUE.host,
  path_prefix: QUEUE.pathPrefix,
  service_name: QUEUE.service,
  attempts: QUEUE.attempts,
};

/** Starts a cell of some members and four workers that takes jobs. */
export async function startCell(
  seed: number,
  runTimeMs: number,
  memberCount = MEMBER_COUNT,
  clockRateOf: (index: number) => number = () => 1,
): Promise<simulatedCell.SimulatedCell> {
  return simulatedCell.SimulatedCell.start(memberCount, seed, true, cell => {
    cell.clockRateOf = clockRateOf;
    for (let index = 0; index < WORKER_COUNT; index += 1) {
      cell.addWorker(jobCell.registryEntry(`w${index}`), () => ({
        runTimeMs,
        outcome: 'done',
      }));
    }
    cell.publish(1, [ROUTE]);
    cell.time.runEvery(LEASE_CHECK_INTERVAL_MS, () => {
      for (const model of cell.workers.byAddress.values()) model.endDueRuns();
    });
  });
}

/**
 * Submits jobs to every member that serves, for a time. Returns the ids of those
 * that were accepted, which grows while answers arrive.
 */
export async function submitJobs(
  cell: simulatedCell.SimulatedCell,
  durationMs: number,
  intervalMs = JOB_INTERVAL_MS,
): Promise<ReadonlySet<string>> {
  const accepted = new Set<string>();
  const until = cell.time.now() + durationMs;
  while (cell.time.now() < until) {
    const id = `job${Math.round(cell.time.now())}`;
    for (const {node} of cell.members) {
      const outcome = node.submit(jobCell.jobOf(id, {count: 2}), 1);
      void outcome?.then(({kind}) => {
        if (kind === 'accepted') accepted.add(id);
      });
    }
    await cell.time.advance(intervalMs);
  }
  return accepted;
}
