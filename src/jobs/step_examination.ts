import type * as clock from '../machines/clock.js';
import type * as job from './job.js';
import type * as remoteWorker from '../machines/remote_worker.js';

/** What a step waits for whose queue needs tickets. */
export interface TicketWait {
  /** Whether workers could take a task if the step had tickets for them. */
  readonly lacksTickets: boolean;
  /** Workers with capacity reserved until the tickets arrive. */
  readonly reservedOn: ReadonlyArray<remoteWorker.RemoteWorker>;
}

/** The state of a step that waits for no tickets. */
export const NO_TICKET_WAIT: TicketWait = {lacksTickets: false, reservedOn: []};

/** What the last examination of a step found. */
export interface ExaminationResult extends TicketWait {
  readonly queue: job.Queue;
  readonly waitingCount: number;
  /** Whether the organisation's quota allows fewer tasks than wait. */
  readonly isQuotaBound: boolean;
  readonly adviceVersion: number;
  /** When the step is examined in full again. */
  readonly expiresAt: clock.Milliseconds;
}

/** What is known about a step that was examined and still waits. */
export class StepExamination {
  /** Whether workers could take a task if the step had tickets for them. */
  lacksTickets: boolean;

  constructor(
    readonly result: ExaminationResult,
    /** Rank of the step's urgency when it was last considered. */
    public rank: number,
    /** Version of the workers up to which their changes are considered. */
    public changeVersion: number,
    /** Number of the placement pass that last considered the step. */
    public passNumber: number,
  ) {
    this.lacksTickets = result.lacksTickets;
  }
}
