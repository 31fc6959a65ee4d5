import * as deadlineHeap from './deadline_heap.js';
import * as workload from './workload.js';
import type * as clock from '../machines/clock.js';
import type * as request from './request.js';

/** Wait after which a request takes precedence in its team's queue. */
export const STARVATION_BOUND_MS = 60_000;

/** Weight of the newest interval between starts in their moving average. */
const START_INTERVAL_SMOOTHING_FACTOR = 0.2;

/** Number of leading removed entries from which a queue is compacted. */
const COMPACTION_THRESHOLD_ENTRIES = 256;

interface QueueEntry {
  readonly request: request.Request;
  /** Set on removal from the queue; the entry is skipped and freed later. */
  isRemoved: boolean;
}

/** Waiting requests of one workload in order of arrival. */
export class WorkloadQueue {
  private readonly returnedEntries: QueueEntry[] = [];
  private waitingEntries: QueueEntry[] = [];
  private firstWaitingIndex = 0;
  private waitingCount = 0;
  /** Retry version at which the head could not be placed. */
  blockedAtVersion = -1;
  /** Retry round in which the head could not be placed. */
  failedRetryRound = -1;

  constructor(readonly workload: workload.Workload) {}

  /** Number of waiting requests. */
  get size(): number {
    return this.waitingCount;
  }

  /** Adds a new request at the tail. */
  push(added: request.Request): QueueEntry {
    const entry: QueueEntry = {request: added, isRemoved: false};
    this.waitingEntries.push(entry);
    this.waitingCount += 1;
    return entry;
  }

  /** Returns a request to the queue ahead of all others. */
  putBack(added: request.Request): QueueEntry {
    const entry: QueueEntry = {request: added, isRemoved: false};
    this.returnedEntries.push(entry);
    this.waitingCount += 1;
    this.blockedAtVersion = -1;
    return entry;
  }

  /** Returns the request at the head; undefined when the queue is empty. */
  head(): request.Request | undefined {
    let lastReturned = this.returnedEntries.at(-1);
    while (lastReturned?.isRemoved === true) {
      this.returnedEntries.pop();
      lastReturned = this.returnedEntries.at(-1);
    }
    if (lastReturned !== undefined) return lastReturned.request;
    while (this.waitingEntries[this.firstWaitingIndex]?.isRemoved === true) {
      this.firstWaitingIndex += 1;
    }
    this.compact();
    return this.waitingEntries[this.firstWaitingIndex]?.request;
  }

  /** Returns the first requests of the queue, at most `limit`. */
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

  /** Removes an entry; does nothing when it is already removed. */
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

/** Waiting requests of one team, with a queue for each workload. */
export class TeamQueue {
  private readonly workloadQueues = new Map<string, WorkloadQueue>();
  private readonly positions = new Map<string, QueuePosition>();
  private readonly deadlines = new deadlineHeap.DeadlineHeap();
  private meanStartIntervalMs = 0;
  private lastStartAt = Infinity;
  private lastTakenAsStarving = false;

  constructor(readonly team: string) {}

  /** Number of waiting requests. */
  get size(): number {
    return this.positions.size;
  }

  /** Adds a new request at the tail of its workload's queue. */
  push(added: request.Request, now: clock.Milliseconds): void {
    // Time in which the queue was empty is not an interval between starts.
    if (this.size === 0) this.lastStartAt = now;
    this.remove(added.identity);
    const workloadQueue = this.queueFor(added.workload);
    this.indexRequest(added, {
      workloadQueue,
      entry: workloadQueue.push(added),
    });
  }

  /**
   * Returns a request to the head of its workload's queue. Tasks of one request
   * that return one by one are merged and wait as one request.
   */
  putBack(returned: request.Request): void {
    const existing = this.get(returned.identity);
    this.remove(returned.identity);
    const taskCount = returned.taskCount + (existing?.taskCount ?? 0);
    const merged = existing === undefined ? returned : {...returned, taskCount};
    const workloadQueue = this.queueFor(merged.workload);
    this.indexRequest(merged, {
      workloadQueue,
      entry: workloadQueue.putBack(merged),
    });
  }

  /** Returns a waiting request; undefined when it is not in this queue. */
  get(identity: string): request.Request | undefined {
    return this.positions.get(identity)?.entry.request;
  }

  /** Removes a request; returns false when it is not in this queue. */
  remove(identity: string): boolean {
    const position = this.positions.get(identity);
    if (position === undefined) return false;
    position.workloadQueue.remove(position.entry);
    this.positions.delete(identity);
    return true;
  }

  /** Removes a request that is being placed, and updates the start interval. */
  take(taken: request.Request, now: clock.Milliseconds): void {
    if (!this.remove(taken.identity)) return;
    this.lastTakenAsStarving =
      isStarving(taken, now) && !this.lastTakenAsStarving;
    const intervalMs = Math.max(0, now - this.lastStartAt);
    this.lastStartAt = now;
    this.meanStartIntervalMs +=
      START_INTERVAL_SMOOTHING_FACTOR * (intervalMs - this.meanStartIntervalMs);
  }

  /** Removes and returns the requests whose start deadline has passed. */
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

  /** Returns the earliest start deadline; Infinity when there is none. */
  nextDeadline(): clock.Milliseconds {
    return this.deadlines.earliest();
  }

  /**
   * Returns the eligible workload queue whose head is placed next: by urgency,
   * worth and arrival. Every second placement goes to the oldest request beyond
   * the starvation bound, so that neither old nor urgent requests starve the
   * others.
   */
  next(
    isEligible: (workloadQueue: WorkloadQueue) => boolean,
    now: clock.Milliseconds,
  ): WorkloadQueue | undefined {
    let highestPriority: WorkloadQueue | undefined;
    let oldestStarving: WorkloadQueue | undefined;
    for (const candidate of this.workloadQueues.values()) {
      if (candidate.size === 0 || !isEligible(candidate)) continue;
      if (
        highestPriority === undefined ||
        precedes(candidate, highestPriority)
      ) {
        highestPriority = candidate;
      }
      const head = candidate.head();
      if (head === undefined || !isStarving(head, now)) continue;
      if (oldestStarving === undefined || isOlder(candidate, oldestStarving)) {
        oldestStarving = candidate;
      }
    }
    return this.lastTakenAsStarving
      ? highestPriority
      : (oldestStarving ?? highestPriority);
  }

  /**
   * Estimates the wait of a new request from the number of requests ahead of it
   * and the mean interval between starts.
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

  /** Returns the time in which all waiting requests are expected to start. */
  expectedDrainMs(): clock.Milliseconds {
    return this.size * this.meanStartIntervalMs;
  }

  private indexRequest(added: request.Request, position: QueuePosition): void {
    this.positions.set(added.identity, position);
    this.deadlines.add(added.identity, added.startBy);
  }

  private queueFor(definition: workload.Workload): WorkloadQueue {
    const existing = this.workloadQueues.get(definition.name);
    // A changed definition gets a new queue once the old one is empty.
    const isCurrent = existing?.workload === definition;
    if (existing !== undefined && (isCurrent || existing.size > 0)) {
      return existing;
    }
    const created = new WorkloadQueue(definition);
    this.workloadQueues.set(definition.name, created);
    return created;
  }
}

/** Returns whether a request has waited for at least the starvation bound. */
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
  definition: workload.Workload,
  other: workload.Workload,
): boolean {
  if (urgencyRank(definition) !== urgencyRank(other)) {
    return urgencyRank(definition) > urgencyRank(other);
  }
  return definition.worth >= other.worth;
}

function isOlder(left: WorkloadQueue, right: WorkloadQueue): boolean {
  const leftArrival = left.head()?.arrivedAt ?? Infinity;
  return leftArrival < (right.head()?.arrivedAt ?? Infinity);
}

function precedes(left: WorkloadQueue, right: WorkloadQueue): boolean {
  const urgencyDifference =
    urgencyRank(left.workload) - urgencyRank(right.workload);
  if (urgencyDifference !== 0) return urgencyDifference > 0;
  const worthDifference = left.workload.worth - right.workload.worth;
  if (worthDifference !== 0) return worthDifference > 0;
  return isOlder(left, right);
}
