import * as lineLimiter from './line_limiter.js';
import * as runNumbers from './run_numbers.js';
import type * as clock from '../machines/clock.js';
import type * as jobTask from './job_task.js';
import type * as schedulerOptions from './scheduler_options.js';

/** Age of a start's decision at sending, up to which it counts in a class. */
interface AgeClass {
  readonly name: string;
  readonly upToMs: number;
}

const AGE_CLASSES: ReadonlyArray<AgeClass> = [
  {name: 'under100ms', upToMs: 100},
  {name: 'under1s', upToMs: 1_000},
  {name: 'under3s', upToMs: 3_000},
  {name: 'over3s', upToMs: Infinity},
];

/** Age from which the first copy of a start is logged as late. */
const LATE_FIRST_COPY_MS = 1_000;

/** Age from which a repeated start is logged; regular repeats end before. */
const LATE_REPEAT_MS = 3_000;

/** Most lines of each kind in one second. */
const MAXIMUM_LINES_PER_SECOND = 10;

/** What a worker's report of a run that this term did not start led to. */
export interface Adoption {
  readonly assignment: jobTask.Assignment;
  /** Another run of the task that was assigned at that time. */
  readonly otherRun: jobTask.Assignment | undefined;
  readonly action: 'kept' | 'stopped';
}

/** State of a task when a run of it is adopted. */
type AdoptedTaskState = 'done' | 'settled' | 'assigned' | 'waiting';

/**
 * Counts and logs how old starts are when they leave, and the runs that this
 * term never asked for.
 */
export class RunMonitor {
  private readonly lateStartLines: lineLimiter.LineLimiter;
  private readonly adoptionLines: lineLimiter.LineLimiter;
  private readonly unexpectedLines: lineLimiter.LineLimiter;

  constructor(private readonly options: schedulerOptions.SchedulerOptions) {
    const createLimiter = (): lineLimiter.LineLimiter =>
      new lineLimiter.LineLimiter(options.clock, MAXIMUM_LINES_PER_SECOND);
    this.lateStartLines = createLimiter();
    this.adoptionLines = createLimiter();
    this.unexpectedLines = createLimiter();
  }

  /** Records that a copy of a start has left for the worker. */
  startSent(
    assignment: jobTask.Assignment,
    isRepeat: boolean,
    now: clock.Milliseconds,
  ): void {
    const {counters} = this.options;
    const ageMs = now - assignment.startedAt;
    const copy = isRepeat ? 'repeat' : 'first';
    counters.count('starts_sent', `${copy}.${ageClassOf(ageMs)}`);
    counters.observe('start_age', ageMs);
    const limitMs = isRepeat ? LATE_REPEAT_MS : LATE_FIRST_COPY_MS;
    if (ageMs >= limitMs) this.logLateStart(assignment, copy, ageMs);
  }

  /** Records a run that a worker reports and that this term did not start. */
  runAdopted({assignment, otherRun, action}: Adoption): void {
    const {counters, log, term} = this.options;
    const {jobTask: task, run, worker} = assignment;
    const taskState = stateOf(task, otherRun);
    counters.count('runs_adopted', `${taskState}.${action}`);
    const isExpected = taskState === 'waiting';
    const limiter = isExpected ? this.adoptionLines : this.unexpectedLines;
    limiter.tryWrite(omitted =>
      log.event(isExpected ? 'info' : 'warn', 'runAdopted', {
        task: task.name,
        run,
        worker: worker.id,
        born: worker.entry.born,
        term,
        runTerm: runNumbers.termOfRun(run),
        taskState,
        otherRun: otherRun?.run,
        otherWorker: otherRun?.worker.id,
        action,
        omitted,
      }),
    );
  }

  private logLateStart(
    assignment: jobTask.Assignment,
    copy: 'first' | 'repeat',
    ageMs: number,
  ): void {
    const {log, term} = this.options;
    const {task, run, worker} = assignment;
    this.lateStartLines.tryWrite(omitted =>
      log.event('warn', 'startSentLate', {
        task,
        run,
        worker: worker.id,
        born: worker.entry.born,
        term,
        copy,
        ageMs: Math.round(ageMs),
        omitted,
      }),
    );
  }
}

function ageClassOf(ageMs: number): string {
  const found = AGE_CLASSES.find(({upToMs}) => ageMs < upToMs);
  return found?.name ?? 'over3s';
}

function stateOf(
  task: jobTask.JobTask,
  otherRun: jobTask.Assignment | undefined,
): AdoptedTaskState {
  if (task.done) return 'done';
  if (task.step.jobRecord.outcome !== 'open') return 'settled';
  return otherRun === undefined ? 'waiting' : 'assigned';
}
