import type * as workerModel from '../stand_ins/worker_model.js';

/** CPU that each task of the soak's jobs reserves, in thousandths of a core. */
const TASK_CPU_THOUSANDTHS = 1_000;

/** CPU of a stand-in worker, in thousandths of a core. */
const WORKER_CPU_THOUSANDTHS = 4_000;

/** What one worker has run, and which ends the system has acknowledged. */
export interface WorkerHistory {
  readonly id: string;
  readonly events: ReadonlyArray<workerModel.RunEvent>;
  readonly acknowledgedEnds: ReadonlyArray<workerModel.AcknowledgedEnd>;
}

/** Workers of a cell. */
export interface WorkerHistories {
  readonly workers: ReadonlyArray<WorkerHistory>;
}

/** Decides which ends of runs forbid that their task starts again. */
export interface CompletionRule {
  completes(end: workerModel.RunEvent): boolean;
}

/** Each success completes its task: no worker is cut off beyond its lease. */
export class AnySuccess implements CompletionRule {
  completes(end: workerModel.RunEvent): boolean {
    return end.outcome === 'done';
  }
}

/**
 * A success completes its task if it was acknowledged, at any time, before the
 * worker's lease had lapsed. One that was not may be repeated.
 */
export class AcknowledgedSuccess implements CompletionRule {
  private readonly ends = new Set<string>();

  constructor(cell: WorkerHistories) {
    for (const {id, acknowledgedEnds} of cell.workers) {
      for (const {task, run, endedAtMs, leaseLapsed} of acknowledgedEnds) {
        if (!leaseLapsed) this.ends.add([id, task, run, endedAtMs].join());
      }
    }
  }

  completes({worker, task, run, atMs, outcome}: workerModel.RunEvent): boolean {
    const end = [worker, task, run, atMs].join();
    return outcome === 'done' && this.ends.has(end);
  }
}

/** Checks invariants of replies to callers and of runs on workers. */
export class JobInvariantChecker {
  readonly violations: string[] = [];
  private readonly submittedIds = new Set<string>();
  private readonly acceptedIds = new Set<string>();
  private readonly refusedIds = new Set<string>();

  constructor(private readonly cell: WorkerHistories) {}

  get acceptedCount(): number {
    return this.acceptedIds.size;
  }

  acceptedJobs(): ReadonlyArray<string> {
    return [...this.acceptedIds];
  }

  /** Records that a job is about to be submitted. */
  jobSubmitted(id: string): void {
    this.submittedIds.add(id);
  }

  /** Records that a caller was told that the job is accepted. */
  jobAccepted(id: string): void {
    this.acceptedIds.add(id);
  }

  /** Records that all attempts to submit the job were definitely refused. */
  jobRefused(id: string): void {
    this.refusedIds.add(id);
  }

  /** Records that a process answers by an older version than the last one. */
  configurationOutdated(
    process: string,
    status: number,
    version: number,
  ): void {
    this.violations.push(
      `${process} answers ${status}, not as version ${version} says`,
    );
  }

  /** Records that a process that drains has ended an open request. */
  requestCutOff(process: string, id: string): void {
    this.violations.push(`${process} cut off the submission of ${id}`);
  }

  /** Records that an accepted job is no longer known. */
  jobLost(id: string, status: number): void {
    this.violations.push(`accepted job ${id} is answered with ${status}`);
  }

  /** Records that an accepted job did not complete in time. */
  jobUnfinished(id: string, status: number, state: string): void {
    this.violations.push(
      `accepted job ${id} did not complete: status ${status}, state ${state}`,
    );
  }

  /** Records that a process ended although nobody had stopped it. */
  processExited(process: string, exitCode: number | null): void {
    this.violations.push(`${process} exited by itself with ${exitCode}`);
  }

  /** Records that a process did not end after SIGTERM. */
  processLingered(process: string): void {
    this.violations.push(`${process} did not exit after SIGTERM`);
  }

  /** Records that a process had no configuration after the faults. */
  processNotReady(process: string): void {
    this.violations.push(`${process} did not become ready`);
  }

  /** Checks the starts and ends of runs on all workers. */
  checkRuns(rule: CompletionRule): void {
    const events = this.cell.workers
      .flatMap(worker => worker.events)
      .sort((left, right) => left.atMs - right.atMs);
    const activeRunsByTask = new Map<string, Set<string>>();
    const completed = new Set<string>();
    const usedByWorker = new Map<string, number>();
    for (const event of events) {
      const active = activeRunsByTask.get(event.task) ?? new Set<string>();
      activeRunsByTask.set(event.task, active);
      if (event.kind === 'started') this.checkStart(event, active, completed);
      else if (rule.completes(event)) completed.add(event.task);
      const change = event.kind === 'started' ? 1 : -1;
      const used =
        (usedByWorker.get(event.worker) ?? 0) + change * TASK_CPU_THOUSANDTHS;
      usedByWorker.set(event.worker, used);
      if (used > WORKER_CPU_THOUSANDTHS) {
        this.violations.push(
          `${event.worker} over capacity: ${used} of ${WORKER_CPU_THOUSANDTHS}`,
        );
      }
      if (event.kind === 'started') active.add(runName(event));
      else active.delete(runName(event));
    }
  }

  private checkStart(
    event: workerModel.RunEvent,
    activeRuns: ReadonlySet<string>,
    completed: ReadonlySet<string>,
  ): void {
    const {task, worker, fencingToken} = event;
    const run = `${task} run ${event.run} on ${worker} by ${fencingToken}`;
    const [id] = event.task.split('.');
    if (activeRuns.size > 0) {
      this.violations.push(
        `${run} started while ${[...activeRuns].join()} was active`,
      );
    }
    if (completed.has(event.task)) {
      this.violations.push(`${run} started after the task had completed`);
    }
    if (!this.submittedIds.has(id)) {
      this.violations.push(`${run} belongs to a job that was never submitted`);
    }
    if (this.refusedIds.has(id)) {
      this.violations.push(`${run} belongs to a refused job`);
    }
  }
}

function runName(event: workerModel.RunEvent): string {
  return `${event.worker}/${event.run}`;
}
