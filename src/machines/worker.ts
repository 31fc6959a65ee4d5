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

/**
 * A machine that runs tasks. It keeps what is reserved on the machine and
 * refuses a reservation that its capacity does not hold.
 */
export class Worker {
  private readonly reservations = new Map<string, Reservation>();
  private reserved = resources.NONE;
  private capacityValue = resources.NONE;
  private rackValue = '';
  private clockReadingValue: clock.WorkerClockReading | undefined;
  private leavingValue = false;

  constructor(readonly description: WorkerDescription) {}

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

  /** Last reading of the worker's clock. */
  get clockReading(): clock.WorkerClockReading | undefined {
    return this.clockReadingValue;
  }

  /** Whether the worker takes no new tasks because it leaves. */
  get leaving(): boolean {
    return this.leavingValue;
  }

  /** Takes over what the worker says of itself. */
  update(report: task.WorkerReport, receivedAt: clock.Milliseconds): void {
    this.capacityValue = report.capacity;
    this.rackValue = report.rack;
    this.clockReadingValue = {workerClock: report.workerClock, receivedAt};
    if (report.leaving) this.leavingValue = true;
  }

  /** Stops new reservations for good. */
  markLeaving(): void {
    this.leavingValue = true;
  }

  /** Holds room for a task; returns false when it does not fit. */
  reserve(reservation: Reservation): boolean {
    if (this.reservations.has(reservation.task)) return false;
    if (!resources.fits(reservation.size, this.free)) return false;
    this.hold(reservation);
    return true;
  }

  /**
   * Holds room for a task that already runs, whether it fits or not: what a
   * predecessor started is there and has to be counted.
   */
  adopt(reservation: Reservation): void {
    this.release(reservation.task);
    this.hold(reservation);
  }

  /** Gives back the room of a task; does nothing when it holds none. */
  release(taskName: string): void {
    const held = this.reservations.get(taskName);
    if (held === undefined) return;
    this.reservations.delete(taskName);
    this.reserved = resources.subtract(this.reserved, held.size);
  }

  /** The room that tasks hold. */
  held(): ReadonlyMap<string, Reservation> {
    return this.reservations;
  }

  private hold(reservation: Reservation): void {
    this.reservations.set(reservation.task, reservation);
    this.reserved = resources.add(this.reserved, reservation.size);
  }
}
