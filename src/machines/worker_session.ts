import type * as clock from './clock.js';
import type * as remoteWorker from './remote_worker.js';
import type * as workerClient from './worker_client.js';

/** Hears what a worker reports. */
export interface SessionListener {
  /** A report came; `sentAt` is when it was asked for. */
  reportReceived(
    worker: remoteWorker.RemoteWorker,
    report: remoteWorker.RenewalReport,
    sentAt: clock.Milliseconds,
  ): void;
  /** No answer came. */
  answerMissing(worker: remoteWorker.RemoteWorker): void;
  /** Another life answered at the address. */
  replaced(worker: remoteWorker.RemoteWorker): void;
  /** The worker obeys a later term. */
  termSuperseded(worker: remoteWorker.RemoteWorker): void;
  /** Tells whether this term may still extend leases. */
  mayExtendLeases(): boolean;
}

/** How long a worker may hold an answer back until something ends there. */
const LONG_POLL_WAIT_MS = 800;

/**
 * How long a report waits until the ends of the last one are stored: the worker
 * would list them again at once.
 */
const STORE_WAIT_LIMIT_MS = 200;

/** How often that is looked for. */
const STORE_POLL_INTERVAL_MS = 10;

/** Pause before a silent worker is asked again. */
const RETRY_PAUSE_MS = 250;

/** Renews the leases of one worker and passes its reports on, until closed. */
export class WorkerSession {
  private closed = false;

  constructor(
    private readonly worker: remoteWorker.RemoteWorker,
    private readonly client: workerClient.WorkerClient,
    private readonly listener: SessionListener,
    private readonly clock: clock.Clock,
    private readonly fence: number,
    private readonly leaseMs: number,
    private readonly pause: (milliseconds: number) => Promise<void>,
  ) {}

  /** Renews until the session is closed. */
  async run(): Promise<void> {
    while (!this.closed) {
      const answered = await this.renewLeases();
      if (answered) await this.waitUntilEndsStored();
      else if (!this.closed) await this.pause(RETRY_PAUSE_MS);
    }
  }

  close(): void {
    this.closed = true;
  }

  private async waitUntilEndsStored(): Promise<void> {
    const {worker} = this;
    const until = this.clock.now() + STORE_WAIT_LIMIT_MS;
    while (worker.storedEndNumber < worker.handledEndNumber && !this.closed) {
      if (this.clock.now() >= until) return;
      await this.pause(STORE_POLL_INTERVAL_MS);
    }
  }

  private async renewLeases(): Promise<boolean> {
    const {worker} = this;
    const sentAt = this.clock.now();
    // A renewal that gets no answer may have arrived. To a silent worker none is
    // sent, so that there is a time at which its last lease is surely over.
    const mayExtend =
      this.listener.mayExtendLeases() && worker.unansweredCalls === 0;
    const deadlineMs = mayExtend
      ? worker.extendLease(sentAt, this.leaseMs)
      : undefined;
    // The first report is wanted at once: it says what runs there and shows
    // the worker's clock.
    const waitMs =
      worker.fenceAccepted && deadlineMs !== undefined ? LONG_POLL_WAIT_MS : 0;
    const outcome = await this.client.renewLeases(worker.entry, {
      fence: this.fence,
      storedEndNumber: worker.storedEndNumber,
      deadlineMs,
      waitMs,
    });
    if (this.closed) return true;
    switch (outcome.kind) {
      case 'reported':
        return this.acceptReport(outcome.report, sentAt);
      case 'rejected':
        this.handleRejection(outcome.reason);
        return false;
      case 'unanswered':
        worker.unansweredCalls += 1;
        this.listener.answerMissing(worker);
        // One answer may get lost: the next call shows whether the worker does.
        return !worker.unreachable;
    }
  }

  private acceptReport(
    report: remoteWorker.RenewalReport,
    sentAt: clock.Milliseconds,
  ): boolean {
    const {worker} = this;
    if (report.born !== undefined && report.born !== worker.entry.born) {
      this.listener.replaced(worker);
      return false;
    }
    const first = !worker.fenceAccepted;
    worker.recordClockReading(report.clockMs, this.clock.now());
    worker.fenceAccepted = true;
    this.listener.reportReceived(worker, report, sentAt);
    // Without permission to extend, the calls would follow without a pause.
    return first || this.listener.mayExtendLeases();
  }

  private handleRejection(reason: workerClient.RejectionReason): void {
    if (reason === 'superseded') this.listener.termSuperseded(this.worker);
    else if (reason === 'otherLife') this.listener.replaced(this.worker);
    else this.listener.answerMissing(this.worker);
  }
}
