import * as resources from './resources.js';
import type * as clock from './clock.js';
import type * as task from '../contracts/task.js';

/** What the platform's VM list says of a worker. */
export interface WorkerDescription {
  readonly name: string;
  readonly zone: string;
  readonly address: string;
}

/** Room that a task holds on a worker. */
export interface Reservation {
  readonly task: string;
  readonly label: task.TaskLabel;
  readonly size: resources.Resources;
}

/** What took the reservations of a worker over its capacity. */
export type ViolationCause = 'reserve' | 'adopt' | 'resize' | 'capacity';

/** Evidence that a worker's reservations exceed its capacity. */
export interface CapacityViolation {
  readonly worker: string;
  readonly cause: ViolationCause;
  readonly dimension: resources.Dimension;
  readonly reserved: resources.Resources;
  readonly capacity: resources.Resources;
}

/** Learns of every change that matters to an index over workers. */
export interface WorkerObserver {
  /** Room, capacity or readiness changed; `grew` when there may be more room. */
  availabilityChanged(worker: Worker, grew: boolean): void;
  reservationAdded(worker: Worker, reservation: Reservation): void;
  reservationRemoved(worker: Worker, reservation: Reservation): void;
  /** Reservations exceed the capacity; called once per break. */
  capacityViolated(violation: CapacityViolation): void;
}

/** Observer of a worker that belongs to no fleet. */
const NULL_OBSERVER: WorkerObserver = {
  availabilityChanged: () => {},
  reservationAdded: () => {},
  reservationRemoved: () => {},
  capacityViolated: () => {},
};

/**
 * A machine that runs tasks. It keeps what is reserved on the machine and
 * refuses a reservation that its capacity does not hold.
 */
export class Worker {
  private readonly reservationsByTask = new Map<string, Reservation>();
  private reserved = resources.NONE;
  private earmarked = resources.NONE;
  private availableValue = resources.NONE;
  private capacityValue = resources.NONE;
  private rackValue = '';
  private clockReadingValue: clock.WorkerClockReading | undefined;
  private leavingValue = false;
  private suspendedValue = false;
  private overcommittedValue = false;

  constructor(
    readonly description: WorkerDescription,
    private readonly observer: WorkerObserver = NULL_OBSERVER,
  ) {}

  /** Name in the VM list. */
  get name(): string {
    return this.description.name;
  }

  /** Rack that the worker reports; empty before its first report. */
  get rack(): string {
    return this.rackValue;
  }

  /** Capacity that the worker reports; nothing before its first report. */
  get capacity(): resources.Resources {
    return this.capacityValue;
  }

  /** Capacity that no reservation holds. */
  get free(): resources.Resources {
    return resources.subtract(this.capacityValue, this.reserved);
  }

  /** Free room that is not earmarked for a request that waits for more. */
  get available(): resources.Resources {
    return this.availableValue;
  }

  /** Last reading of the worker's clock. */
  get clockReading(): clock.WorkerClockReading | undefined {
    return this.clockReadingValue;
  }

  /** Whether the worker takes no new tasks because it leaves. */
  get leaving(): boolean {
    return this.leavingValue;
  }

  /** Whether the worker is out of service because tasks fail on it. */
  get suspended(): boolean {
    return this.suspendedValue;
  }

  /** Whether the worker has reported and takes new tasks. */
  get ready(): boolean {
    return (
      this.clockReadingValue !== undefined &&
      !this.leavingValue &&
      !this.suspendedValue
    );
  }

  /** Whether reservations exceed the capacity at present. */
  get overcommitted(): boolean {
    return this.overcommittedValue;
  }

  /** Takes over what the worker says of itself. */
  update(report: task.WorkerReport, receivedAt: clock.Milliseconds): void {
    const wasReady = this.ready;
    this.clockReadingValue = {workerClock: report.workerClock, receivedAt};
    if (report.leaving) this.leavingValue = true;
    if (report.rack !== this.rackValue) this.moveToRack(report.rack);
    const resized = !resources.equal(report.capacity, this.capacityValue);
    if (!resized && wasReady === this.ready) return;
    this.capacityValue = report.capacity;
    this.publishChange('capacity', true);
  }

  /** Stops new reservations for good. */
  markLeaving(): void {
    if (this.leavingValue) return;
    this.leavingValue = true;
    this.observer.availabilityChanged(this, false);
  }

  /** Takes the worker out of service or back into it. */
  setSuspended(suspended: boolean): void {
    if (this.suspendedValue === suspended) return;
    this.suspendedValue = suspended;
    this.observer.availabilityChanged(this, !suspended);
  }

  /** Keeps more room free for requests that wait for it. */
  earmark(size: resources.Resources): void {
    this.earmarked = resources.add(this.earmarked, size);
    this.updateAvailable();
    this.observer.availabilityChanged(this, false);
  }

  /** Gives earmarked room back. */
  withdrawEarmark(size: resources.Resources): void {
    this.earmarked = resources.subtract(this.earmarked, size);
    this.updateAvailable();
    this.observer.availabilityChanged(this, true);
  }

  /** Holds room for a task; returns false when it does not fit. */
  reserve(reservation: Reservation): boolean {
    if (this.reservationsByTask.has(reservation.task)) return false;
    if (!resources.fits(reservation.size, this.availableValue)) return false;
    this.addReservation(reservation, 'reserve');
    return true;
  }

  /**
   * Holds room for a task that already runs, whether it fits or not: what a
   * predecessor started is there and has to be counted.
   */
  adopt(reservation: Reservation): void {
    this.release(reservation.task);
    this.addReservation(reservation, 'adopt');
  }

  /** Changes the room of a task to what it was found to use. */
  resize(taskName: string, size: resources.Resources): void {
    const held = this.reservationsByTask.get(taskName);
    if (held === undefined) return;
    this.release(taskName);
    this.addReservation({...held, size}, 'resize');
  }

  /** Gives back the room of a task; does nothing when it holds none. */
  release(taskName: string): void {
    const held = this.reservationsByTask.get(taskName);
    if (held === undefined) return;
    this.reservationsByTask.delete(taskName);
    this.reserved = resources.subtract(this.reserved, held.size);
    this.observer.reservationRemoved(this, held);
    this.publishChange('reserve', true);
  }

  /** The room that tasks hold. */
  reservations(): ReadonlyMap<string, Reservation> {
    return this.reservationsByTask;
  }

  private addReservation(
    reservation: Reservation,
    cause: ViolationCause,
  ): void {
    this.reservationsByTask.set(reservation.task, reservation);
    this.reserved = resources.add(this.reserved, reservation.size);
    this.observer.reservationAdded(this, reservation);
    this.publishChange(cause, false);
  }

  private moveToRack(rack: string): void {
    for (const held of this.reservationsByTask.values()) {
      this.observer.reservationRemoved(this, held);
    }
    this.rackValue = rack;
    for (const held of this.reservationsByTask.values()) {
      this.observer.reservationAdded(this, held);
    }
  }

  private updateAvailable(): void {
    const {free, earmarked} = this;
    // Room that is earmarked before it is free must not exclude tasks that
    // need none of it, hence nothing below zero because of an earmark.
    const floor = resources.minimum(free, resources.NONE);
    const left = resources.subtract(free, earmarked);
    this.availableValue = resources.maximum(left, floor);
  }

  private publishChange(cause: ViolationCause, grew: boolean): void {
    this.updateAvailable();
    this.checkCapacity(cause);
    this.observer.availabilityChanged(this, grew);
  }

  /** The sum of reservations never exceeds a capacity that is known. */
  private checkCapacity(cause: ViolationCause): void {
    const dimension =
      this.clockReadingValue === undefined
        ? undefined
        : resources.exceededDimension(this.reserved, this.capacityValue);
    const before = this.overcommittedValue;
    this.overcommittedValue = dimension !== undefined;
    if (dimension === undefined || before) return;
    this.observer.capacityViolated({
      worker: this.name,
      cause,
      dimension,
      reserved: this.reserved,
      capacity: this.capacityValue,
    });
  }
}
