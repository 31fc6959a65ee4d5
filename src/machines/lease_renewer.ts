import * as lease from '../contracts/lease.js';
import type * as clock from './clock.js';
import type * as effect from '../contracts/effect.js';
import type * as taskSet from './task_set.js';
import type * as trackedTask from './tracked_task.js';
import type * as worker from './worker.js';

/** Maximum delay of a first renewal; tasks started meanwhile share it. */
const FIRST_RENEWAL_DELAY_MS = 500;

/** Delay before a renewal that could not be sent is tried again. */
const RENEWAL_RETRY_MS = 500;

/**
 * Maximum age of a worker's last report at which its leases are renewed. A
 * renewal to an unreachable worker may still arrive, which would delay the time
 * at which the task is known to have ended.
 */
const REPORT_STALENESS_LIMIT_MS = 7_000;

/** Time after which a renewal has either arrived or been lost. */
const DELIVERY_LIMIT_MS = 200;

/** Renews the leases of running tasks with one message per worker. */
export class LeaseRenewer {
  private readonly renewedAt = new Map<string, clock.Milliseconds>();
  private readonly nextRenewals = new Map<string, clock.Milliseconds>();

  constructor(private readonly tasks: taskSet.TaskSet) {}

  /** Schedules the first renewal of a task; tasks started together share it. */
  scheduleFirst(
    started: trackedTask.TrackedTask,
    now: clock.Milliseconds,
  ): void {
    const name = started.worker.name;
    const reading = started.worker.clockReading;
    if (reading === undefined) return;
    const remainingMs = lease.latestLeaseEnd(reading, started.leaseEnd) - now;
    // A third of the lease leaves time for a second attempt.
    const delayMs = Math.min(
      FIRST_RENEWAL_DELAY_MS,
      Math.max(0, remainingMs / 3),
    );
    this.nextRenewals.set(
      name,
      Math.min(this.nextRenewalAt(name), now + delayMs),
    );
  }

  /** Makes a renewal due now if a report shows that the last one was lost. */
  retryIfLost(
    tracked: trackedTask.TrackedTask,
    listedLeaseEnd: clock.Milliseconds,
    sentAt: clock.Milliseconds,
    now: clock.Milliseconds,
  ): void {
    const name = tracked.worker.name;
    const renewedAt = this.renewedAt.get(name) ?? Infinity;
    if (sentAt < renewedAt + DELIVERY_LIMIT_MS) return;
    if (listedLeaseEnd >= tracked.leaseEnd) return;
    this.nextRenewals.set(name, Math.min(this.nextRenewalAt(name), now));
  }

  /** Returns when the next renewal for a worker is due; Infinity for none. */
  nextRenewalAt(name: string): clock.Milliseconds {
    return this.nextRenewals.get(name) ?? Infinity;
  }

  /** Renews the leases on a worker if that is due and the permit is valid. */
  renew(
    target: worker.Worker,
    permitEnd: clock.Milliseconds,
    now: clock.Milliseconds,
  ): ReadonlyArray<effect.Effect> {
    if (now < this.nextRenewalAt(target.name)) return [];
    const running = this.tasks
      .onWorker(target.name)
      .filter(tracked => tracked.state === 'running');
    if (running.length === 0) {
      this.nextRenewals.delete(target.name);
      this.renewedAt.delete(target.name);
      return [];
    }
    const reading = target.clockReading;
    const isSilent =
      reading === undefined ||
      now - reading.receivedAt > REPORT_STALENESS_LIMIT_MS;
    if (isSilent || permitEnd <= now) {
      this.nextRenewals.set(target.name, now + RENEWAL_RETRY_MS);
      return [];
    }
    this.nextRenewals.set(target.name, now + lease.RENEWAL_INTERVAL_MS);
    this.renewedAt.set(target.name, now);
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
