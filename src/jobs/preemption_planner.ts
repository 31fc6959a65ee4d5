import * as workerSelection from './worker_selection.js';
import * as resources from '../machines/resources.js';
import type * as clock from '../machines/clock.js';
import type * as job from './job.js';
import type * as remoteWorker from '../machines/remote_worker.js';
import type * as stepInstance from './step_instance.js';
import type * as jobTask from './job_task.js';

/** Age from which a run may be interrupted, so that it makes some progress. */
const MINIMUM_RUN_AGE_MS = 1_000;

/** What a plan must know of the runs on workers. */
export interface PreemptionFacts extends workerSelection.WorkerFacts {
  runsOn(worker: remoteWorker.RemoteWorker): Iterable<jobTask.Assignment>;
  priorityOf(step: stepInstance.StepInstance): number;
}

/**
 * Room that becomes free for urgent tasks during one pass, so that the same
 * room is not counted on twice.
 */
export class PreemptionPlanner {
  private readonly claimedRoom = new Map<
    remoteWorker.RemoteWorker,
    resources.Resources
  >();

  constructor(private readonly now: clock.Milliseconds) {}

  /**
   * Returns runs to interrupt so that `count` tasks of a step find room. Only
   * less urgent work that resumes from a checkpoint is interrupted, and no
   * more of it than the tasks need.
   */
  planVictims(
    step: stepInstance.StepInstance,
    queue: job.Queue,
    count: number,
    workers: ReadonlyArray<remoteWorker.RemoteWorker>,
    facts: PreemptionFacts,
  ): ReadonlyArray<jobTask.Assignment> {
    const victims: jobTask.Assignment[] = [];
    let left = count;
    for (const worker of workers) {
      if (left === 0) break;
      if (!couldRunTask(worker, step.definition, facts)) continue;
      const plan = this.planOnWorker(worker, step, queue, left, facts);
      victims.push(...plan.victims);
      left -= plan.tasks;
    }
    return victims;
  }

  private planOnWorker(
    worker: remoteWorker.RemoteWorker,
    step: stepInstance.StepInstance,
    queue: job.Queue,
    wanted: number,
    facts: PreemptionFacts,
  ): {tasks: number; victims: ReadonlyArray<jobTask.Assignment>} {
    const size = workerSelection.reservedSize(step.definition);
    const runs = [...facts.runsOn(worker)];
    let room = this.roomAfterStops(worker, runs);
    const candidates = runs
      .filter(assignment => this.mayInterrupt(assignment, queue, facts))
      .sort(
        (left, right) => sizeOf(left).processors - sizeOf(right).processors,
      );
    const tasksOnWorker = facts.countTasksOfStep(worker);
    const taskLimit =
      (step.definition.maximumPerWorker ?? Infinity) - tasksOnWorker;
    const victims: jobTask.Assignment[] = [];
    let tasks = 0;
    while (tasks < Math.min(wanted, taskLimit)) {
      const needed = selectVictims(size, room, candidates);
      if (needed === undefined) break;
      for (const victim of needed) room = resources.add(room, sizeOf(victim));
      candidates.splice(0, needed.length);
      victims.push(...needed);
      room = resources.subtract(room, size);
      this.claimRoom(worker, size);
      tasks += 1;
    }
    return {tasks, victims};
  }

  /** Room once all that is being stopped has ended. */
  private roomAfterStops(
    worker: remoteWorker.RemoteWorker,
    runs: ReadonlyArray<jobTask.Assignment>,
  ): resources.Resources {
    let room = worker.free;
    for (const assignment of runs) {
      if (assignment.phase === 'stopping') {
        room = resources.add(room, sizeOf(assignment));
      }
    }
    const promised = this.claimedRoom.get(worker);
    return promised ? resources.subtract(room, promised) : room;
  }

  private claimRoom(
    worker: remoteWorker.RemoteWorker,
    size: resources.Resources,
  ): void {
    const before = this.claimedRoom.get(worker) ?? resources.NONE;
    this.claimedRoom.set(worker, resources.add(before, size));
  }

  private mayInterrupt(
    assignment: jobTask.Assignment,
    queue: job.Queue,
    facts: PreemptionFacts,
  ): boolean {
    const {definition} = assignment.jobTask.step;
    return (
      assignment.phase === 'running' &&
      assignment.reported &&
      definition.checkpointing &&
      !definition.gang &&
      !definition.longRunning &&
      facts.priorityOf(assignment.jobTask.step) > queue.priority &&
      this.now - assignment.startedAt >= MINIMUM_RUN_AGE_MS
    );
  }
}

function couldRunTask(
  worker: remoteWorker.RemoteWorker,
  step: job.Step,
  facts: PreemptionFacts,
): boolean {
  return (
    workerSelection.fitsTotalCapacity(worker, step) &&
    facts.ticketFor(worker) !== undefined
  );
}

function sizeOf(assignment: jobTask.Assignment): resources.Resources {
  return workerSelection.reservedSize(assignment.jobTask.step.definition);
}

/** The first runs whose end makes room; undefined when all would not do. */
function selectVictims(
  size: resources.Resources,
  room: resources.Resources,
  candidates: ReadonlyArray<jobTask.Assignment>,
): ReadonlyArray<jobTask.Assignment> | undefined {
  let free = room;
  let count = 0;
  while (!resources.fits(size, free)) {
    const victim = candidates[count];
    if (victim === undefined) return undefined;
    free = resources.add(free, sizeOf(victim));
    count += 1;
  }
  return candidates.slice(0, count);
}
