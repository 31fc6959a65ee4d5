import type * as schedulerOptions from '../jobs/scheduler_options.js';

/** Kind of process that is called. */
export type Destination = 'worker' | 'store' | 'advice' | 'member';

/** What a call was waiting for when its time was over. */
export type CallPhase =
  /** For a connection that other calls used. */
  | 'queued'
  /** For a connection to be opened. */
  | 'connecting'
  /** For a response. */
  | 'silent';

/** Why a connection was closed. */
export type CloseReason = 'timeout' | 'failure' | 'close';

/** Causes of a new connection, by the reason of the last loss. */
const REOPENING_CAUSES: Readonly<Record<CloseReason, string>> = {
  timeout: 'afterTimeout',
  failure: 'afterFailure',
  close: 'afterClose',
};

/** Counts the calls to one kind of process. */
export class CallStatistics {
  constructor(
    private readonly counters: schedulerOptions.Counters,
    private readonly destination: Destination,
  ) {}

  /** Counts a call that was given up. */
  countTimeout(phase: CallPhase): void {
    this.count('call_timeouts', phase);
  }

  /** Counts a response that a late event loop read after the call's time. */
  countLateRead(): void {
    this.count('call_timeouts', 'lateLoop');
  }

  /** Counts an opened connection. */
  countConnection(cause: string): void {
    this.count('connections_opened', cause);
  }

  private count(name: string, reason: string): void {
    this.counters.count(name, `${this.destination}.${reason}`);
  }
}

/**
 * Number of connections in a row without a response after which the process at
 * the address counts as busy: a lost connection alone would have been replaced
 * by one that works.
 */
const UNANSWERED_CONNECTIONS_LIMIT = 2;

/** Connections to one address; tells why each new one is opened. */
export class ConnectionHistory {
  private openCount = 0;
  /** Number of connections in a row that were given up without a response. */
  private unansweredCount = 0;
  private readonly lostCounts: Record<CloseReason, number> = {
    timeout: 0,
    failure: 0,
    close: 0,
  };

  constructor(private readonly statistics: CallStatistics) {}

  /** Records that a connection is being opened. */
  recordOpening(): void {
    this.statistics.countConnection(this.takeCause());
    this.openCount += 1;
  }

  /** Whether the process at the address seems too busy to accept a connection. */
  get seemsBusy(): boolean {
    return this.unansweredCount >= UNANSWERED_CONNECTIONS_LIMIT;
  }

  /** Records a response on any connection. */
  recordResponse(): void {
    this.unansweredCount = 0;
  }

  /** Records that a connection was given up without a response. */
  recordUnanswered(): void {
    this.unansweredCount += 1;
  }

  /** Records that a connection was closed or could not be opened. */
  recordClose(reason: CloseReason): void {
    this.openCount -= 1;
    this.lostCounts[reason] += 1;
  }

  private takeCause(): string {
    const reasons: ReadonlyArray<CloseReason> = ['timeout', 'failure', 'close'];
    const lost = reasons.find(reason => this.lostCounts[reason] > 0);
    if (lost === undefined) return this.openCount > 0 ? 'parallel' : 'first';
    this.lostCounts[lost] -= 1;
    return REOPENING_CAUSES[lost];
  }
}
