import * as deadlineHeap from './deadline_heap.js';
import * as workload from './workload.js';
import type * as clock from '../machines/clock.js';
import type * as request from './request.js';

/** Wait after which a request goes to the head of its team's queue. */
export const STARVATION_BOUND_MS = 60_000;

/** Weight of the newest gap between starts in their running mean. */
const GAP_WEIGHT = 0.2;

/** Removed entries that a lane carries before it is compacted. */
const COMPACTION_MINIMUM = 256;

interface Entry {
  readonly request: request.Request;
  /** Set when the entry left the lane; the slot is skipped later. */
  gone: boolean;
}

/** Waiting requests of one workload in order of arrival. */
export class Lane {
  private readonly returned: Entry[] = [];
  private waiting: Entry[] = [];
  private first = 0;
  private count = 0;
  /** Version of the fleet's room at which the head did not fit. */
  blockedAt = -1;
  /** Round of attempts in which the head found no room. */
  failedRound = -1;

  constructor(readonly workload: workload.Workload) {}

  /** Requests that wait in the lane. */
  get size(): number {
    return this.count;
  }

  /** Adds a new request at the end. */
  push(added: request.Request): Entry {
    const entry: Entry = {request: added, gone: false};
    this.waiting.push(entry);
    this.count += 1;
    return entry;
  }

  /** Puts a request back before all others. */
  putBack(added: request.Request): Entry {
    const entry: Entry = {request: added, gone: false};
    this.returned.push(entry);
    this.count += 1;
    this.blockedAt = -1;
    return entry;
  }

  /** The request that goes next. */
  head(): request.Request | undefined {
    let last = this.returned.at(-1);
    while (last?.gone === true) {
      this.returned.pop();
      last = this.returned.at(-1);
    }
    if (last !== undefined) return last.request;
    while (this.waiting[this.first]?.gone === true) this.first += 1;
    this.compact();
    return this.waiting[this.first]?.request;
  }

  /** The first requests of the lane, at most `limit`. */
  heads(limit: number): ReadonlyArray<request.Request> {
    const found: request.Request[] = [];
    for (let index = this.returned.length - 1; index >= 0; index -= 1) {
      if (found.length >= limit) return found;
      const entry = this.returned[index];
      if (!entry.gone) found.push(entry.request);
    }
    for (let index = this.first; index < this.waiting.length; index += 1) {
      if (found.length >= limit) return found;
      const entry = this.waiting[index];
      if (!entry.gone) found.push(entry.request);
    }
    return found;
  }

  /** Takes an entry out. */
  drop(entry: Entry): void {
    if (entry.gone) return;
    entry.gone = true;
    this.count -= 1;
    this.blockedAt = -1;
  }

  private compact(): void {
    if (this.first < COMPACTION_MINIMUM) return;
    if (this.first * 2 < this.waiting.length) return;
    this.waiting = this.waiting.slice(this.first);
    this.first = 0;
  }
}

interface Position {
  readonly lane: Lane;
  readonly entry: Entry;
}

/** Requests of one team that wait, with a lane for each workload. */
export class TeamQueue {
  private readonly lanes = new Map<string, Lane>();
  private readonly positions = new Map<string, Position>();
  private readonly deadlines = new deadlineHeap.DeadlineHeap();
  private meanGap = 0;
  private lastStart = Infinity;
  private servedStarving = false;

  constructor(readonly team: string) {}

  /** Requests that wait. */
  get size(): number {
    return this.positions.size;
  }

  /** Adds a new request. */
  push(added: request.Request, now: clock.Milliseconds): void {
    // An empty queue has no gaps to learn from.
    if (this.size === 0) this.lastStart = now;
    this.remove(added.identity);
    const lane = this.laneOf(added.workload);
    this.note(added, {lane, entry: lane.push(added)});
  }

  /**
   * Puts a request back before the others of its workload. Tasks of a request
   * that come back one by one wait as one request.
   */
  putBack(returned: request.Request): void {
    const waiting = this.get(returned.identity);
    this.remove(returned.identity);
    const taskCount = returned.taskCount + (waiting?.taskCount ?? 0);
    const whole = waiting === undefined ? returned : {...returned, taskCount};
    const lane = this.laneOf(whole.workload);
    this.note(whole, {lane, entry: lane.putBack(whole)});
  }

  /** Returns a request that waits here. */
  get(identity: string): request.Request | undefined {
    return this.positions.get(identity)?.entry.request;
  }

  /** Takes a request out; returns false when it does not wait here. */
  remove(identity: string): boolean {
    const position = this.positions.get(identity);
    if (position === undefined) return false;
    position.lane.drop(position.entry);
    this.positions.delete(identity);
    return true;
  }

  /** Takes a request out that gets its room now. */
  take(taken: request.Request, now: clock.Milliseconds): void {
    if (!this.remove(taken.identity)) return;
    this.servedStarving = isStarving(taken, now) && !this.servedStarving;
    const gap = Math.max(0, now - this.lastStart);
    this.lastStart = now;
    this.meanGap += GAP_WEIGHT * (gap - this.meanGap);
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
    isOpen: (lane: Lane) => boolean,
    now: clock.Milliseconds,
  ): Lane | undefined {
    let ranked: Lane | undefined;
    let starving: Lane | undefined;
    for (const lane of this.lanes.values()) {
      if (lane.size === 0 || !isOpen(lane)) continue;
      if (ranked === undefined || goesBefore(lane, ranked)) ranked = lane;
      const head = lane.head();
      if (head === undefined || !isStarving(head, now)) continue;
      if (starving === undefined || isOlder(lane, starving)) starving = lane;
    }
    return this.servedStarving ? ranked : (starving ?? ranked);
  }

  /**
   * Estimates the wait of a new request from the requests that go before it
   * and the pace of the latest starts.
   */
  expectedWait(newcomer: request.Request): clock.Milliseconds {
    let ahead = 0;
    for (const lane of this.lanes.values()) {
      if (ranksAtLeast(lane.workload, newcomer.workload)) ahead += lane.size;
    }
    return ahead * this.meanGap;
  }

  /** Time in which what waits now is expected to start. */
  drainMs(): clock.Milliseconds {
    return this.size * this.meanGap;
  }

  private note(added: request.Request, position: Position): void {
    this.positions.set(added.identity, position);
    this.deadlines.add(added.identity, added.startBy);
  }

  private laneOf(described: workload.Workload): Lane {
    const known = this.lanes.get(described.name);
    // A changed description gets a new lane once the old one is empty.
    const isCurrent = known?.workload === described;
    if (known !== undefined && (isCurrent || known.size > 0)) return known;
    const created = new Lane(described);
    this.lanes.set(described.name, created);
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

function rank(described: workload.Workload): number {
  return workload.URGENCIES.indexOf(described.urgency);
}

function ranksAtLeast(
  left: workload.Workload,
  right: workload.Workload,
): boolean {
  if (rank(left) !== rank(right)) return rank(left) > rank(right);
  return left.worth >= right.worth;
}

function isOlder(left: Lane, right: Lane): boolean {
  const leftArrival = left.head()?.arrivedAt ?? Infinity;
  return leftArrival < (right.head()?.arrivedAt ?? Infinity);
}

function goesBefore(left: Lane, right: Lane): boolean {
  const difference = rank(left.workload) - rank(right.workload);
  if (difference !== 0) return difference > 0;
  const worth = left.workload.worth - right.workload.worth;
  if (worth !== 0) return worth > 0;
  return isOlder(left, right);
}
