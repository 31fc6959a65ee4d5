import type * as clock from '../machines/clock.js';

/** Time in which earlier demand and starts lose most of their weight. */
const AGING_TIME_MS = 10_000;

/** Interval at which demand and starts age. */
const AGING_INTERVAL_MS = 200;

/** Weight of a job in the mean number of tasks of its queue's jobs. */
const MEAN_WEIGHT = 0.1;

/** Demand below which a queue is forgotten; that of one task lasts 46 s. */
const MINIMUM_DEMAND = 0.01;

/** Tasks of one queue that were to start and that have started. */
export interface QueueStarts {
  readonly demand: number;
  readonly started: number;
}

/**
 * What each queue lately got of the starts that its jobs asked for, in tasks.
 * Jobs that were refused count as demand: a queue whose jobs are refused gets
 * less than one whose jobs are accepted and wait.
 */
export class StartShares {
  private readonly byQueue = new Map<string, QueueStarts>();
  /** Mean number of tasks of the jobs of each queue. */
  private readonly meanTaskCounts = new Map<string, number>();
  private agedAt: clock.Milliseconds | undefined;

  /** Counts tasks that are ready to start. */
  recordDemand(queue: string, taskCount: number): void {
    this.add(queue, {demand: taskCount, started: 0});
  }

  /** Notes the number of tasks of a job that was submitted. */
  recordJob(queue: string, taskCount: number): void {
    const mean = this.meanTaskCounts.get(queue) ?? taskCount;
    this.meanTaskCounts.set(queue, mean + MEAN_WEIGHT * (taskCount - mean));
  }

  /** Counts the tasks of a refused job, which may not be known. */
  recordRefusal(queue: string, taskCount?: number): void {
    this.recordDemand(queue, taskCount ?? this.meanTaskCounts.get(queue) ?? 0);
  }

  recordStarts(queue: string, taskCount: number): void {
    this.add(queue, {demand: 0, started: taskCount});
  }

  /** Reduces the weight of earlier demand and starts. */
  review(now: clock.Milliseconds): void {
    this.agedAt ??= now;
    const elapsedMs = now - this.agedAt;
    if (elapsedMs < AGING_INTERVAL_MS) return;
    this.agedAt = now;
    const factor = Math.exp(-elapsedMs / AGING_TIME_MS);
    for (const [queue, {demand, started}] of this.byQueue) {
      if (demand * factor < MINIMUM_DEMAND) this.byQueue.delete(queue);
      else {
        const aged = {demand: demand * factor, started: started * factor};
        this.byQueue.set(queue, aged);
      }
    }
  }

  /** Returns whether a queue got a smaller share than all queues together. */
  isBehind(queue: string): boolean {
    const starts = this.byQueue.get(queue);
    if (starts === undefined) return false;
    let [demand, started] = [0, 0];
    for (const other of this.byQueue.values()) {
      demand += other.demand;
      started += other.started;
    }
    return starts.started * demand < started * starts.demand;
  }

  /** Returns the demand and the starts of each queue, most demand first. */
  all(): ReadonlyArray<readonly [string, QueueStarts]> {
    return [...this.byQueue].sort(
      ([, left], [, right]) => right.demand - left.demand,
    );
  }

  private add(queue: string, {demand, started}: QueueStarts): void {
    const known = this.byQueue.get(queue);
    this.byQueue.set(queue, {
      demand: (known?.demand ?? 0) + demand,
      started: (known?.started ?? 0) + started,
    });
  }
}
