import * as temporaryReservation from './temporary_reservation.js';
import * as workerRanking from './worker_ranking.js';
import * as workerSelection from './worker_selection.js';
import type * as remoteWorker from '../machines/remote_worker.js';
import type * as stepInstance from './step_instance.js';

/**
 * Resources that a placement slice reserves for steps which wait for tickets.
 * Otherwise less urgent steps would take them in the meantime, and request
 * tickets that they can't use.
 */
export class TicketWaitReservation {
  private readonly reservation =
    new temporaryReservation.TemporaryReservation();

  /**
   * Reserves resources for `count` tasks where they would be placed, and
   * returns the worker of each.
   */
  reserve(
    step: stepInstance.StepInstance,
    count: number,
    workers: ReadonlyArray<remoteWorker.RemoteWorker>,
    facts: workerSelection.WorkerFacts,
  ): ReadonlyArray<remoteWorker.RemoteWorker> {
    const size = workerSelection.reservedSize(step.definition);
    const factsWithTicket: workerSelection.WorkerFacts = {
      ...facts,
      ticketFor: () => '',
    };
    const ranking = new workerRanking.WorkerRanking(
      step,
      workers,
      factsWithTicket,
    );
    const reservedOn: remoteWorker.RemoteWorker[] = [];
    while (reservedOn.length < count) {
      const selected = ranking.select();
      if (selected === undefined) break;
      this.reservation.reserve(selected.worker, size);
      reservedOn.push(selected.worker);
      ranking.update();
    }
    return reservedOn;
  }

  /**
   * Reserves the resources again that an earlier slice reserved for a step.
   * Returns false, and reserves none, if more urgent steps have taken some.
   */
  restore(
    step: stepInstance.StepInstance,
    workers: ReadonlyArray<remoteWorker.RemoteWorker>,
  ): boolean {
    if (workers.length === 0) return true;
    const size = workerSelection.reservedSize(step.definition);
    for (const [count, worker] of workers.entries()) {
      if (!workerSelection.hasFreeCapacity(worker, step.definition)) {
        this.reservation.releaseLast(count);
        return false;
      }
      this.reservation.reserve(worker, size);
    }
    return true;
  }

  /**
   * Reserves again what still fits of the resources that an earlier slice
   * reserved for a step. Returns whether all of them fit.
   */
  restoreFitting(
    step: stepInstance.StepInstance,
    workers: ReadonlyArray<remoteWorker.RemoteWorker>,
  ): boolean {
    const size = workerSelection.reservedSize(step.definition);
    let allFit = true;
    for (const worker of workers) {
      if (workerSelection.hasFreeCapacity(worker, step.definition)) {
        this.reservation.reserve(worker, size);
      } else {
        allFit = false;
      }
    }
    return allFit;
  }

  /** Releases all resources at the end of a slice. */
  release(): void {
    this.reservation.release();
  }
}
