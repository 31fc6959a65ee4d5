import * as resources from './resources.js';
import type * as clock from './clock.js';

/** A worker as the platform's registry lists it. */
export interface RegistryEntry {
  readonly id: string;
  /** Unix time of the worker's start; another value is another life. */
  readonly born: number;
  readonly machine: string;
  readonly address: string;
  readonly service: string;
  readonly zone: string;
  readonly state: 'ready' | 'draining';
  readonly capacity: resources.Resources;
  readonly labels: ReadonlyArray<string>;
  /** Time that a draining worker still has at least. */
  readonly remainingMs?: number;
}

/** The registry of workers; followed only while this process schedules. */
export interface WorkerRegistry {
  /** Calls back with the whole list after each change, until closed. */
  follow(onChange: (entries: ReadonlyArray<RegistryEntry>) => void): {
    close(): void;
  };
}

/** A run of a task on a worker. */
export interface RunId {
  readonly task: string;
  readonly run: number;
}

/** One row of a worker's list of running tasks. */
export interface ReportedRun extends RunId {
  readonly checkpoint: string;
  /** Part of the work that is done, or the share at which a service works. */
  readonly percent: number;
  /** Tail of response times of a serving task, or thousandths of a core. */
  readonly usage: number;
}

/** One row of a worker's list of ended runs. */
export interface ReportedRunEnd extends RunId {
  readonly sequenceNumber: number;
  readonly how: string;
  readonly checkpoint: string;
}

/** What a worker reports when its lease is renewed. */
export interface RenewalReport {
  readonly clockMs: number;
  readonly born: number | undefined;
  readonly running: ReadonlyArray<ReportedRun>;
  readonly ended: ReadonlyArray<ReportedRunEnd>;
}

/** Largest rate by which a worker's clock may be slow. */
const CLOCK_DRIFT = 0.02;

/** Calls without an answer after which a worker counts as unreachable. */
const UNREACHABLE_CALL_COUNT = 2;

/** Allowance for timers that fire late, in milliseconds. */
const TIMER_MARGIN_MS = 150;

/**
 * The scheduler's view of one life of a worker: its room, its clock and how
 * long anything that was started there can go on.
 */
export class RemoteWorker {
  /** Highest number of an end that was dealt with. */
  handledEndNumber = 0;
  /** Highest number of an end that is stored, so that it may be forgotten. */
  storedEndNumber = 0;
  /** This term's fencing token has been taken by the worker. */
  fenceAccepted = false;
  /** The life is stored, so that a successor would find it. */
  recorded = false;
  /** Calls in a row that got no answer. */
  unansweredCalls = 0;
  /** The registry lists the worker. */
  listed = true;
  /** Nothing is placed here before this time. */
  excludedUntil = 0;
  /** When the drain notice was first seen. */
  drainingSince: clock.Milliseconds | undefined;
  lastAnswerAt: clock.Milliseconds;

  private readonly reservations = new Map<string, resources.Resources>();
  private usedResources = resources.NONE;
  private reading: {clockMs: number; receivedAt: number} | undefined;
  private latestLeaseEndMs = 0;
  private registryEntry: RegistryEntry;

  constructor(entry: RegistryEntry, now: clock.Milliseconds) {
    this.registryEntry = entry;
    this.lastAnswerAt = now;
    this.update(entry, now);
  }

  get entry(): RegistryEntry {
    return this.registryEntry;
  }

  get id(): string {
    return this.registryEntry.id;
  }

  get rack(): string | undefined {
    return this.registryEntry.labels[1];
  }

  /** Occupied room, stopping and unconfirmed runs included. */
  get used(): resources.Resources {
    return this.usedResources;
  }

  get free(): resources.Resources {
    return resources.subtract(this.registryEntry.capacity, this.usedResources);
  }

  get runCount(): number {
    return this.reservations.size;
  }

  /** The worker gives no answers: one lost answer does not show that. */
  get unreachable(): boolean {
    return this.unansweredCalls >= UNREACHABLE_CALL_COUNT;
  }

  /** Tasks may be started here, room and trust aside. */
  get acceptsTasks(): boolean {
    const ready = this.registryEntry.state === 'ready';
    return this.listed && !this.unreachable && ready;
  }

  /** Takes over a newer description of the same life. */
  update(entry: RegistryEntry, now: clock.Milliseconds): void {
    this.registryEntry = entry;
    this.listed = true;
    if (entry.state === 'draining') this.drainingSince ??= now;
    else this.drainingSince = undefined;
  }

  /** Tells whether another entry describes the same life. */
  isSameIncarnation(entry: RegistryEntry): boolean {
    return entry.id === this.id && entry.born === this.registryEntry.born;
  }

  /** Occupies room for a run; a second call for the same run does nothing. */
  reserve(name: RunId, size: resources.Resources): void {
    const key = runKey(name);
    if (this.reservations.has(key)) return;
    this.reservations.set(key, size);
    this.usedResources = resources.add(this.usedResources, size);
  }

  /** Frees the room of a run. */
  release(name: RunId): void {
    const key = runKey(name);
    const held = this.reservations.get(key);
    if (held === undefined) return;
    this.reservations.delete(key);
    this.usedResources = resources.subtract(this.usedResources, held);
  }

  /** Takes a reading of the worker's clock from an answer. */
  recordClockReading(clockMs: number, now: clock.Milliseconds): void {
    this.reading = {clockMs, receivedAt: now};
    this.lastAnswerAt = now;
    this.unansweredCalls = 0;
  }

  /**
   * Returns a deadline on the worker's clock `leaseMs` from now and remembers
   * it; undefined while the clock is not known.
   */
  extendLease(now: clock.Milliseconds, leaseMs: number): number | undefined {
    if (this.reading === undefined) return undefined;
    const elapsed = now - this.reading.receivedAt;
    const deadline = Math.floor(this.reading.clockMs + elapsed + leaseMs);
    this.latestLeaseEndMs = Math.max(this.latestLeaseEndMs, deadline);
    return deadline;
  }

  /**
   * When the last lease that was ever sent has surely ended, on the local
   * clock. A worker whose clock was never read has been sent no lease.
   */
  lastLeaseExpiry(): clock.Milliseconds {
    if (this.reading === undefined) return -Infinity;
    const left = this.latestLeaseEndMs - this.reading.clockMs;
    if (left <= 0) return this.reading.receivedAt;
    return this.reading.receivedAt + left / (1 - CLOCK_DRIFT) + TIMER_MARGIN_MS;
  }
}

function runKey(name: RunId): string {
  return `${name.task}/${name.run}`;
}
