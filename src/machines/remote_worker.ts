import * as endCursor from './end_cursor.js';
import * as resources from './resources.js';
import type * as clock from './clock.js';
import type * as witness from './witness.js';

/** Entry of a worker in the platform's registry. */
export interface RegistryEntry {
  readonly id: string;
  /** Unix time of the worker's start; identifies its incarnation. */
  readonly born: number;
  readonly machine: string;
  readonly address: string;
  readonly service: string;
  readonly zone: string;
  readonly state: 'ready' | 'draining';
  readonly capacity: resources.Resources;
  readonly labels: ReadonlyArray<string>;
  /** Minimum time until a draining worker ends. */
  readonly remainingMs?: number;
}

/** Client of the worker registry; used only while the scheduler runs here. */
export interface WorkerRegistry {
  /**
   * Calls `onChange` with the whole list after each change, until closed, and
   * `onAvailability` when the registry stops answering and when it answers again.
   */
  follow(
    onChange: (entries: ReadonlyArray<RegistryEntry>) => void,
    onAvailability?: (isAvailable: boolean) => void,
  ): {close(): void};
}

/** Identifies one run of a task. */
export interface RunId {
  readonly task: string;
  readonly run: number;
}

/** Run of a task that a worker reports as running. */
export interface ReportedRun extends RunId {
  readonly checkpoint: string;
  /** Progress of the work, or the processor share of a throttled service. */
  readonly percent: number;
  /** Tail latency of a serving task, or thousandths of a core in use. */
  readonly usage: number;
}

/** Run of a task that a worker reports as ended. */
export interface ReportedRunEnd extends RunId {
  readonly sequenceNumber: number;
  readonly endKind: string;
  readonly checkpoint: string;
}

/** Report of a worker in answer to a lease renewal. */
export interface RenewalReport {
  readonly clockMs: number;
  readonly born: number | undefined;
  readonly running: ReadonlyArray<ReportedRun>;
  readonly ended: ReadonlyArray<ReportedRunEnd>;
  /** Whether the worker holds more ends than one report lists. */
  readonly hasMoreEnds: boolean;
}

/** Maximum relative rate by which a worker's clock may run slow. */
const MAXIMUM_WORKER_CLOCK_DRIFT = 0.02;

/** Consecutive unanswered calls after which a worker counts as unreachable. */
const UNREACHABLE_CALL_COUNT = 2;

/** Age of a worker's last answer up to which it counts as not restarted. */
const MAXIMUM_ANSWER_AGE_MS = 300;

/** Longest lease that a worker accepts. */
const MAXIMUM_LEASE_MS = 10_000;

/** Allowance for a worker's lease timer that fires late. */
const TIMER_MARGIN_MS = 150;

/** Local time after which the longest lease of a worker is certainly over. */
export const LONGEST_LEASE_MS = longestLeaseMs(MAXIMUM_LEASE_MS);

/**
 * Time after sending for which a call without an answer may still be carried
 * out, by whichever incarnation is then found under the worker's id.
 */
export const LATE_CALL_MS = 12_000;

/**
 * Time from sending a call without an answer until no lease is left that it has
 * granted. Its deadline may be far ahead on the clock of a later incarnation, so
 * the lease is the longest one.
 */
export const LATE_LEASE_MS = LATE_CALL_MS + LONGEST_LEASE_MS;

/**
 * Time within which the entry of a live worker is back in the registry, once it
 * was dropped while the store was away.
 */
const ENTRY_RETURN_MS = 2_000;

/**
 * What is known of leases that calls for a worker's earlier incarnation may have
 * granted to this one. `possible`: such calls may still be carried out, or their
 * leases last, as far as is known. `ending`: the worker rejects such calls, but
 * their leases may last. `none`: there are none any more.
 */
export type ForeignLeases = 'none' | 'ending' | 'possible';

/** Time for which calls with leases are sent to an incarnation that has ended. */
const UNNOTICED_END_MS = 2_000;

/**
 * Time from the start of an incarnation until no lease is left that a call for
 * the one before it has granted.
 */
export const FOREIGN_LEASE_MS = UNNOTICED_END_MS + LATE_LEASE_MS;

/**
 * The job scheduler's view of one incarnation of a worker in the registry: its
 * reservations, its clock and the latest time until which its tasks may run.
 * For requests, `Worker` represents a worker of the VM list.
 */
export class RemoteWorker implements witness.Witness {
  /** The run ends that are handled, and those that the worker may drop. */
  readonly endCursor = new endCursor.EndCursor();
  /** When the worker first accepted its fencing token of this term. */
  tokenAcceptedAt: clock.Milliseconds | undefined;
  /** When the last call was sent in which it accepted that token. */
  tokenAskedAt: clock.Milliseconds = -Infinity;
  /** Whether a report of this term has listed all run ends that it holds. */
  allEndsReported = false;
  /** Whether the journal lists the worker as open, for the next scheduler. */
  stored = false;
  /** Number of consecutive calls without an answer. */
  unansweredCalls = 0;
  /** Whether the registry lists the worker. */
  listed = true;
  /** Whether another worker has taken its machine, so that its id is over. */
  idHasEnded = false;
  /**
   * When the registry first named a later worker on its machine; undefined if it
   * does not, or if this one has answered since.
   */
  machineClaimedAt: clock.Milliseconds | undefined;
  /** Whether this term has given up runs here, as their leases were over. */
  leaseHasLapsed = false;
  /** Time until which placement skips the worker. */
  excludedUntil = 0;
  /** Until when a start that got no answer may still be carried out here. */
  lateStartsUntil: clock.Milliseconds = -Infinity;
  /** When the drain notice was first seen. */
  drainingSince: clock.Milliseconds | undefined;
  lastAnswerAt: clock.Milliseconds;

  /** Next incarnation under the same id, once it is known. */
  private next: RemoteWorker | undefined;
  private readonly reservations = new Map<string, resources.Resources>();
  private usedResources = resources.NONE;
  private freeResources = resources.NONE;
  private capacityChanges = 0;
  private reading: {clockMs: number; receivedAt: number} | undefined;
  private latestLeaseEndMs = 0;
  /** When a lease that was meant for the earlier incarnation has certainly ended. */
  private foreignLeaseExpiry: clock.Milliseconds = -Infinity;
  /** Since when the registry, as far as it was read, has not listed the worker. */
  private missingSince: clock.Milliseconds | undefined;
  /** Whether its entry has been missing for longer than one takes to come back. */
  private hasDeparted = false;
  private isRestart = false;
  /** Whether an earlier term has reached this incarnation. */
  private wasReached = false;
  private registryEntry: RegistryEntry;

  constructor(
    entry: RegistryEntry,
    now: clock.Milliseconds,
    /** Number of this incarnation among those of its id in this term. */
    readonly incarnation = 0,
  ) {
    this.registryEntry = entry;
    this.lastAnswerAt = now;
    this.update(entry, now);
  }

  /**
   * Creates the next incarnation of worker `last`, which has the same id and may
   * have ended long before.
   */
  static nextIncarnation(
    entry: RegistryEntry,
    now: clock.Milliseconds,
    last: RemoteWorker,
  ): RemoteWorker {
    const worker = new RemoteWorker(entry, now, last.incarnation + 1);
    worker.markRestarted();
    worker.lateStartsUntil = last.lateStartsUntil;
    const isSame = worker.isSameIncarnation(last.entry);
    worker.leaseHasLapsed = isSame && last.leaseHasLapsed;
    // Until this incarnation has accepted a higher fencing token, it carries out
    // calls that were meant for the earlier one.
    worker.foreignLeaseExpiry = now + LONGEST_LEASE_MS;
    if (!last.idHasEnded) last.next = worker;
    return worker;
  }

  /** Whether an earlier incarnation had the same id, in this term or before. */
  get restarted(): boolean {
    return this.isRestart;
  }

  /**
   * Records that an earlier incarnation had the same id, and whether an earlier
   * term has reached this one since.
   */
  markRestarted(wasReached = false): void {
    this.isRestart = true;
    this.wasReached = wasReached;
  }

  /** Returns what is known of leases that were meant for earlier incarnations. */
  foreignLeases(now: clock.Milliseconds): ForeignLeases {
    if (!this.isRestart) return 'none';
    if (this.reading === undefined) {
      return this.wasReached ? 'ending' : 'possible';
    }
    return now < this.foreignLeaseExpiry ? 'ending' : 'none';
  }

  get entry(): RegistryEntry {
    return this.registryEntry;
  }

  /**
   * Whether the leases of runs here may have lapsed unseen: this term has given
   * runs up, or does not know how long the worker was out of reach before.
   */
  get mayHaveLapsed(): boolean {
    return this.leaseHasLapsed || this.incarnation === 0;
  }

  /** Whether the worker has accepted its fencing token of this term. */
  get fencingTokenAccepted(): boolean {
    return this.tokenAcceptedAt !== undefined;
  }

  /** Latest known incarnation under the same id. */
  get newest(): RemoteWorker {
    return this.next?.newest ?? this;
  }

  /**
   * Whether the incarnation that is known last rejects calls that were sent to
   * this one and got no answer, or is gone. The one after it has seen no fencing
   * token and would carry them out.
   */
  get rejectsLateCalls(): boolean {
    const {newest} = this;
    const isInReach = newest.fencingTokenAccepted && !newest.unreachable;
    return isInReach || this.isGone;
  }

  /**
   * Whether the worker is gone with all its incarnations, and none of them may
   * have carried out calls that nobody knows of: a later one that was never
   * reached may have done so before it departed.
   */
  get isGone(): boolean {
    const {newest} = this;
    const wasReached = newest === this || newest.fencingTokenAccepted;
    return wasReached && newest.departed;
  }

  /**
   * Whether the worker is gone: it doesn't answer, the registry has dropped it,
   * and no incarnation has been listed since, although a live one would be.
   */
  get departed(): boolean {
    return this.hasDeparted && this.unreachable;
  }

  /** Records that the registry, read at `now`, does not list the worker. */
  recordMissing(now: clock.Milliseconds): void {
    this.listed = false;
    this.missingSince = now;
  }

  /** Records that the registry still did not list the worker at `provenAt`. */
  confirmMissing(provenAt: clock.Milliseconds): void {
    if (this.missingSince === undefined) return;
    if (provenAt >= this.missingSince + ENTRY_RETURN_MS) {
      this.hasDeparted = true;
    }
  }

  /** Records that a call sent at `sentAt` was answered with the token accepted. */
  recordTokenAccepted(
    sentAt: clock.Milliseconds,
    now: clock.Milliseconds,
  ): void {
    this.tokenAcceptedAt ??= now;
    this.tokenAskedAt = Math.max(this.tokenAskedAt, sentAt);
  }

  get id(): string {
    return this.registryEntry.id;
  }

  get zone(): string {
    return this.registryEntry.zone;
  }

  get rack(): string | undefined {
    return this.registryEntry.labels[1];
  }

  /** Reserved capacity, including that of stopping and unconfirmed runs. */
  get used(): resources.Resources {
    return this.usedResources;
  }

  get free(): resources.Resources {
    return this.freeResources;
  }

  /** Rises whenever the worker may be able to take more tasks than before. */
  get capacityVersion(): number {
    return this.capacityChanges;
  }

  get runCount(): number {
    return this.reservations.size;
  }

  /** Whether the worker does not answer. One lost answer is not enough. */
  get unreachable(): boolean {
    return this.unansweredCalls >= UNREACHABLE_CALL_COUNT;
  }

  /** Whether tasks may be started here, regardless of capacity and failures. */
  get acceptsTasks(): boolean {
    const ready = this.registryEntry.state === 'ready';
    return this.listed && !this.unreachable && ready;
  }

  /**
   * Returns whether a late start may take room of which no report tells: the
   * worker may have restarted since its last answer.
   */
  mayHoldLateStart(now: clock.Milliseconds): boolean {
    return now < this.lateStartsUntil && this.mayHaveRestarted(now);
  }

  /** Returns whether the worker may have restarted since its last answer. */
  mayHaveRestarted(now: clock.Milliseconds): boolean {
    return now - this.lastAnswerAt > MAXIMUM_ANSWER_AGE_MS;
  }

  /** Whether a start has ever got no answer, so that it may arrive late. */
  get hasLateStarts(): boolean {
    return this.lateStartsUntil > -Infinity;
  }

  /** Updates the registry entry of the same incarnation. */
  update(entry: RegistryEntry, now: clock.Milliseconds): void {
    if (!canTakeSameTasks(this.registryEntry, entry)) this.capacityChanges += 1;
    this.registryEntry = entry;
    this.listed = true;
    this.missingSince = undefined;
    this.hasDeparted = false;
    this.setUsed(this.usedResources);
    if (entry.state === 'draining') this.drainingSince ??= now;
    else this.drainingSince = undefined;
  }

  /** Returns whether a registry entry describes the same incarnation. */
  isSameIncarnation(entry: RegistryEntry): boolean {
    return entry.id === this.id && entry.born === this.registryEntry.born;
  }

  /** Reserves capacity for a run; has no effect if the run already has some. */
  reserve(runId: RunId, size: resources.Resources): void {
    const key = runKey(runId);
    if (this.reservations.has(key)) return;
    this.reservations.set(key, size);
    this.setUsed(resources.add(this.usedResources, size));
  }

  /** Releases the reservation of a run; has no effect if it has none. */
  release(runId: RunId): void {
    const key = runKey(runId);
    const size = this.reservations.get(key);
    if (size === undefined) return;
    this.reservations.delete(key);
    this.setUsed(resources.subtract(this.usedResources, size));
    this.capacityChanges += 1;
  }

  /**
   * Takes capacity for a task without a run: while a placement is planned, or
   * until the task may start here.
   */
  takeCapacity(size: resources.Resources): void {
    this.setUsed(resources.add(this.usedResources, size));
  }

  /** Returns capacity that `takeCapacity` has taken, to the same task. */
  returnCapacity(size: resources.Resources): void {
    this.setUsed(resources.subtract(this.usedResources, size));
  }

  /** Returns capacity that `takeCapacity` has taken, to any task. */
  releaseCapacity(size: resources.Resources): void {
    this.returnCapacity(size);
    this.capacityChanges += 1;
  }

  /** Records the worker's clock from an answer received at `now`. */
  recordClockReading(clockMs: number, now: clock.Milliseconds): void {
    if (this.reading === undefined && this.isRestart) {
      // From now on it rejects calls that were meant for the earlier one. Its
      // clock doesn't show since when it has taken them.
      this.foreignLeaseExpiry = now + LONGEST_LEASE_MS;
    }
    this.reading = {clockMs, receivedAt: now};
    this.lastAnswerAt = now;
    this.unansweredCalls = 0;
  }

  /**
   * Returns a lease end on the worker's clock, `leaseMs` from now, and records
   * it as possibly granted. Returns undefined while the clock is unknown.
   */
  extendLease(now: clock.Milliseconds, leaseMs: number): number | undefined {
    if (this.reading === undefined) return undefined;
    const elapsed = now - this.reading.receivedAt;
    const leaseEndMs = Math.floor(this.reading.clockMs + elapsed + leaseMs);
    this.latestLeaseEndMs = Math.max(this.latestLeaseEndMs, leaseEndMs);
    return leaseEndMs;
  }

  /**
   * Returns the local time at which every lease sent to the worker has
   * certainly ended. A worker whose clock is unknown has been sent no lease.
   */
  lastLeaseExpiry(): clock.Milliseconds {
    return Math.max(this.foreignLeaseExpiry, this.ownLeaseExpiry());
  }

  private ownLeaseExpiry(): clock.Milliseconds {
    if (this.reading === undefined) return -Infinity;
    const remainingMs = this.latestLeaseEndMs - this.reading.clockMs;
    if (remainingMs <= 0) return this.reading.receivedAt;
    return this.reading.receivedAt + longestLeaseMs(remainingMs);
  }

  private setUsed(used: resources.Resources): void {
    this.usedResources = used;
    this.freeResources = resources.subtract(this.registryEntry.capacity, used);
  }
}

/** Returns the longest local time that a lease on a worker's clock may take. */
function longestLeaseMs(leaseMs: number): number {
  return leaseMs / (1 - MAXIMUM_WORKER_CLOCK_DRIFT) + TIMER_MARGIN_MS;
}

/** Returns whether both entries of a worker fit the same tasks. */
function canTakeSameTasks(left: RegistryEntry, right: RegistryEntry): boolean {
  return (
    resources.equal(left.capacity, right.capacity) &&
    left.labels.join() === right.labels.join()
  );
}

function runKey(runId: RunId): string {
  return `${runId.task}/${runId.run}`;
}
