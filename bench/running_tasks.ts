import * as deadlineHeap from '../src/contracts/deadline_heap.js';
import type * as clock from '../src/machines/clock.js';
import type * as placement from '../src/contracts/placement.js';

/** A task that runs in a benchmark. */
export interface RunningTask {
  readonly placement: placement.Placement;
  readonly startedAtMs: clock.Milliseconds;
  readonly endsAtMs: clock.Milliseconds;
}

/** Running tasks in order of their end, in injected time. */
export class RunningTasks {
  private readonly heap = new deadlineHeap.DeadlineHeap();
  private readonly tasks = new Map<string, RunningTask>();

  /** Tasks that run. */
  get size(): number {
    return this.tasks.size;
  }

  /** When the next task ends. */
  nextEndMs(): clock.Milliseconds {
    return this.heap.earliest();
  }

  /** Adds a task that starts now. */
  start(
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
    this.heap.add(placement.task, endsAtMs);
  }

  /** Returns a running task. */
  get(task: string): RunningTask | undefined {
    return this.tasks.get(task);
  }

  /** Takes one task out before its end. */
  stop(task: string): RunningTask | undefined {
    const stopped = this.tasks.get(task);
    this.tasks.delete(task);
    return stopped;
  }

  /** Takes out the tasks that have ended. */
  takeEnded(now: clock.Milliseconds): ReadonlyArray<RunningTask> {
    const ended: RunningTask[] = [];
    for (const task of this.heap.takeDue(now)) {
      const stopped = this.stop(task);
      if (stopped !== undefined) ended.push(stopped);
    }
    return ended;
  }
}
