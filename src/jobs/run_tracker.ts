import * as task from './task.js';
import type * as assignmentIndex from './assignment_index.js';
import type * as clock from '../machines/clock.js';
import type * as dispatcher from './dispatcher.js';
import type * as jobBook from './job_book.js';
import type * as remoteWorker from '../machines/remote_worker.js';
import type * as stepInstance from './step_instance.js';

/** Hears how runs end. */
export interface RunListener {
  /** A run ended for good or ill; its room is free. */
  ended(
    target: task.Task,
    worker: remoteWorker.RemoteWorker,
    run: number,
    how: string,
  ): void;
}

/** Position of a task: its job, occurrence, step and index. */
function parseName(
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
    private readonly book: jobBook.JobBook,
    private readonly index: assignmentIndex.AssignmentIndex,
    private readonly dispatcher: dispatcher.Dispatcher,
    private readonly listener: RunListener,
  ) {}

  /** Finds a task by its name. */
  find(name: string): task.Task | undefined {
    const parsed = parseName(name);
    if (parsed === undefined) return undefined;
    const record = this.book.get(parsed.id);
    if (record === undefined) return undefined;
    let instance: stepInstance.StepInstance | undefined;
    while (
      (instance = record.step(parsed.occurrence, parsed.step)) === undefined &&
      record.nextDueAtMs !== Infinity
    ) {
      record.openOccurrence();
    }
    return instance?.tasks[parsed.index];
  }

  /** Takes a report that was asked for at `sentAt`. */
  take(
    worker: remoteWorker.RemoteWorker,
    report: remoteWorker.RenewalReport,
    sentAt: clock.Milliseconds,
    now: clock.Milliseconds,
  ): void {
    for (const row of report.running) this.takeRunning(worker, row, now);
    this.takeEnds(worker, report.ended, now);
    this.settleStops(worker, report, sentAt);
  }

  /** Everything that ran on a worker is over. */
  loseAll(worker: remoteWorker.RemoteWorker, how: 'lapsed' | 'lost'): void {
    for (const assignment of [...this.index.of(worker)]) {
      this.end(assignment, how);
    }
  }

  /** Frees a run that surely did not start. */
  drop(assignment: task.Assignment): void {
    this.index.remove(assignment);
  }

  private takeRunning(
    worker: remoteWorker.RemoteWorker,
    row: remoteWorker.ReportedRun,
    now: clock.Milliseconds,
  ): void {
    const target = this.find(row.task);
    // The job was dropped, or another system's task: the lease ends it.
    if (target === undefined) return;
    const assignment =
      target.find(worker, row.run) ?? this.adopt(target, worker, row.run, now);
    assignment.seen = true;
    if (assignment.phase === 'starting') assignment.phase = 'running';
    if (row.percent > assignment.percent) assignment.progressAt = now;
    assignment.percent = row.percent;
    assignment.usage = row.usage;
    if (row.checkpoint !== '') target.checkpoint = row.checkpoint;
    if (target.done || target.step.owner.outcome !== 'open') {
      this.dispatcher.stop(assignment);
    }
  }

  /** Takes over a run that an earlier term started. */
  private adopt(
    target: task.Task,
    worker: remoteWorker.RemoteWorker,
    run: number,
    now: clock.Milliseconds,
  ): task.Assignment {
    const {step} = target;
    const assignment = new task.Assignment(target, worker, run, undefined, now);
    assignment.phase = 'running';
    target.lastRun = Math.max(target.lastRun, run);
    const running = target.assignments.some(
      other => other.phase !== 'stopping',
    );
    this.index.add(assignment);
    step.owner.started = true;
    if (running && !step.definition.duplicatesAllowed) {
      this.dispatcher.stop(assignment);
    }
    return assignment;
  }

  private takeEnds(
    worker: remoteWorker.RemoteWorker,
    ended: ReadonlyArray<remoteWorker.ReportedRunEnd>,
    now: clock.Milliseconds,
  ): void {
    const touched = new Set<task.Task>();
    let highest = worker.handledEndNumber;
    for (const row of ended) {
      if (row.sequenceNumber <= worker.handledEndNumber) continue;
      highest = Math.max(highest, row.sequenceNumber);
      const target = this.find(row.task);
      if (target === undefined) continue;
      touched.add(target);
      if (row.checkpoint !== '' && !target.done) {
        target.checkpoint = row.checkpoint;
      }
      target.lastRun = Math.max(target.lastRun, row.run);
      const assignment = target.find(worker, row.run);
      if (assignment !== undefined) {
        const tookMs = now - assignment.startedAt;
        if (row.how === 'done') target.step.noteDuration(tookMs);
        this.drop(assignment);
      }
      this.listener.ended(target, worker, row.run, row.how);
    }
    if (highest === worker.handledEndNumber) return;
    worker.handledEndNumber = highest;
    this.storeEnds(worker, highest, touched);
  }

  /** A worker may forget its ends once all of their jobs are stored. */
  private storeEnds(
    worker: remoteWorker.RemoteWorker,
    highest: number,
    touched: ReadonlySet<task.Task>,
  ): void {
    const records = new Set([...touched].map(target => target.step.owner));
    let open = records.size;
    const stored = (): void => {
      worker.storedEndNumber = Math.max(worker.storedEndNumber, highest);
    };
    if (open === 0) stored();
    for (const record of records) {
      this.book.store(record, () => {
        open -= 1;
        if (open === 0) stored();
      });
    }
  }

  /**
   * A stop that was answered while the run was not listed rules the run out:
   * a later start of it is refused. A report asked for after that shows it.
   */
  private settleStops(
    worker: remoteWorker.RemoteWorker,
    report: remoteWorker.RenewalReport,
    sentAt: clock.Milliseconds,
  ): void {
    const listed = new Set(
      [...report.running, ...report.ended].map(row => `${row.task}/${row.run}`),
    );
    for (const assignment of [...this.index.of(worker)]) {
      const ruledOut =
        assignment.phase === 'stopping' &&
        assignment.stopSettledAt <= sentAt &&
        !listed.has(`${assignment.task}/${assignment.run}`);
      if (ruledOut) this.end(assignment, 'stopped');
    }
  }

  private end(assignment: task.Assignment, how: string): void {
    this.drop(assignment);
    const {target, worker, run} = assignment;
    this.listener.ended(target, worker, run, how);
  }
}
