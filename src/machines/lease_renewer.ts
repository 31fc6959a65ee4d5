import * as lease from '../contracts/lease.js';
import type * as clock from './clock.js';
import type * as effect from '../contracts/effect.js';
import type * as taskSet from './task_set.js';
import type * as trackedTask from './tracked_task.js';
import type * as worker from './worker.js';

/** Longest wait for further starts that share the first renewal. */
const FIRST_RENEWAL_MS = 500;

/** Time after which a renewal without a permit is tried again. */
const NO_PERMIT_RETRY_MS = 500;

/** Renews the leases of running tasks, one message a worker at a time. */
export class LeaseRenewer {
  private readonly due = new Map<string, clock.Milliseconds>();

  constructor(private readonly tasks: taskSet.TaskSet) {}

  /** Plans the first renewal of a task; tasks that start together share it. */
  plan(started: trackedTask.TrackedTask, now: clock.Milliseconds): void {
    const name = started.worker.name;
    const reading = started.worker.clockReading;
    if (reading === undefined) return;
    const left = lease.lapsedBy(reading, started.leaseEnd) - now;
    // A third of the lease leaves time for a second attempt.
    const wait = Math.min(FIRST_RENEWAL_MS, Math.max(0, left / 3));
    this.due.set(name, Math.min(this.dueAt(name), now + wait));
  }

  /** When the next renewal for a worker is due; Infinity without tasks. */
  dueAt(name: string): clock.Milliseconds {
    return this.due.get(name) ?? Infinity;
  }

  /** Renews a worker's tasks when that is due and the permit allows it. */
  renew(
    target: worker.Worker,
    permitEnd: clock.Milliseconds,
    now: clock.Milliseconds,
  ): ReadonlyArray<effect.Effect> {
    if (now < this.dueAt(target.name)) return [];
    const running = this.tasks
      .on(target.name)
      .filter(tracked => tracked.state === 'running');
    if (running.length === 0) {
      this.due.delete(target.name);
      return [];
    }
    const reading = target.clockReading;
    if (reading === undefined || permitEnd <= now) {
      this.due.set(target.name, now + NO_PERMIT_RETRY_MS);
      return [];
    }
    this.due.set(target.name, now + lease.RENEWAL_INTERVAL_MS);
    const leaseEnd = lease.renewedLeaseEnd(reading, now);
    for (const tracked of running) {
      const latest = Math.max(tracked.leaseEnd, leaseEnd);
      this.tasks.put({...tracked, leaseEnd: latest});
    }
    return [
      {
        kind: 'renewLeases',
        worker: target.name,
        address: target.description.address,
        tasks: running.map(tracked => tracked.task),
        leaseEnd,
      },
    ];
  }
}
