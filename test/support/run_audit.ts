import type * as fakeWorkers from './fake_workers.js';
import type * as workerModel from '../../stand_ins/worker_model.js';

/**
 * Returns a line for each start of a task that runs on another worker at that
 * time, or that follows a success which was acknowledged.
 */
export function findRepeatedRuns(
  workers: fakeWorkers.FakeWorkers,
): ReadonlyArray<string> {
  return [...findSimultaneousRuns(workers), ...findRunsAfterSuccess(workers)];
}

/** Returns a line for each job of two tasks of which one has not succeeded. */
export function findUnfinished(
  {events}: fakeWorkers.FakeWorkers,
  ids: ReadonlySet<string>,
): ReadonlyArray<string> {
  const done = new Set(
    events.filter(({outcome}) => outcome === 'done').map(({task}) => task),
  );
  return [...ids].flatMap(id => {
    const tasks = [`${id}.0.0.0`, `${id}.0.0.1`];
    const missing = tasks.filter(task => !done.has(task));
    return missing.length === 0 ? [] : [`${missing.join()} did not succeed`];
  });
}

function findSimultaneousRuns({
  events,
}: fakeWorkers.FakeWorkers): ReadonlyArray<string> {
  const findings: string[] = [];
  const running = new Map<string, Set<string>>();
  for (const event of events) {
    const ofTask = running.get(event.task) ?? new Set<string>();
    running.set(event.task, ofTask);
    const name = `run ${event.run} on ${event.worker}`;
    if (event.kind === 'ended') {
      ofTask.delete(name);
      continue;
    }
    if (ofTask.size > 0) {
      findings.push(`${describe(event)} beside ${[...ofTask].join(', ')}`);
    }
    ofTask.add(name);
  }
  return findings;
}

function findRunsAfterSuccess({
  events,
  acknowledgedEnds,
}: fakeWorkers.FakeWorkers): ReadonlyArray<string> {
  const findings: string[] = [];
  for (const end of acknowledgedEnds) {
    if (end.endKind !== 'done' || end.leaseLapsed) continue;
    const later = events.find(
      ({kind, task, atMs}) =>
        kind === 'started' && task === end.task && atMs > end.endedAtMs,
    );
    if (later === undefined) continue;
    findings.push(`${describe(later)} after run ${end.run} was done`);
  }
  return findings;
}

function describe({task, run, worker, atMs}: workerModel.RunEvent): string {
  return `${task} run ${run} on ${worker} at ${Math.round(atMs)} ms`;
}
