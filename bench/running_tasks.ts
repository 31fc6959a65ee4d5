import * as deadlineHeap from '../src/contracts/deadline_heap.js';
import type * as clock from '../src/machines/clock.js';
import type * as placement from '../src/contracts/placement.js';

/** Running task of a benchmark with its start and planned end. */
export interface RunningTask {
  readonly placement: placement.Placement;
  readonly startedAtMs: clock.Milliseconds;
  readonly endsAtMs: clock.Milliseconds;
}

/** Running tasks of a benchmark, ordered by their end in virtual time. */
export class RunningTasks {
  private readonly endHeap = new deadlineHeap.DeadlineHeap();
  private readonly tasks = new Map<string, RunningTask>();

  /** Number of running tasks. */
  get size(): number {
    return this.tasks.size;
  }

  /** Returns the earliest end of a task; Infinity if none runs. */
  nextEndMs(): clock.Milliseconds {
    return this.endHeap.earliest();
  }

  /** Adds a task that starts at `now`. */
  add(
    placement: placement.Placement,
    now: clock.Milliseconds,
    runTimeMs: clock.Milliseconds,
  ): void {
    const endsAtMs = now + runTimeMs;
    this.tasks.set(placement.task, {
      placement,
      startedAtMs: now,
      endsAtMs,
    });
    this.endHeap.add(placement.task, endsAtMs);
  }

  /** Returns a running task by its name. */
  get(task: string): RunningTask | undefined {
    return this.tasks.get(task);
  }

  /** Removes a task before its end and returns it. */
  remove(task: string): RunningTask | undefined {
    const removed = this.tasks.get(task);
    this.tasks.delete(task);
    return removed;
  }

  /** Removes and returns the tasks that have ended by `now`. */
  takeEnded(now: clock.Milliseconds): ReadonlyArray<RunningTask> {
    const ended: RunningTask[] = [];
    for (const task of this.endHeap.takeDue(now)) {
      const endedTask = this.remove(task);
      if (endedTask !== undefined) ended.push(endedTask);
    }
    return ended;
  }
}
