import * as deadlineHeap from './deadline_heap.js';
import * as workload from './workload.js';
import type * as clock from '../machines/clock.js';
import type * as request from './request.js';

/** Wait after which a request goes to the head of its team's queue. */
export const STARVATION_BOUND_MS = 60_000;

/** Weight of the newest gap between starts in their running mean. */
const START_INTERVAL_WEIGHT = 0.2;

/** Removed entries that a lane carries before it is compacted. */
const COMPACTION_THRESHOLD_ENTRIES = 256;

interface QueueEntry {
  readonly request: request.Request;
  /** Set when the entry left the lane; the slot is skipped later. */
  isRemoved: boolean;
}

/** Waiting requests of one workload in order of arrival. */
export class WorkloadQueue {
  private readonly returnedEntries: QueueEntry[] = [];
  private waitingEntries: QueueEntry[] = [];
  private firstWaitingIndex = 0;
  private waitingCount = 0;
  /** Version of the fleet's room at which the head did not fit. */
  blockedAtVersion = -1;
  /** Round of attempts in which the head found no room. */
  failedRetryRound = -1;

  constructor(readonly workload: workload.Workload) {}

  /** Requests that wait in the lane. */
  get size(): number {
    return this.waitingCount;
  }

  /** Adds a new request at the end. */
  push(added: request.Request): QueueEntry {
    const entry: QueueEntry = {request: added, isRemoved: false};
    this.waitingEntries.push(entry);
    this.waitingCount += 1;
    return entry;
  }

  /** Puts a request back before all others. */
  putBack(added: request.Request): QueueEntry {
    const entry: QueueEntry = {request: added, isRemoved: false};
    this.returnedEntries.push(entry);
    this.waitingCount += 1;
    this.blockedAtVersion = -1;
    return entry;
  }

  /** The request that goes next. */
  head(): request.Request | undefined {
    let last = this.returnedEntries.at(-1);
    while (last?.isRemoved === true) {
      this.returnedEntries.pop();
      last = this.returnedEntries.at(-1);
    }
    if (last !== undefined) return last.request;
    while (this.waitingEntries[this.firstWaitingIndex]?.isRemoved === true) {
      this.firstWaitingIndex += 1;
    }
    this.compact();
    return this.waitingEntries[this.firstWaitingIndex]?.request;
  }

  /** The first requests of the lane, at most `limit`. */
  firstRequests(limit: number): ReadonlyArray<request.Request> {
    const found: request.Request[] = [];
    for (let index = this.returnedEntries.length - 1; index >= 0; index -= 1) {
      if (found.length >= limit) return found;
      const entry = this.returnedEntries[index];
      if (!entry.isRemoved) found.push(entry.request);
    }
    for (
      let index = this.firstWaitingIndex;
      index < this.waitingEntries.length;
      index += 1
    ) {
      if (found.length >= limit) return found;
      const entry = this.waitingEntries[index];
      if (!entry.isRemoved) found.push(entry.request);
    }
    return found;
  }

  /** Takes an entry out. */
  remove(entry: QueueEntry): void {
    if (entry.isRemoved) return;
    entry.isRemoved = true;
    this.waitingCount -= 1;
    this.blockedAtVersion = -1;
  }

  private compact(): void {
    if (this.firstWaitingIndex < COMPACTION_THRESHOLD_ENTRIES) return;
    if (this.firstWaitingIndex * 2 < this.waitingEntries.length) return;
    this.waitingEntries = this.waitingEntries.slice(this.firstWaitingIndex);
    this.firstWaitingIndex = 0;
  }
}

interface QueuePosition {
  readonly workloadQueue: WorkloadQueue;
  readonly entry: QueueEntry;
}

/** Requests of one team that wait, with a lane for each workload. */
export class TeamQueue {
  private readonly workloadQueues = new Map<string, WorkloadQueue>();
  private readonly positions = new Map<string, QueuePosition>();
  private readonly deadlines = new deadlineHeap.DeadlineHeap();
  private meanStartIntervalMs = 0;
  private lastStartAt = Infinity;
  private lastTakenWasStarving = false;

  constructor(readonly team: string) {}

  /** Requests that wait. */
  get size(): number {
    return this.positions.size;
  }

  /** Adds a new request. */
  push(added: request.Request, now: clock.Milliseconds): void {
    // An empty queue has no gaps to learn from.
    if (this.size === 0) this.lastStartAt = now;
    this.remove(added.identity);
    const workloadQueue = this.queueFor(added.workload);
    this.index(added, {
      workloadQueue,
      entry: workloadQueue.push(added),
    });
  }

  /**
   * Puts a request back before the others of its workload. Tasks of a request
   * that come back one by one wait as one request.
   */
  putBack(returned: request.Request): void {
    const existing = this.get(returned.identity);
    this.remove(returned.identity);
    const taskCount = returned.taskCount + (existing?.taskCount ?? 0);
    const merged = existing === undefined ? returned : {...returned, taskCount};
    const workloadQueue = this.queueFor(merged.workload);
    this.index(merged, {
      workloadQueue,
      entry: workloadQueue.putBack(merged),
    });
  }

  /** Returns a request that waits here. */
  get(identity: string): request.Request | undefined {
    return this.positions.get(identity)?.entry.request;
  }

  /** Takes a request out; returns false when it does not wait here. */
  remove(identity: string): boolean {
    const position = this.positions.get(identity);
    if (position === undefined) return false;
    position.workloadQueue.remove(position.entry);
    this.positions.delete(identity);
    return true;
  }

  /** Takes a request out that gets its room now. */
  take(taken: request.Request, now: clock.Milliseconds): void {
    if (!this.remove(taken.identity)) return;
    this.lastTakenWasStarving =
      isStarving(taken, now) && !this.lastTakenWasStarving;
    const intervalMs = Math.max(0, now - this.lastStartAt);
    this.lastStartAt = now;
    this.meanStartIntervalMs +=
      START_INTERVAL_WEIGHT * (intervalMs - this.meanStartIntervalMs);
  }

  /** Takes out the requests whose latest start has passed. */
  takeExpired(now: clock.Milliseconds): ReadonlyArray<request.Request> {
    const expired: request.Request[] = [];
    for (const identity of this.deadlines.takeDue(now)) {
      const position = this.positions.get(identity);
      if (position === undefined) continue;
      if (position.entry.request.startBy > now) continue;
      this.remove(identity);
      expired.push(position.entry.request);
    }
    return expired;
  }

  /** The earliest latest start of the requests that wait. */
  nextDeadline(): clock.Milliseconds {
    return this.deadlines.earliest();
  }

  /**
   * Returns the open lane whose head goes next: by urgency, worth and arrival.
   * Every second place goes to the oldest request that waits longer than the
   * starvation bound, so that neither old nor urgent work starves the other.
   */
  next(
    isEligible: (workloadQueue: WorkloadQueue) => boolean,
    now: clock.Milliseconds,
  ): WorkloadQueue | undefined {
    let highestPriority: WorkloadQueue | undefined;
    let oldestStarving: WorkloadQueue | undefined;
    for (const lane of this.workloadQueues.values()) {
      if (lane.size === 0 || !isEligible(lane)) continue;
      if (highestPriority === undefined || precedes(lane, highestPriority)) {
        highestPriority = lane;
      }
      const head = lane.head();
      if (head === undefined || !isStarving(head, now)) continue;
      if (oldestStarving === undefined || isOlder(lane, oldestStarving)) {
        oldestStarving = lane;
      }
    }
    return this.lastTakenWasStarving
      ? highestPriority
      : (oldestStarving ?? highestPriority);
  }

  /**
   * Estimates the wait of a new request from the requests that go before it
   * and the pace of the latest starts.
   */
  expectedWaitMs(newcomer: request.Request): clock.Milliseconds {
    let requestsAhead = 0;
    for (const workloadQueue of this.workloadQueues.values()) {
      if (ranksAtLeast(workloadQueue.workload, newcomer.workload)) {
        requestsAhead += workloadQueue.size;
      }
    }
    return requestsAhead * this.meanStartIntervalMs;
  }

  /** Time in which what waits now is expected to start. */
  expectedDrainMs(): clock.Milliseconds {
    return this.size * this.meanStartIntervalMs;
  }

  private index(added: request.Request, position: QueuePosition): void {
    this.positions.set(added.identity, position);
    this.deadlines.add(added.identity, added.startBy);
  }

  private queueFor(definition: workload.Workload): WorkloadQueue {
    const existing = this.workloadQueues.get(definition.name);
    // A changed description gets a new lane once the old one is empty.
    const isCurrent = existing?.workload === definition;
    if (existing !== undefined && (isCurrent || existing.size > 0)) {
      return existing;
    }
    const created = new WorkloadQueue(definition);
    this.workloadQueues.set(definition.name, created);
    return created;
  }
}

/** Whether a request has waited longer than the starvation bound. */
export function isStarving(
  waiting: request.Request,
  now: clock.Milliseconds,
): boolean {
  return now - waiting.arrivedAt >= STARVATION_BOUND_MS;
}

function urgencyRank(definition: workload.Workload): number {
  return workload.URGENCY_LEVELS.indexOf(definition.urgency);
}

function ranksAtLeast(
  left: workload.Workload,
  right: workload.Workload,
): boolean {
  if (urgencyRank(left) !== urgencyRank(right)) {
    return urgencyRank(left) > urgencyRank(right);
  }
  return left.worth >= right.worth;
}

function isOlder(left: WorkloadQueue, right: WorkloadQueue): boolean {
  const leftArrival = left.head()?.arrivedAt ?? Infinity;
  return leftArrival < (right.head()?.arrivedAt ?? Infinity);
}

function precedes(left: WorkloadQueue, right: WorkloadQueue): boolean {
  const difference = urgencyRank(left.workload) - urgencyRank(right.workload);
  if (difference !== 0) return difference > 0;
  const worth = left.workload.worth - right.workload.worth;
  if (worth !== 0) return worth > 0;
  return isOlder(left, right);
}
