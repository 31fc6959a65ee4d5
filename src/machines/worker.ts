import * as resources from './resources.js';
import type * as clock from './clock.js';
import type * as task from '../contracts/task.js';

/** Entry of a worker in the platform's VM list. */
export interface WorkerDescription {
  readonly name: string;
  readonly zone: string;
  readonly address: string;
}

/** Capacity reserved for a task on a worker. */
export interface Reservation {
  readonly task: string;
  readonly label: task.TaskLabel;
  readonly size: resources.Resources;
}

/** Operation that took the reservations of a worker over its capacity. */
export type ViolationCause = 'reserve' | 'adopt' | 'resize' | 'capacity';

/** Evidence that a worker's reservations exceed its capacity. */
export interface CapacityViolation {
  readonly worker: string;
  readonly cause: ViolationCause;
  readonly dimension: resources.Dimension;
  readonly reserved: resources.Resources;
  readonly capacity: resources.Resources;
}

/** Observer of all changes that affect indexes and totals over workers. */
export interface WorkerObserver {
  /**
   * Called when available capacity or readiness has changed; `grew` is true
   * when more capacity may be available.
   */
  availabilityChanged(worker: Worker, grew: boolean): void;
  reservationAdded(worker: Worker, reservation: Reservation): void;
  reservationRemoved(worker: Worker, reservation: Reservation): void;
  /** Called once when the reservations begin to exceed the capacity. */
  capacityViolated(violation: CapacityViolation): void;
}

/** Observer of a worker that does not belong to a fleet. */
const NULL_OBSERVER: WorkerObserver = {
  availabilityChanged: () => {},
  reservationAdded: () => {},
  reservationRemoved: () => {},
  capacityViolated: () => {},
};

/**
 * A worker of the VM list, which runs the tasks of requests. Tracks the
 * reservations on the machine and rejects one that exceeds the available
 * capacity. The job scheduler uses `RemoteWorker` instead.
 */
export class Worker {
  private readonly reservationsByTask = new Map<string, Reservation>();
  private reservedForTasks = resources.NONE;
  private reservedForWaiting = resources.NONE;
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

  /** Rack reported by the worker; empty before the first report. */
  get rack(): string {
    return this.rackValue;
  }

  /** Capacity reported by the worker; zero before the first report. */
  get capacity(): resources.Resources {
    return this.capacityValue;
  }

  /** Capacity minus reservations; negative when overcommitted. */
  get free(): resources.Resources {
    return resources.subtract(this.capacityValue, this.reservedForTasks);
  }

  /** Free capacity that is not reserved for a waiting request. */
  get available(): resources.Resources {
    return this.availableValue;
  }

  /** Last reading of the worker's clock; undefined before the first report. */
  get clockReading(): clock.WorkerClockReading | undefined {
    return this.clockReadingValue;
  }

  /** Whether the worker accepts no new tasks because it is leaving. */
  get leaving(): boolean {
    return this.leavingValue;
  }

  /** Whether the worker is out of service because tasks fail on it. */
  get suspended(): boolean {
    return this.suspendedValue;
  }

  /** Whether the worker has reported and accepts new tasks. */
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

  /** Applies a report of the worker that was received at `receivedAt`. */
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

  /** Marks the worker as leaving; it accepts no further tasks. */
  markLeaving(): void {
    if (this.leavingValue) return;
    this.leavingValue = true;
    this.observer.availabilityChanged(this, false);
  }

  /** Suspends the worker, so that it gets no tasks, or resumes it. */
  setSuspended(suspended: boolean): void {
    if (this.suspendedValue === suspended) return;
    this.suspendedValue = suspended;
    this.observer.availabilityChanged(this, !suspended);
  }

  /** Reserves capacity for a waiting request, even if it is not free yet. */
  addCapacityReservation(size: resources.Resources): void {
    this.reservedForWaiting = resources.add(this.reservedForWaiting, size);
    this.updateAvailable();
    this.observer.availabilityChanged(this, false);
  }

  /** Releases capacity that was reserved for a waiting request. */
  removeCapacityReservation(size: resources.Resources): void {
    this.reservedForWaiting = resources.subtract(this.reservedForWaiting, size);
    this.updateAvailable();
    this.observer.availabilityChanged(this, true);
  }

  /**
   * Reserves capacity for a task. Returns false when it does not fit or the
   * task already has a reservation.
   */
  reserve(reservation: Reservation): boolean {
    if (this.reservationsByTask.has(reservation.task)) return false;
    if (!resources.fits(reservation.size, this.availableValue)) return false;
    this.addReservation(reservation, 'reserve');
    return true;
  }

  /**
   * Reserves capacity for a task that already runs, even if it does not fit:
   * tasks started by a predecessor occupy the machine and have to be counted.
   */
  adopt(reservation: Reservation): void {
    this.release(reservation.task);
    this.addReservation(reservation, 'adopt');
  }

  /** Changes the reservation of a task to its measured usage. */
  resize(taskName: string, size: resources.Resources): void {
    const reservation = this.reservationsByTask.get(taskName);
    if (reservation === undefined) return;
    this.release(taskName);
    this.addReservation({...reservation, size}, 'resize');
  }

  /** Releases the reservation of a task; does nothing when it has none. */
  release(taskName: string): void {
    const reservation = this.reservationsByTask.get(taskName);
    if (reservation === undefined) return;
    this.reservationsByTask.delete(taskName);
    this.reservedForTasks = resources.subtract(
      this.reservedForTasks,
      reservation.size,
    );
    this.observer.reservationRemoved(this, reservation);
    this.publishChange('reserve', true);
  }

  /** Returns the reservations by task name. */
  reservations(): ReadonlyMap<string, Reservation> {
    return this.reservationsByTask;
  }

  private addReservation(
    reservation: Reservation,
    cause: ViolationCause,
  ): void {
    this.reservationsByTask.set(reservation.task, reservation);
    this.reservedForTasks = resources.add(
      this.reservedForTasks,
      reservation.size,
    );
    this.observer.reservationAdded(this, reservation);
    this.publishChange(cause, false);
  }

  private moveToRack(rack: string): void {
    for (const reservation of this.reservationsByTask.values()) {
      this.observer.reservationRemoved(this, reservation);
    }
    this.rackValue = rack;
    for (const reservation of this.reservationsByTask.values()) {
      this.observer.reservationAdded(this, reservation);
    }
  }

  private updateAvailable(): void {
    const {free, reservedForWaiting} = this;
    // Capacity may be reserved for a waiting request before it is free. Such a
    // reservation never makes a dimension negative, because that would exclude
    // even tasks that need nothing in this dimension.
    const floor = resources.minimum(free, resources.NONE);
    const unreserved = resources.subtract(free, reservedForWaiting);
    this.availableValue = resources.maximum(unreserved, floor);
  }

  private publishChange(cause: ViolationCause, grew: boolean): void {
    this.updateAvailable();
    this.checkCapacity(cause);
    this.observer.availabilityChanged(this, grew);
  }

  /** Reports a violation when reservations begin to exceed a known capacity. */
  private checkCapacity(cause: ViolationCause): void {
    const dimension =
      this.clockReadingValue === undefined
        ? undefined
        : resources.exceededDimension(
            this.reservedForTasks,
            this.capacityValue,
          );
    const before = this.overcommittedValue;
    this.overcommittedValue = dimension !== undefined;
    if (dimension === undefined || before) return;
    this.observer.capacityViolated({
      worker: this.name,
      cause,
      dimension,
      reserved: this.reservedForTasks,
      capacity: this.capacityValue,
    });
  }
}
