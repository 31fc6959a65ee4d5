import * as answerTimeout from './answer_timeout.js';
import * as fencingToken from './fencing_token.js';
import type * as clock from './clock.js';
import type * as remoteWorker from './remote_worker.js';
import type * as workerClient from './worker_client.js';

/** Listener for the reports of a worker and the loss of its session. */
export interface SessionListener {
  /** A report that was requested at `sentAt` has arrived. */
  reportReceived(
    worker: remoteWorker.RemoteWorker,
    report: remoteWorker.RenewalReport,
    sentAt: clock.Milliseconds,
  ): void;
  /** A call was not answered, or was rejected without a report. */
  answerMissing(worker: remoteWorker.RemoteWorker): void;
  /** A renewal has not left: leases could no longer be granted when it was due. */
  renewalWithdrawn(): void;
  /**
   * Another incarnation has answered at the worker's address: the next incarnation of
   * the same id, which began at `born`, or another worker if that is undefined.
   */
  workerReplaced(worker: remoteWorker.RemoteWorker, born?: number): void;
  /** The worker has accepted the fencing token of a later term. */
  termSuperseded(worker: remoteWorker.RemoteWorker): void;
  /** Returns whether this term may still grant leases. */
  mayGrantLeases(): boolean;
}

/** Maximum time for which a worker may delay its answer until a run ends. */
const LONG_POLL_WAIT_MS = 800;

/**
 * Maximum delay of a renewal until the run ends of the last report are stored.
 * Without the delay, the worker would answer at once with the same ends.
 */
const STORE_WAIT_LIMIT_MS = 200;

/** Time after an answer in which no worker is back from a restart. */
const MINIMUM_RESTART_MS = 100;

/** Interval at which the stored run ends are checked. */
const STORE_POLL_INTERVAL_MS = 10;

/** Delay before the next call to a worker that does not answer. */
const RETRY_DELAY_MS = 250;

/** Renews the leases of one worker and forwards its reports, until closed. */
export class WorkerSession {
  private readonly answerTimeout = new answerTimeout.AnswerTimeout();
  private closed = false;

  constructor(
    private readonly worker: remoteWorker.RemoteWorker,
    private readonly client: workerClient.WorkerClient,
    private readonly listener: SessionListener,
    private readonly clock: clock.Clock,
    private readonly term: number,
    private readonly leaseMs: number,
    private readonly delay: (milliseconds: number) => Promise<void>,
  ) {}

  /** Renews leases in a loop until the session is closed. */
  async run(): Promise<void> {
    while (!this.closed) {
      const nextCallIsDue = await this.renewLeases();
      if (nextCallIsDue) await this.waitUntilEndsStored();
      else if (!this.closed) await this.delay(RETRY_DELAY_MS);
    }
  }

  close(): void {
    this.closed = true;
  }

  private async waitUntilEndsStored(): Promise<void> {
    const {worker} = this;
    const until = this.clock.now() + STORE_WAIT_LIMIT_MS;
    const {endCursor} = worker;
    while (endCursor.storedNumber < endCursor.handledNumber && !this.closed) {
      if (this.clock.now() >= until) return;
      await this.delay(STORE_POLL_INTERVAL_MS);
    }
  }

  private async renewLeases(): Promise<boolean> {
    const {worker} = this;
    const sentAt = this.clock.now();
    // A renewal without an answer may still have arrived. None is sent to a
    // worker that does not answer, so that its last lease certainly expires.
    const mayGrant =
      this.listener.mayGrantLeases() && worker.unansweredCalls === 0;
    const deadlineMs = mayGrant
      ? worker.extendLease(sentAt, this.leaseMs)
      : undefined;
    // After a silence the next incarnation may answer, which counts its ends anew.
    const acknowledgedNumber =
      worker.unansweredCalls === 0 ? worker.endCursor.unconfirmedNumber : 0;
    // The first report must not be delayed: it lists the running tasks and
    // gives the worker's clock.
    const mayWait =
      worker.fencingTokenAccepted &&
      deadlineMs !== undefined &&
      !this.mayAcknowledgeToNextIncarnation(acknowledgedNumber, sentAt);
    const waitMs = mayWait ? LONG_POLL_WAIT_MS : 0;
    const command = {
      fencingToken: fencingToken.fencingTokenOf(this.term, worker.incarnation),
      storedEndNumber: acknowledgedNumber,
      deadlineMs,
      waitMs,
    };
    let isWithdrawn = false;
    const outcome = await this.client.renewLeases(worker.entry, command, {
      answerTimeoutMs: this.answerTimeout.next(worker.unansweredCalls),
      maySend: () => {
        isWithdrawn = !this.maySend(deadlineMs);
        return !isWithdrawn;
      },
    });
    if (this.closed) return true;
    if (isWithdrawn) {
      this.listener.renewalWithdrawn();
      return false;
    }
    switch (outcome.kind) {
      case 'reported':
        worker.endCursor.confirm(acknowledgedNumber);
        this.answerTimeout.recordAnswer(this.clock.now() - sentAt, waitMs);
        return this.acceptReport(outcome.report, sentAt);
      case 'rejected':
        this.handleRejection(outcome.reason);
        return false;
      case 'unanswered':
        worker.unansweredCalls += 1;
        this.listener.answerMissing(worker);
        // A single answer may get lost. The next call follows without a delay
        // and shows whether the worker is reachable.
        return !worker.unreachable;
    }
  }

  /**
   * Decides once more about a renewal that is about to leave: it may have waited
   * for a connection, or this process may have stood still.
   */
  private maySend(deadlineMs: number | undefined): boolean {
    if (this.closed) return false;
    return deadlineMs === undefined || this.listener.mayGrantLeases();
  }

  /**
   * Returns whether the worker may have restarted since its last answer. A call
   * that acknowledges ends must not wait then: the next incarnation would forget
   * the ends of the runs that end there meanwhile.
   */
  private mayAcknowledgeToNextIncarnation(
    acknowledgedNumber: number,
    now: clock.Milliseconds,
  ): boolean {
    const sinceAnswerMs = now - this.worker.lastAnswerAt;
    return acknowledgedNumber > 0 && sinceAnswerMs > MINIMUM_RESTART_MS;
  }

  private acceptReport(
    report: remoteWorker.RenewalReport,
    sentAt: clock.Milliseconds,
  ): boolean {
    const {worker} = this;
    if (report.born !== undefined && report.born !== worker.entry.born) {
      this.listener.workerReplaced(worker, report.born);
      return false;
    }
    const first = !worker.fencingTokenAccepted;
    const now = this.clock.now();
    worker.recordClockReading(report.clockMs, now);
    worker.recordTokenAccepted(sentAt, now);
    this.listener.reportReceived(worker, report, sentAt);
    // When no lease may be granted, the worker answers at once; returning
    // false makes the loop wait between the calls.
    return first || this.listener.mayGrantLeases();
  }

  private handleRejection(reason: workerClient.RejectionReason): void {
    if (reason === 'superseded') this.listener.termSuperseded(this.worker);
    else if (reason === 'otherLife') this.listener.workerReplaced(this.worker);
    else this.listener.answerMissing(this.worker);
  }
}
