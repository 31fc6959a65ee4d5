import * as jobTask from './job_task.js';
import type * as assignmentIndex from './assignment_index.js';
import type * as clock from '../machines/clock.js';
import type * as dispatcher from './dispatcher.js';
import type * as jobTable from './job_table.js';
import type * as remoteWorker from '../machines/remote_worker.js';
import type * as stepInstance from './step_instance.js';

/** Hears how runs end. */
export interface RunListener {
  /** A run ended for good or ill; its room is free. */
  runEnded(
    task: jobTask.JobTask,
    worker: remoteWorker.RemoteWorker,
    run: number,
    endKind: string,
  ): void;
}

/** Position of a task: its job, occurrence, step and index. */
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

/** Brings the book of jobs in line with what workers report. */
export class RunTracker {
  constructor(
    private readonly jobTable: jobTable.JobTable,
    private readonly index: assignmentIndex.AssignmentIndex,
    private readonly dispatcher: dispatcher.Dispatcher,
    private readonly listener: RunListener,
  ) {}

  /** Finds a task by its name. */
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

  /** Takes a report that was asked for at `sentAt`. */
  applyReport(
    worker: remoteWorker.RemoteWorker,
    report: remoteWorker.RenewalReport,
    sentAt: clock.Milliseconds,
    now: clock.Milliseconds,
  ): void {
    for (const row of report.running) this.applyRunning(worker, row, now);
    this.applyEnded(worker, report.ended, now);
    this.confirmStops(worker, report, sentAt);
  }

  /** Everything that ran on a worker is over. */
  endAll(worker: remoteWorker.RemoteWorker, endKind: 'lapsed' | 'lost'): void {
    for (const assignment of [...this.index.runsOn(worker)]) {
      this.end(assignment, endKind);
    }
  }

  /** Frees a run that surely did not start. */
  release(assignment: jobTask.Assignment): void {
    this.index.remove(assignment);
  }

  private applyRunning(
    worker: remoteWorker.RemoteWorker,
    row: remoteWorker.ReportedRun,
    now: clock.Milliseconds,
  ): void {
    const task = this.findTask(row.task);
    // The job was dropped, or another system's task: the lease ends it.
    if (task === undefined) return;
    const assignment =
      task.find(worker, row.run) ?? this.adopt(task, worker, row.run, now);
    assignment.reported = true;
    if (assignment.phase === 'starting') assignment.phase = 'running';
    if (row.percent > assignment.progressPercent) assignment.progressedAt = now;
    assignment.progressPercent = row.percent;
    assignment.reportedUsage = row.usage;
    if (row.checkpoint !== '') task.checkpoint = row.checkpoint;
    if (task.done || task.step.owner.outcome !== 'open') {
      this.dispatcher.stop(assignment);
    }
  }

  /** Takes over a run that an earlier term started. */
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
    assignment.phase = 'running';
    task.highestRun = Math.max(task.highestRun, run);
    const running = task.assignments.some(other => other.phase !== 'stopping');
    this.index.add(assignment);
    step.owner.started = true;
    if (running && !step.definition.duplicatesAllowed) {
      this.dispatcher.stop(assignment);
    }
    return assignment;
  }

  private applyEnded(
    worker: remoteWorker.RemoteWorker,
    ended: ReadonlyArray<remoteWorker.ReportedRunEnd>,
    now: clock.Milliseconds,
  ): void {
    const affectedTasks = new Set<jobTask.JobTask>();
    let highest = worker.handledEndNumber;
    for (const row of ended) {
      if (row.sequenceNumber <= worker.handledEndNumber) continue;
      highest = Math.max(highest, row.sequenceNumber);
      const task = this.findTask(row.task);
      if (task === undefined) continue;
      affectedTasks.add(task);
      if (row.checkpoint !== '' && !task.done) {
        task.checkpoint = row.checkpoint;
      }
      task.highestRun = Math.max(task.highestRun, row.run);
      const assignment = task.find(worker, row.run);
      if (assignment !== undefined) {
        const tookMs = now - assignment.startedAt;
        if (row.how === 'done') task.step.recordDuration(tookMs);
        this.release(assignment);
      }
      this.listener.runEnded(task, worker, row.run, row.how);
    }
    if (highest === worker.handledEndNumber) return;
    worker.handledEndNumber = highest;
    this.storeEnds(worker, highest, affectedTasks);
  }

  /** A worker may forget its ends once all of their jobs are stored. */
  private storeEnds(
    worker: remoteWorker.RemoteWorker,
    highest: number,
    affectedTasks: ReadonlySet<jobTask.JobTask>,
  ): void {
    const records = new Set([...affectedTasks].map(task => task.step.owner));
    let unstoredCount = records.size;
    const stored = (): void => {
      worker.storedEndNumber = Math.max(worker.storedEndNumber, highest);
    };
    if (unstoredCount === 0) stored();
    for (const record of records) {
      this.jobTable.store(record, () => {
        unstoredCount -= 1;
        if (unstoredCount === 0) stored();
      });
    }
  }

  /**
   * A stop that was answered while the run was not listed rules the run out:
   * a later start of it is refused. A report asked for after that shows it.
   */
  private confirmStops(
    worker: remoteWorker.RemoteWorker,
    report: remoteWorker.RenewalReport,
    sentAt: clock.Milliseconds,
  ): void {
    const listed = new Set(
      [...report.running, ...report.ended].map(row => `${row.task}/${row.run}`),
    );
    for (const assignment of [...this.index.runsOn(worker)]) {
      const ruledOut =
        assignment.phase === 'stopping' &&
        assignment.stopConfirmedAt <= sentAt &&
        !listed.has(`${assignment.task}/${assignment.run}`);
      if (ruledOut) this.end(assignment, 'stopped');
    }
  }

  private end(assignment: jobTask.Assignment, endKind: string): void {
    this.release(assignment);
    const {jobTask: task, worker, run} = assignment;
    this.listener.runEnded(task, worker, run, endKind);
  }
}
