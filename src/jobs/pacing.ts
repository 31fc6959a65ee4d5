import type * as assignmentIndex from './assignment_index.js';
import type * as clock from '../machines/clock.js';
import type * as dispatcher from './dispatcher.js';
import type * as remoteWorker from '../machines/remote_worker.js';
import type * as task from './task.js';

/** Share of its target above which a serving task counts as harmed. */
const HARMED_SHARE = 0.8;

/** Share of its target below which it counts as calm. */
const CALM_SHARE = 0.5;

/** How long all must be calm before the others get more again. */
const CALM_MS = 2_000;

/** Percent by which they get more at a time. */
const RAISE_PERCENT = 25;

const FULL_PERCENT = 100;

/**
 * Holds back tasks that use idle capacity on workers whose serving tasks come
 * near their targets: to nothing at once, and back in steps.
 */
export class Pacing {
  private readonly calmSince = new Map<
    remoteWorker.RemoteWorker,
    clock.Milliseconds
  >();

  constructor(
    private readonly index: assignmentIndex.AssignmentIndex,
    private readonly orders: dispatcher.Dispatcher,
  ) {}

  /** Looks at a worker that has just reported. */
  review(worker: remoteWorker.RemoteWorker, now: clock.Milliseconds): void {
    const runs = [...this.index.of(worker)];
    const fillers = runs.filter(
      run => run.target.step.definition.usesIdleCapacity,
    );
    const worst = Math.max(0, ...runs.map(shareOfTarget));
    if (fillers.length > 0 && worst < CALM_SHARE) {
      this.raise(worker, fillers, now);
      return;
    }
    this.calmSince.delete(worker);
    if (worst <= HARMED_SHARE) return;
    for (const run of fillers) this.setPace(run, 0);
  }

  private raise(
    worker: remoteWorker.RemoteWorker,
    fillers: ReadonlyArray<task.Assignment>,
    now: clock.Milliseconds,
  ): void {
    const since = this.calmSince.get(worker) ?? now;
    this.calmSince.set(worker, since);
    if (now - since < CALM_MS) return;
    this.calmSince.set(worker, now);
    for (const run of fillers) {
      this.setPace(run, Math.min(FULL_PERCENT, run.pace + RAISE_PERCENT));
    }
  }

  private setPace(run: task.Assignment, percent: number): void {
    if (run.phase === 'running' && run.pace !== percent) {
      this.orders.pace(run, percent);
    }
  }
}

/** Tail of response times against the target; 0 for tasks that serve none. */
function shareOfTarget(run: task.Assignment): number {
  const {targetMs} = run.target.step.definition;
  return targetMs === undefined ? 0 : run.usage / targetMs;
}
