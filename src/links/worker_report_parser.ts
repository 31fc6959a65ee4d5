import * as jsonBody from './json_body.js';
import * as typeGuards from './type_guards.js';
import type * as task from '../contracts/task.js';

const TASK_STATES: ReadonlySet<unknown> = new Set<task.TaskState>([
  'running',
  'finished',
  'failed',
  'stopped',
  'checkpointed',
  'lapsed',
]);

/** Parses a worker's report; returns undefined if any part is malformed. */
export function parseWorkerReport(
  worker: string,
  text: string,
): task.WorkerReport | undefined {
  const raw = jsonBody.parseJsonObject(text);
  if (raw === undefined || !isReport(raw)) return undefined;
  return {...raw, worker};
}

function isReport(
  raw: Readonly<Record<string, unknown>>,
): raw is Readonly<Record<string, unknown>> &
  Omit<task.WorkerReport, 'worker'> {
  return (
    typeGuards.isNonNegativeNumber(raw['workerClock']) &&
    typeGuards.isResources(raw['capacity']) &&
    typeof raw['rack'] === 'string' &&
    typeof raw['leaving'] === 'boolean' &&
    Array.isArray(raw['tasks']) &&
    raw['tasks'].every(isTaskReport) &&
    hasDistinctTasks(raw['tasks'])
  );
}

function isTaskReport(value: unknown): value is task.TaskReport {
  return (
    typeGuards.isObject(value) &&
    typeGuards.isNonEmptyString(value['task']) &&
    isTaskLabel(value['label']) &&
    TASK_STATES.has(value['state']) &&
    typeGuards.isResources(value['size']) &&
    typeGuards.isResources(value['usage']) &&
    typeGuards.isNonNegativeNumber(value['leaseEnd'])
  );
}

function isTaskLabel(value: unknown): value is task.TaskLabel {
  return (
    typeGuards.isObject(value) &&
    typeGuards.isNonEmptyString(value['identity']) &&
    typeof value['client'] === 'string' &&
    typeof value['team'] === 'string' &&
    typeof value['workload'] === 'string' &&
    typeof value['idempotent'] === 'boolean' &&
    Number.isFinite(value['worth'])
  );
}

function hasDistinctTasks(tasks: ReadonlyArray<task.TaskReport>): boolean {
  return new Set(tasks.map(item => item.task)).size === tasks.length;
}
