import * as either from 'purify-ts/Either';
import type * as clock from '../machines/clock.js';
import type * as fleet from '../machines/fleet.js';
import type * as request from './request.js';
import * as result from '../result.js';
import type * as worker from '../machines/worker.js';

/** A task of a request and the worker on which its room is reserved. */
export interface Placement {
  readonly request: request.Request;
  readonly task: string;
  readonly worker: worker.Worker;
}

/** Tells whether this process may start tasks on a worker now. */
export interface PlacementPermission {
  mayPlace(worker: string, now: clock.Milliseconds): boolean;
}

/** Requests that wait, and the choice of workers for them. */
export class Scheduler {
  private readonly queues = new Map<string, request.Request[]>();
  private attempt = 0;

  constructor(
    private readonly workers: fleet.Fleet,
    private readonly permission: PlacementPermission,
  ) {}

  /** Queues a request, or refuses it with the reason. */
  admit(
    admitted: request.Request,
    queueLimit: number,
  ): either.Either<result.Failure, null> {
    const queue = this.queues.get(admitted.team) ?? [];
    if (queue.length >= queueLimit) {
      return either.Left(
        result.failure(
          'queueFull',
          `team ${admitted.team} has ${queue.length} requests waiting`,
        ),
      );
    }
    queue.push(admitted);
    this.queues.set(admitted.team, queue);
    return either.Right(null);
  }

  /** Puts a request back whose start is proved not to have taken place. */
  requeue(returned: request.Request): void {
    const queue = this.queues.get(returned.team) ?? [];
    queue.unshift(returned);
    this.queues.set(returned.team, queue);
  }

  /** Takes a waiting request out; returns false when it does not wait. */
  remove(identity: string): boolean {
    for (const queue of this.queues.values()) {
      const position = queue.findIndex(item => item.identity === identity);
      if (position < 0) continue;
      queue.splice(position, 1);
      return true;
    }
    return false;
  }

  /** Requests that wait. */
  waitingCount(): number {
    let waiting = 0;
    for (const queue of this.queues.values()) waiting += queue.length;
    return waiting;
  }

  /** Takes out requests whose latest start has passed. */
  takeExpired(now: clock.Milliseconds): ReadonlyArray<request.Request> {
    const expired: request.Request[] = [];
    for (const [team, queue] of this.queues) {
      expired.push(...queue.filter(item => item.startBy <= now));
      this.queues.set(
        team,
        queue.filter(item => item.startBy > now),
      );
    }
    return expired;
  }

  /** Reserves room for waiting requests, all tasks of a request or none. */
  place(now: clock.Milliseconds): ReadonlyArray<Placement> {
    const placements: Placement[] = [];
    for (const queue of this.queues.values()) {
      while (queue.length > 0) {
        const placed = this.placeRequest(queue[0], now);
        if (placed.length === 0) break;
        placements.push(...placed);
        queue.shift();
      }
    }
    return placements;
  }

  private placeRequest(
    candidate: request.Request,
    now: clock.Milliseconds,
  ): ReadonlyArray<Placement> {
    const placements: Placement[] = [];
    this.attempt += 1;
    for (let index = 0; index < candidate.taskCount; index += 1) {
      const task = `${candidate.identity}/${index}.${this.attempt}`;
      const chosen = this.reserve(candidate, task, now);
      if (chosen === undefined) {
        for (const placement of placements) {
          placement.worker.release(placement.task);
        }
        return [];
      }
      placements.push({request: candidate, task, worker: chosen});
    }
    return placements;
  }

  private reserve(
    candidate: request.Request,
    task: string,
    now: clock.Milliseconds,
  ): worker.Worker | undefined {
    const label = {
      identity: candidate.identity,
      client: candidate.client,
      team: candidate.team,
      workload: candidate.workload.name,
      idempotent: candidate.workload.idempotent,
      worth: candidate.workload.worth,
    };
    return this.workers
      .all()
      .find(
        possible =>
          !possible.leaving &&
          this.permission.mayPlace(possible.name, now) &&
          possible.reserve({task, label, size: candidate.size}),
      );
  }
}
