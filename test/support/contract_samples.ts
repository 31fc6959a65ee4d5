import type * as request from '../../src/contracts/request.js';
import type * as resources from '../../src/machines/resources.js';
import type * as task from '../../src/contracts/task.js';
import type * as workload from '../../src/contracts/workload.js';

/** Size of a sample task; `buildReport` has capacity for eight. */
export const SAMPLE_TASK_SIZE: resources.Resources = {
  processors: 1000,
  memory: 1024,
  accelerators: 0,
  slots: 1,
};

/** Builds a workload, a non-idempotent batch order unless changed. */
export function buildWorkload(
  change: Partial<workload.Workload> = {},
): workload.Workload {
  return {
    name: 'order',
    kind: 'batch',
    urgency: 'normal',
    worth: 1,
    idempotent: false,
    size: SAMPLE_TASK_SIZE,
    runTimeMs: 100,
    taskCount: 1,
    startDeadlineMs: 0,
    zones: [],
    maximumPerRack: 0,
    ...change,
  };
}

/** Builds a request of client `alice`. */
export function buildRequest(
  identity: string,
  change: Partial<workload.Workload> = {},
): request.Request {
  const built = buildWorkload(change);
  return {
    identity,
    client: 'alice',
    team: 'dispatch',
    workload: built,
    payload: 'stone',
    size: built.size,
    taskCount: built.taskCount,
    arrivedAt: 0,
    startBy: Infinity,
  };
}

/** Builds the report of one task for `buildReport`. */
export function buildTaskReport(
  name: string,
  identity: string,
  change: Partial<task.TaskReport> = {},
): task.TaskReport {
  return {
    task: name,
    label: {
      identity,
      client: 'alice',
      team: 'dispatch',
      workload: 'order',
      idempotent: false,
      worth: 1,
    },
    state: 'running',
    size: SAMPLE_TASK_SIZE,
    usage: SAMPLE_TASK_SIZE,
    leaseEnd: 0,
    ...change,
  };
}

/** Builds a report of `worker-1`, which fits eight sample tasks. */
export function buildReport(
  workerClock: number,
  tasks: ReadonlyArray<task.TaskReport> = [],
): task.WorkerReport {
  return {
    worker: 'worker-1',
    workerClock,
    capacity: {processors: 8000, memory: 8192, accelerators: 0, slots: 8},
    rack: 'rack-1',
    leaving: false,
    tasks,
  };
}
