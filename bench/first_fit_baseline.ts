import * as placementPolicy from '../src/contracts/placement_policy.js';
import * as worker from '../src/machines/worker.js';
import type * as clock from '../src/machines/clock.js';
import type * as request from '../src/contracts/request.js';
import type * as placement from '../src/contracts/placement.js';
import type * as schedulerUnderTest from './scheduler_under_test.js';

/**
 * Baseline scheduler: first come, first served onto the first worker that fits,
 * with declared sizes and one bounded queue for all teams.
 */
export class FirstFitBaseline implements schedulerUnderTest.SchedulerUnderTest {
  readonly workers: ReadonlyArray<worker.Worker>;
  private waiting: request.Request[] = [];
  private head = 0;
  private placementAttempts = 0;

  constructor(
    options: schedulerUnderTest.SchedulerUnderTestOptions,
    private readonly queueLimit: number,
  ) {
    const workers: worker.Worker[] = [];
    for (let index = 0; index < options.workerCount; index += 1) {
      const name = `worker-${index}`;
      const added = new worker.Worker({name, zone: '', address: name});
      const {capacity} = options;
      const reportHeader = {worker: name, workerClock: 0, capacity, rack: ''};
      added.update({...reportHeader, leaving: false, tasks: []}, 0);
      workers.push(added);
    }
    this.workers = workers;
  }

  admit(admitted: request.Request): boolean {
    if (this.waiting.length - this.head >= this.queueLimit) return false;
    this.waiting.push(admitted);
    return true;
  }

  place(now: clock.Milliseconds): ReadonlyArray<placement.Placement> {
    const placements: placement.Placement[] = [];
    while (this.head < this.waiting.length) {
      const placed = this.placeRequest(this.waiting[this.head], now);
      if (placed === undefined) break;
      placements.push(placed);
      this.head += 1;
    }
    if (this.head > 1_000) {
      this.waiting = this.waiting.slice(this.head);
      this.head = 0;
    }
    return placements;
  }

  takeCheckpoints(): ReadonlyArray<string> {
    return [];
  }

  taskStarted(): void {}

  taskEnded(placement: placement.Placement): void {
    placement.worker.release(placement.task);
  }

  taskCheckpointed(): void {}

  reportUsage(): void {}

  private placeRequest(
    pending: request.Request,
    _nowMs: clock.Milliseconds,
  ): placement.Placement | undefined {
    this.placementAttempts += 1;
    const task = `${pending.identity}/0.${this.placementAttempts}`;
    const label = placementPolicy.buildTaskLabel(pending);
    const {size} = pending;
    const target = this.workers.find(candidate =>
      candidate.reserve({task, label, size}),
    );
    if (target === undefined) return undefined;
    return {request: pending, task, worker: target, size};
  }
}
