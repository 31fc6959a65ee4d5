import * as attempts from './execution_attempt.js';
import * as effects from './effect.js';
import * as lease from './lease.js';
import * as results from '../result.js';
import type * as clock from '../machines/clock.js';
import type * as event from './event.js';
import type * as journalKeeper from './journal_keeper.js';
import type * as processDirectory from './process_directory.js';
import type * as request from './request.js';
import type * as requestTable from './request_table.js';
import type * as placement from './placement.js';
import type * as taskRunner from '../machines/task_runner.js';
import type * as trackedTask from '../machines/tracked_task.js';

/** Time for the journal to acknowledge; the rest is for the start's lease. */
const RECORD_LIMIT_MS = lease.RECORDED_LEASE_MS - lease.START_LEASE_MS;

/** Most placements of a request whose tasks keep failing. */
const ATTEMPT_LIMIT = 3;

/** Whether failed work may be tried again; one budget a process. */
export interface RetryAllowance {
  /** Takes one retry out of the budget; false when it is spent. */
  take(now: clock.Milliseconds): boolean;
  /** Notes a call that succeeded. */
  succeeded(now: clock.Milliseconds): void;
}

/** The part of the scheduler that places waiting requests. */
export interface RequestQueue {
  place(now: clock.Milliseconds): ReadonlyArray<placement.Placement>;
  requeue(returned: request.Request): void;
  remove(identity: string): boolean;
  /** Learns what became of a task. */
  observe(outcome: trackedTask.TaskOutcome, now: clock.Milliseconds): void;
}

/** A task of a service that is to be replaced. */
interface LostReplica {
  readonly attempt: attempts.ExecutionAttempt;
  readonly task: string;
}

/** What one event led to. */
export interface LifecycleTurn {
  readonly effects: ReadonlyArray<effects.Effect>;
  /** Numbers of the journal entries that are recorded from now on. */
  readonly recorded: ReadonlyArray<number>;
}

/** The objects that a lifecycle works with. */
export interface LifecycleParts {
  readonly table: requestTable.RequestTable;
  readonly queue: RequestQueue;
  readonly runner: taskRunner.TaskRunner;
  readonly journal: journalKeeper.JournalKeeper;
  readonly retries: RetryAllowance;
  readonly directory: processDirectory.ProcessDirectory;
}

/**
 * Takes placed requests through record, start and end. Nothing is sent for a
 * request that needs a record before the record is acknowledged, and nothing
 * is placed again before every earlier task is proved not to run any more.
 */
export class RequestLifecycle {
  private readonly attempts = new Map<string, attempts.ExecutionAttempt>();
  private readonly recording = new Map<number, attempts.ExecutionAttempt>();
  /** Lost tasks of services that wait for the retry budget. */
  private postponed: LostReplica[] = [];
  private orphans: trackedTask.TaskOutcome[] = [];

  constructor(private readonly parts: LifecycleParts) {}

  /** Places what waits and records or starts it. */
  placeWaiting(now: clock.Milliseconds): ReadonlyArray<effects.Effect> {
    const begun = new Set<attempts.ExecutionAttempt>();
    for (const placement of this.parts.queue.place(now)) {
      begun.add(this.hold(placement, now));
    }
    const done = [...begun].flatMap(attempt => this.begin(attempt, now));
    return [...done, ...this.parts.journal.flush(now)];
  }

  /** Passes an event to the runner and the journal and acts on the result. */
  handle(handled: event.Event, now: clock.Milliseconds): LifecycleTurn {
    const turn = this.parts.journal.handle(handled, now);
    const done = [...turn.effects];
    for (const number of turn.recorded) {
      done.push(...this.recorded(number, now));
    }
    done.push(...this.take(this.parts.runner.handle(handled, now), now));
    if (handled.kind === 'timePassed') {
      done.push(...this.checkRecording(now), ...this.replacePostponed(now));
    }
    return {effects: done, recorded: turn.recorded};
  }

  /** Returns outcomes of tasks whose request is not known here. */
  takeOrphans(): ReadonlyArray<trackedTask.TaskOutcome> {
    const taken = this.orphans;
    this.orphans = [];
    return taken;
  }

  /** Ends a request; a recorded request has its end recorded as well. */
  end(
    identity: string,
    wanted: requestTable.Ending,
    now: clock.Milliseconds,
  ): ReadonlyArray<effects.Effect> {
    const entry = this.parts.table.get(identity);
    if (entry === undefined) return [];
    const ending = truthful(wanted, entry);
    this.attempts.delete(identity);
    if (ending.result === 'ok') this.parts.retries.succeeded(now);
    if (entry.recorded && entry.ending === undefined) {
      this.parts.journal.record({
        kind: 'finished',
        identity,
        client: entry.request.client,
        ...ending,
        answerKept: true,
      });
    }
    return [
      effects.count('ended', {result: ending.result}),
      ...this.parts.table.end(identity, ending, now),
      ...this.parts.journal.flush(now),
    ];
  }

  /**
   * Cancels a request. It ends at once when nothing was sent for it; otherwise
   * its tasks are stopped and their ends tell whether it ran.
   */
  cancel(
    identity: string,
    now: clock.Milliseconds,
  ): ReadonlyArray<effects.Effect> {
    this.parts.table.change(identity, {cancelled: true, reason: 'cancelled'});
    const cancelled = {result: 'cancelled', detail: '', answer: ''} as const;
    const queued = this.parts.queue.remove(identity);
    const attempt = this.attempts.get(identity);
    if (attempt === undefined) {
      return queued ? this.end(identity, cancelled, now) : [];
    }
    if (attempt.isRecording) {
      this.abandon(attempt);
      return this.end(identity, cancelled, now);
    }
    return this.stopTasks(attempt, now);
  }

  /** When `timePassed` is wanted next. */
  nextDeadline(): clock.Milliseconds {
    const oldest = this.recording.values().next();
    if (oldest.done === true) return Infinity;
    const {createdAt, request: concerned} = oldest.value;
    return Math.min(createdAt + RECORD_LIMIT_MS, concerned.startBy);
  }

  private hold(
    placement: placement.Placement,
    now: clock.Milliseconds,
  ): attempts.ExecutionAttempt {
    const {identity} = placement.request;
    const entry = this.parts.table.get(identity);
    let attempt = this.attempts.get(identity);
    if (attempt === undefined) {
      const number = (entry?.attempts ?? 0) + 1;
      const whole = entry?.request ?? placement.request;
      attempt = new attempts.ExecutionAttempt(whole, number, now);
      this.attempts.set(identity, attempt);
      this.parts.table.change(identity, {attempts: number});
    }
    this.parts.runner.trackHeld(placement);
    const reading = placement.worker.clockReading;
    attempt.putTask({
      task: placement.task,
      worker: placement.worker.name,
      state: 'held',
      leaseBound:
        reading === undefined
          ? -Infinity
          : lease.recordedLeaseBound(reading, now),
      startSent: false,
      answer: '',
      detail: '',
    });
    return attempt;
  }

  private begin(
    attempt: attempts.ExecutionAttempt,
    now: clock.Milliseconds,
  ): ReadonlyArray<effects.Effect> {
    const {identity, client, workload} = attempt.request;
    const offered = this.parts.table.get(identity)?.offeredBy !== '';
    if (workload.idempotent && !offered) return this.startHeld(attempt, now);
    for (const held of attempt.tasks()) {
      if (held.state !== 'held') continue;
      const number = this.parts.journal.record({
        kind: 'starting',
        identity,
        client,
        task: held.task,
        taskCount: attempt.request.taskCount,
        attempt: attempt.attemptNumber,
        worker: held.worker,
        leaseBound: held.leaseBound,
      });
      attempt.addUnrecordedEntry(number);
      this.recording.set(number, attempt);
    }
    this.parts.table.change(identity, {recorded: true});
    this.show(attempt, 'recording', 'the start is being recorded');
    return [];
  }

  private recorded(
    number: number,
    now: clock.Milliseconds,
  ): ReadonlyArray<effects.Effect> {
    const attempt = this.recording.get(number);
    this.recording.delete(number);
    if (attempt === undefined || !attempt.markRecorded(number)) return [];
    const current = this.attempts.get(attempt.request.identity);
    return current === attempt ? this.startHeld(attempt, now) : [];
  }

  private startHeld(
    attempt: attempts.ExecutionAttempt,
    now: clock.Milliseconds,
  ): ReadonlyArray<effects.Effect> {
    const held = attempt.tasks().filter(task => task.state === 'held');
    const {runner, directory, table} = this.parts;
    const home = table.get(attempt.request.identity)?.offeredBy ?? '';
    // A successor of the home may have told its client "not run" already. The
    // permit below proves that this process knows of such a successor.
    if (home !== '' && !directory.isMember(home)) {
      return this.giveBack(attempt, 'the home of the request has ended', now);
    }
    if (!held.every(task => runner.mayPlace(task.worker, now))) {
      return this.giveBack(attempt, 'the permit ended before the start', now);
    }
    const done: effects.Effect[] = [];
    for (const task of held) {
      attempt.updateTask(task.task, {state: 'starting', startSent: true});
    }
    this.show(attempt, 'starting', 'the start is on its way');
    for (const task of held) {
      const turn = runner.start(task.task, task.leaseBound, now);
      done.push(...this.take(turn, now));
    }
    return done;
  }

  /** Releases an attempt of which nothing was sent, and queues it again. */
  private giveBack(
    attempt: attempts.ExecutionAttempt,
    reason: string,
    now: clock.Milliseconds,
  ): ReadonlyArray<effects.Effect> {
    const {identity} = attempt.request;
    const held = attempt.tasks().filter(task => task.state === 'held');
    this.abandon(attempt);
    if (this.parts.table.get(identity)?.offeredBy !== '') {
      const ending = {
        result: 'noAuthority',
        detail: reason,
        answer: '',
      } as const;
      return this.end(identity, ending, now);
    }
    if (held.length < attempt.tasks().length) {
      for (const task of held) attempt.removeTask(task.task);
      this.requeueTasks(attempt, held.length);
      return [effects.count('placed_again', {reason: 'nothingSent'})];
    }
    this.attempts.delete(identity);
    this.parts.queue.requeue(attempt.request);
    this.parts.table.change(identity, {
      state: 'queued',
      worker: '',
      tasks: [],
      reason,
    });
    return [effects.count('placed_again', {reason: 'nothingSent'})];
  }

  private abandon(attempt: attempts.ExecutionAttempt): void {
    for (const task of attempt.tasks()) this.parts.runner.dropHeld(task.task);
    for (const [number, waiting] of this.recording) {
      if (waiting === attempt) this.recording.delete(number);
    }
  }

  private checkRecording(
    now: clock.Milliseconds,
  ): ReadonlyArray<effects.Effect> {
    const done: effects.Effect[] = [];
    for (const attempt of new Set(this.recording.values())) {
      done.push(...this.checkRecord(attempt, now));
    }
    return done;
  }

  private checkRecord(
    attempt: attempts.ExecutionAttempt,
    now: clock.Milliseconds,
  ): ReadonlyArray<effects.Effect> {
    const {identity, startBy} = attempt.request;
    const {journal} = this.parts;
    const tooLate = now >= attempt.createdAt + RECORD_LIMIT_MS;
    if (startBy <= now) {
      this.abandon(attempt);
      const detail = 'the start could not be recorded in time';
      const ending = {result: 'deadlinePassed', detail, answer: ''} as const;
      return this.end(identity, ending, now);
    }
    if (!journal.available() || (tooLate && journal.inOutage())) {
      this.abandon(attempt);
      const detail = 'neither the log nor the witnesses acknowledged the start';
      const ending = {result: 'logUnavailable', detail, answer: ''} as const;
      return this.end(identity, ending, now);
    }
    if (!tooLate) return [];
    return this.giveBack(attempt, 'the log is slow to record the start', now);
  }

  private take(
    turn: taskRunner.RunnerOutput,
    now: clock.Milliseconds,
  ): ReadonlyArray<effects.Effect> {
    const done = [...turn.effects];
    for (const outcome of turn.outcomes) {
      done.push(...this.takeOutcome(outcome, now));
    }
    return done;
  }

  private takeOutcome(
    outcome: trackedTask.TaskOutcome,
    now: clock.Milliseconds,
  ): ReadonlyArray<effects.Effect> {
    this.parts.queue.observe(outcome, now);
    const attempt = this.attempts.get(outcome.reference.label.identity);
    if (attempt === undefined || !changeTask(attempt, outcome)) {
      this.orphans.push(outcome);
      return [];
    }
    switch (outcome.kind) {
      case 'started':
        return this.started(attempt, now);
      case 'unknown':
        this.show(attempt, 'unknown', 'an answer of the worker is missing');
        return [];
      case 'notRun':
      case 'ended':
        return this.taskOver(attempt, outcome.reference.task, now);
      case 'adopted':
        return [];
    }
  }

  private started(
    attempt: attempts.ExecutionAttempt,
    now: clock.Milliseconds,
  ): ReadonlyArray<effects.Effect> {
    const {identity, team, arrivedAt} = attempt.request;
    const running = attempt.tasks().every(task => task.state === 'running');
    this.show(attempt, running ? 'running' : 'starting', 'its tasks run');
    if (this.parts.table.get(identity)?.cancelled === true) {
      return this.stopTasks(attempt, now);
    }
    if (!running || !attempt.markRunning()) return [];
    const milliseconds = now - arrivedAt;
    return [{kind: 'observe', metric: 'wait', labels: {team}, milliseconds}];
  }

  private taskOver(
    attempt: attempts.ExecutionAttempt,
    name: string,
    now: clock.Milliseconds,
  ): ReadonlyArray<effects.Effect> {
    const entry = this.parts.table.get(attempt.request.identity);
    const over = attempt.tasks().find(task => task.task === name);
    const early = over?.end !== 'finished';
    if (attempt.isSettled) return this.conclude(attempt, now);
    this.show(attempt, entry?.state ?? 'running', `task ${name} is over`);
    if (!early || entry?.cancelled === true) return [];
    if (attempt.request.workload.kind === 'service') {
      return this.replace(attempt, name, now);
    }
    return this.stopTasks(attempt, now);
  }

  /** Replaces one task of a service while the others go on. */
  private replace(
    attempt: attempts.ExecutionAttempt,
    name: string,
    now: clock.Milliseconds,
  ): ReadonlyArray<effects.Effect> {
    if (!attempt.request.workload.idempotent) return [];
    if (!this.parts.retries.take(now)) {
      this.postponed.push({attempt, task: name});
      return [];
    }
    attempt.removeTask(name);
    this.requeueTasks(attempt, 1);
    return [effects.count('retry', {reason: 'replica'})];
  }

  private requeueTasks(
    attempt: attempts.ExecutionAttempt,
    taskCount: number,
  ): void {
    const whole = attempt.request;
    this.parts.queue.requeue({...whole, taskCount, startBy: Infinity});
  }

  /** Tries the replacements again for which the retry budget was spent. */
  private replacePostponed(
    now: clock.Milliseconds,
  ): ReadonlyArray<effects.Effect> {
    const waiting = this.postponed;
    this.postponed = [];
    return waiting.flatMap(({attempt, task}) => {
      const current = this.attempts.get(attempt.request.identity);
      return current === attempt ? this.replace(attempt, task, now) : [];
    });
  }

  private stopTasks(
    attempt: attempts.ExecutionAttempt,
    now: clock.Milliseconds,
  ): ReadonlyArray<effects.Effect> {
    const done: effects.Effect[] = [];
    for (const task of attempt.tasks()) {
      if (task.state === 'ended' || task.state === 'notRun') continue;
      done.push(...this.take(this.parts.runner.stop(task.task), now));
    }
    return done;
  }

  private conclude(
    attempt: attempts.ExecutionAttempt,
    now: clock.Milliseconds,
  ): ReadonlyArray<effects.Effect> {
    const {request: concerned} = attempt;
    const {identity, workload} = concerned;
    const entry = this.parts.table.get(identity);
    const cancelled = entry?.cancelled === true;
    const conclusion = attempts.determineOutcome(
      attempt.tasks(),
      workload.idempotent,
      cancelled,
    );
    this.show(attempt, 'running', 'its tasks are over');
    if (conclusion.kind === 'ended') {
      return this.end(identity, conclusion.ending, now);
    }
    if (!this.mayPlaceAgain(attempt, conclusion, entry, now)) {
      return this.end(identity, conclusion.finalEnding, now);
    }
    const {reason} = conclusion;
    const hasRun =
      entry?.hasRun === true ||
      attempt.tasks().some(task => task.state === 'ended');
    this.attempts.delete(identity);
    // The deadline concerns the first start.
    const startBy = hasRun ? Infinity : concerned.startBy;
    this.parts.queue.requeue({...concerned, startBy});
    this.parts.table.change(identity, {
      hasRun,
      state: 'queued',
      worker: '',
      tasks: [],
      reason: `placed again: ${reason}`,
    });
    return [
      effects.count(conclusion.consumesRetry ? 'retry' : 'placed_again', {
        reason,
      }),
    ];
  }

  private mayPlaceAgain(
    attempt: attempts.ExecutionAttempt,
    conclusion: Extract<attempts.AttemptOutcome, {kind: 'again'}>,
    entry: requestTable.RequestEntry | undefined,
    now: clock.Milliseconds,
  ): boolean {
    // Only the home places a request again.
    if (entry === undefined || entry.offeredBy !== '') return false;
    if (!conclusion.consumesRetry) return true;
    const failed = attempt.tasks().some(task => task.end === 'failed');
    const limited = attempt.request.workload.kind !== 'service';
    if (failed && limited && attempt.attemptNumber >= ATTEMPT_LIMIT) {
      return false;
    }
    return this.parts.retries.take(now);
  }

  private show(
    attempt: attempts.ExecutionAttempt,
    state: requestTable.RequestState,
    reason: string,
  ): void {
    const tasks = attempt.tasks();
    this.parts.table.change(attempt.request.identity, {
      state,
      worker: tasks[0]?.worker ?? '',
      reason,
      tasks: tasks.map(task => ({
        task: task.task,
        worker: task.worker,
        state: task.end ?? task.state,
      })),
    });
  }
}

/** A request of which an earlier attempt ran never counts as not run. */
function truthful(
  ending: requestTable.Ending,
  entry: requestTable.RequestEntry,
): requestTable.Ending {
  const {execution} = results.RESULT_CODES[ending.result];
  if (!entry.hasRun || execution !== 'notRun') return ending;
  const detail = `an earlier attempt ran; ${ending.result} ${ending.detail}`;
  return {result: 'taskStopped', detail, answer: ''};
}

function changeTask(
  attempt: attempts.ExecutionAttempt,
  outcome: trackedTask.TaskOutcome,
): boolean {
  const name = outcome.reference.task;
  switch (outcome.kind) {
    case 'started':
      return attempt.updateTask(name, {state: 'running'});
    case 'unknown':
      return attempt.updateTask(name, {state: 'unknown'});
    case 'notRun':
      return attempt.updateTask(name, {
        state: 'notRun',
        detail: outcome.detail,
        startSent: outcome.sent,
      });
    case 'ended': {
      const {end, answer} = outcome;
      return attempt.updateTask(name, {state: 'ended', end, answer});
    }
    case 'adopted':
      return true;
  }
}
