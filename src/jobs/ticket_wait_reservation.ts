import * as temporaryReservation from './temporary_reservation.js';
import * as workerSelection from './worker_selection.js';
import type * as remoteWorker from '../machines/remote_worker.js';
import type * as stepInstance from './step_instance.js';

/**
 * Resources that a placement pass reserves for steps which wait for tickets.
 * Otherwise less urgent steps would take them in the meantime, and request
 * tickets that they can't use.
 */
export class TicketWaitReservation {
  private readonly reservation = new temporaryReservation.TemporaryReservation(
    'ticketWait',
  );

  /** Reserves resources for `count` tasks where they would be placed. */
  reserve(
    step: stepInstance.StepInstance,
    count: number,
    workers: ReadonlyArray<remoteWorker.RemoteWorker>,
    facts: workerSelection.WorkerFacts,
  ): void {
    const size = workerSelection.reservedSize(step.definition);
    const factsWithTicket: workerSelection.WorkerFacts = {
      ...facts,
      ticketFor: () => '',
    };
    for (let index = 0; index < count; index += 1) {
      const selected = workerSelection.selectWorker(
        step,
        workers,
        factsWithTicket,
      );
      if (selected === undefined) return;
      this.reservation.reserve(selected.worker, size);
    }
  }

  /** Releases all resources at the end of the pass. */
  release(): void {
    this.reservation.release();
  }
}
