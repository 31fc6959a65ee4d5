import * as placementPolicy from '../src/contracts/placement_policy.js';
import * as worker from '../src/machines/worker.js';
import type * as clock from '../src/machines/clock.js';
import type * as request from '../src/contracts/request.js';
import type * as placement from '../src/contracts/placement.js';
import type * as schedulerUnderTest from './scheduler_under_test.js';

/**
 * Plain baseline: first come, first served onto the first worker that fits,
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
    const made: worker.Worker[] = [];
    for (let index = 0; index < options.workerCount; index += 1) {
      const name = `worker-${index}`;
      const created = new worker.Worker({name, zone: '', address: name});
      const {capacity} = options;
      const known = {worker: name, workerClock: 0, capacity, rack: ''};
      created.update({...known, leaving: false, tasks: []}, 0);
      made.push(created);
    }
    this.workers = made;
  }

  admit(admitted: request.Request): boolean {
    if (this.waiting.length - this.head >= this.queueLimit) return false;
    this.waiting.push(admitted);
    return true;
  }

  place(now: clock.Milliseconds): ReadonlyArray<placement.Placement> {
    const placements: placement.Placement[] = [];
    while (this.head < this.waiting.length) {
      const placed = this.placeOne(this.waiting[this.head], now);
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

  started(): void {}

  ended(placement: placement.Placement): void {
    placement.worker.release(placement.task);
  }

  checkpointed(): void {}

  report(): void {}

  private placeOne(
    waiting: request.Request,
    _now: clock.Milliseconds,
  ): placement.Placement | undefined {
    this.placementAttempts += 1;
    const task = `${waiting.identity}/0.${this.placementAttempts}`;
    const label = placementPolicy.buildTaskLabel(waiting);
    const {size} = waiting;
    const target = this.workers.find(candidate =>
      candidate.reserve({task, label, size}),
    );
    if (target === undefined) return undefined;
    return {request: waiting, task, worker: target, size};
  }
}
