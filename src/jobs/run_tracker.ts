import * as jobTask from './job_task.js';
import * as lateStarts from './late_starts.js';
import type * as assignmentIndex from './assignment_index.js';
import type * as clock from '../machines/clock.js';
import type * as dispatcher from './dispatcher.js';
import type * as jobRecord from './job_record.js';
import type * as jobTable from './job_table.js';
import type * as remoteWorker from '../machines/remote_worker.js';
import type * as runMonitor from './run_monitor.js';
import type * as stepInstance from './step_instance.js';

/** Receives the ends of runs. */
export interface RunListener extends lateStarts.LateStartListener {
  /** A run ended, whether it succeeded or not; its resources are released. */
  runEnded(
    task: jobTask.JobTask,
    worker: remoteWorker.RemoteWorker,
    run: number,
    endKind: string,
  ): void;
  /** A run that was given up had succeeded; a later run of the task decides. */
  successSuperseded(
    task: jobTask.JobTask,
    worker: remoteWorker.RemoteWorker,
    run: number,
  ): void;
}

/**
 * Time for which a held task counts as without a run when a term takes it over:
 * callers wait 7 s after a succession, and 9 s after the last run.
 */
const STANDING_BEFORE_TAKEOVER_MS = 2_000;

/** Parses the name of a job's task; returns undefined for other names. */
function parseTaskName(
  name: string,
): {id: string; occurrence: number; step: number; index: number} | undefined {
  const match = /^([^.]+)\.(\d+)\.(\d+)\.(\d+)$/.exec(name);
  if (match === null) return undefined;
  const [, id, occurrence, step, index] = match;
  return {
    id,
    occurrence: Number(occurrence),
    step: Number(step),
    index: Number(index),
  };
}

/**
 * Returns whether a run that was given up, because its worker was out of reach
 * for longer than its lease, had succeeded before and its task was started again
 * meanwhile. The later run decides. The worker may forget the success: it does
 * not count as the task's end, because its lease has lapsed since. The success of
 * a late start does, on an incarnation that this term has found in time.
 */
function isSupersededSuccess(
  task: jobTask.JobTask,
  worker: remoteWorker.RemoteWorker,
  {run, endKind}: remoteWorker.ReportedRunEnd,
): boolean {
  if (endKind !== 'done' || task.step.definition.duplicatesAllowed) {
    return false;
  }
  if (!worker.mayHaveLapsed) return false;
  const isGivenUp = task.findAssignment(worker, run) === undefined;
  return isGivenUp && task.highestRun > run;
}

/**
 * Returns whether the end of a run has to be stored before its worker may forget
 * it. A success is stored even if the task is done already: the end that made it
 * done may not be stored yet.
 */
function changesStoredProgress(
  task: jobTask.JobTask,
  {endKind, checkpoint}: remoteWorker.ReportedRunEnd,
): boolean {
  const {step} = task;
  if (!step.jobRecord.started || checkpoint !== '') return true;
  return endKind === 'done' || (endKind === 'failed' && step.countsFailures);
}

/**
 * Returns whether no run of a task may start after an end that was handled: the
 * run succeeded, or it was the last attempt of its job.
 */
function isFinal(
  {step}: jobTask.JobTask,
  {endKind}: remoteWorker.ReportedRunEnd,
): boolean {
  if (endKind === 'done') return true;
  return endKind === 'failed' && step.jobRecord.outcome === 'failed';
}

/** Applies worker reports to the jobs and their runs. */
export class RunTracker {
  private readonly lateStarts: lateStarts.LateStarts;

  constructor(
    private readonly jobTable: jobTable.JobTable,
    private readonly assignmentIndex: assignmentIndex.AssignmentIndex,
    private readonly dispatcher: dispatcher.Dispatcher,
    private readonly runMonitor: runMonitor.RunMonitor,
    private readonly listener: RunListener,
  ) {
    this.lateStarts = new lateStarts.LateStarts(listener);
  }

  /** Finds a task by its name; opens its job's occurrences up to that task. */
  findTask(name: string): jobTask.JobTask | undefined {
    const parsed = parseTaskName(name);
    if (parsed === undefined) return undefined;
    const record = this.jobTable.get(parsed.id);
    if (record === undefined) return undefined;
    let instance: stepInstance.StepInstance | undefined;
    while (
      (instance = record.stepAt(parsed.occurrence, parsed.step)) ===
        undefined &&
      record.nextDueUnixMs !== Infinity
    ) {
      record.openOccurrence();
    }
    return instance?.tasks[parsed.index];
  }

  /** Applies a report that was requested at `sentAt`. */
  applyReport(
    worker: remoteWorker.RemoteWorker,
    report: remoteWorker.RenewalReport,
    sentAt: clock.Milliseconds,
    now: clock.Milliseconds,
  ): void {
    for (const row of report.running) this.applyRunning(worker, row, now);
    this.applyEnded(worker, report.ended, now);
    this.confirmStops(worker, report, sentAt, now);
  }

  /**
   * Moves the runs that a worker's next incarnation may carry out to that one,
   * and stops them there. Their tasks stay assigned until it has confirmed the
   * stop and reported that it does not run them.
   */
  moveToNextIncarnation(
    worker: remoteWorker.RemoteWorker,
    nextIncarnation: remoteWorker.RemoteWorker,
    now: clock.Milliseconds,
  ): void {
    for (const assignment of [...this.assignmentIndex.runsOn(worker)]) {
      if (!assignment.mayStartInNextIncarnation) continue;
      const {jobTask: task, run, ticket} = assignment;
      const moved = new jobTask.Assignment(
        task,
        nextIncarnation,
        run,
        ticket,
        now,
      );
      // Added first, so that the task is never without an assignment.
      this.assignmentIndex.add(moved);
      this.assignmentIndex.remove(assignment);
      this.dispatcher.stop(moved);
    }
  }

  /** Holds back the tasks of a job that earlier terms left with late starts. */
  holdRestarts(record: jobRecord.JobRecord, now: clock.Milliseconds): void {
    for (const task of record.unansweredStarts.tasks) {
      this.lateStarts.holdRestart(task, now, now - STANDING_BEFORE_TAKEOVER_MS);
    }
  }

  /** Ends what was held back for late starts that can't arrive any more. */
  reviewLateStarts(now: clock.Milliseconds): void {
    this.lateStarts.review(now);
  }

  /** Ends all runs of an incarnation that is over. */
  endLost(worker: remoteWorker.RemoteWorker, now: clock.Milliseconds): void {
    for (const assignment of [...this.assignmentIndex.runsOn(worker)]) {
      this.end(assignment, 'lost', now);
    }
  }

  /**
   * Ends the runs on a worker whose last lease has expired, and returns how many
   * there were. Those that a late start may still begin or keep running, in an
   * incarnation that has not been reached, stay assigned until then.
   */
  endLapsed(
    worker: remoteWorker.RemoteWorker,
    now: clock.Milliseconds,
  ): number {
    const lapsed = [...this.assignmentIndex.runsOn(worker)].filter(
      ({jobTask: task}) => !lateStarts.mayRunUnseen(task, now),
    );
    for (const assignment of lapsed) this.end(assignment, 'lapsed', now);
    worker.leaseHasLapsed = true;
    return lapsed.length;
  }

  /** Releases a run that has ended or definitely did not start. */
  release(assignment: jobTask.Assignment, now: clock.Milliseconds): void {
    const {jobTask: task, worker} = assignment;
    this.assignmentIndex.remove(assignment);
    this.lateStarts.holdRestart(task, now, worker.lastAnswerAt);
  }

  private applyRunning(
    worker: remoteWorker.RemoteWorker,
    reportedRun: remoteWorker.ReportedRun,
    now: clock.Milliseconds,
  ): void {
    const task = this.findTask(reportedRun.task);
    // The job was dropped or is unknown: the lease of the run will expire.
    if (task === undefined) return;
    const assignment =
      task.findAssignment(worker, reportedRun.run) ??
      this.adopt(task, worker, reportedRun.run, now);
    assignment.reported = true;
    assignment.confirm(now);
    if (reportedRun.percent > assignment.progressPercent) {
      assignment.progressedAt = now;
    }
    assignment.progressPercent = reportedRun.percent;
    assignment.reportedUsage = reportedRun.usage;
    if (reportedRun.checkpoint !== '') task.checkpoint = reportedRun.checkpoint;
    if (task.done || task.step.jobRecord.outcome !== 'open') {
      this.dispatcher.stop(assignment);
    }
  }

  /**
   * Adopts a run that this term did not start, or has given up. It is stopped
   * unless its task still needs it.
   */
  private adopt(
    task: jobTask.JobTask,
    worker: remoteWorker.RemoteWorker,
    run: number,
    now: clock.Milliseconds,
  ): jobTask.Assignment {
    const {step} = task;
    const assignment = new jobTask.Assignment(
      task,
      worker,
      run,
      undefined,
      now,
    );
    assignment.confirm(now);
    if (step.definition.longRunning && !task.isStoredAt(worker.id)) {
      this.jobTable.store(step.jobRecord);
    }
    if (step.definition.usesIdleCapacity) {
      assignment.processorPercent = undefined;
    }
    task.highestRun = Math.max(task.highestRun, run);
    const otherRun = task.assignments.find(other => other.phase !== 'stopping');
    this.assignmentIndex.add(assignment);
    step.jobRecord.started = true;
    const isNeeded =
      !task.done &&
      step.jobRecord.outcome === 'open' &&
      (otherRun === undefined || step.definition.duplicatesAllowed);
    const action = isNeeded ? 'kept' : 'stopped';
    this.runMonitor.runAdopted({assignment, otherRun, action});
    if (!isNeeded) this.dispatcher.stop(assignment);
    return assignment;
  }

  private applyEnded(
    worker: remoteWorker.RemoteWorker,
    ended: ReadonlyArray<remoteWorker.ReportedRunEnd>,
    now: clock.Milliseconds,
  ): void {
    const affectedTasks = new Set<jobTask.JobTask>();
    const finalTasks = new Set<jobTask.JobTask>();
    const {handledNumber} = worker.endCursor;
    let highestNumber = handledNumber;
    for (const reportedEnd of ended) {
      if (reportedEnd.sequenceNumber <= handledNumber) continue;
      highestNumber = Math.max(highestNumber, reportedEnd.sequenceNumber);
      const task = this.findTask(reportedEnd.task);
      if (task === undefined) continue;
      if (isSupersededSuccess(task, worker, reportedEnd)) {
        this.listener.successSuperseded(task, worker, reportedEnd.run);
        // Its lease may not have lapsed after all.
        finalTasks.add(task);
        continue;
      }
      if (changesStoredProgress(task, reportedEnd)) affectedTasks.add(task);
      if (reportedEnd.checkpoint !== '' && !task.done) {
        task.checkpoint = reportedEnd.checkpoint;
      }
      task.highestRun = Math.max(task.highestRun, reportedEnd.run);
      const assignment = task.findAssignment(worker, reportedEnd.run);
      if (assignment !== undefined) {
        const durationMs = now - assignment.startedAt;
        if (reportedEnd.endKind === 'done') {
          task.step.recordDuration(durationMs);
        }
        this.release(assignment, now);
      }
      this.listener.runEnded(
        task,
        worker,
        reportedEnd.run,
        reportedEnd.endKind,
      );
      if (isFinal(task, reportedEnd)) finalTasks.add(task);
    }
    if (highestNumber === handledNumber) return;
    let openCount = finalTasks.size + 1;
    const onStored = worker.endCursor.handle(highestNumber);
    const complete = (): void => {
      openCount -= 1;
      if (openCount === 0) onStored();
    };
    for (const task of finalTasks) {
      this.lateStarts.whenNoneMayArrive(task, now, complete);
    }
    this.storeEnds(affectedTasks, complete);
  }

  /** Stores the jobs of ended runs; calls `onStored` once all are stored. */
  private storeEnds(
    affectedTasks: ReadonlySet<jobTask.JobTask>,
    onStored: () => void,
  ): void {
    const records = new Set(
      [...affectedTasks].map(task => task.step.jobRecord),
    );
    let unstoredCount = records.size;
    if (unstoredCount === 0) onStored();
    for (const record of records) {
      this.jobTable.store(record, () => {
        unstoredCount -= 1;
        if (unstoredCount === 0) onStored();
      });
    }
  }

  /**
   * Ends stopped runs that a report does not list. Once a worker has confirmed
   * a stop, it refuses later starts of that run, so a report requested after
   * the confirmation is conclusive, unless it leaves ends out.
   */
  private confirmStops(
    worker: remoteWorker.RemoteWorker,
    report: remoteWorker.RenewalReport,
    sentAt: clock.Milliseconds,
    now: clock.Milliseconds,
  ): void {
    if (report.hasMoreEnds) return;
    const stopped: jobTask.Assignment[] = [];
    for (const assignment of this.assignmentIndex.runsOn(worker)) {
      const {phase, stopConfirmedAt} = assignment;
      if (phase === 'stopping' && stopConfirmedAt <= sentAt) {
        stopped.push(assignment);
      }
    }
    if (stopped.length === 0) return;
    const listed = new Set(
      [...report.running, ...report.ended].map(row => `${row.task}/${row.run}`),
    );
    for (const assignment of stopped) {
      const isListed = listed.has(`${assignment.task}/${assignment.run}`);
      if (!isListed && this.assignmentIndex.has(assignment)) {
        this.end(assignment, 'stopped', now);
      }
    }
  }

  private end(
    assignment: jobTask.Assignment,
    endKind: string,
    now: clock.Milliseconds,
  ): void {
    this.release(assignment, now);
    const {jobTask: task, worker, run} = assignment;
    this.listener.runEnded(task, worker, run, endKind);
  }
}
