import * as attempts from './execution_attempt.js';
import * as effect from './effect.js';
import * as lease from './lease.js';
import * as result from '../result.js';
import type * as clock from '../machines/clock.js';
import type * as event from './event.js';
import type * as requestJournal from './request_journal.js';
import type * as processDirectory from './process_directory.js';
import type * as request from './request.js';
import type * as requestTable from './request_table.js';
import type * as placement from './placement.js';
import type * as taskRunner from '../machines/task_runner.js';
import type * as trackedTask from '../machines/tracked_task.js';

/**
 * Time for the journal to acknowledge a start, so that the lease of the start
 * still ends within `RECORDED_LEASE_MS`.
 */
const RECORD_TIMEOUT_MS = lease.RECORDED_LEASE_MS - lease.START_LEASE_MS;

/** Maximum number of placements of a request whose tasks keep failing. */
const MAXIMUM_ATTEMPTS = 3;

/** Limits retries; all requests of a process share one budget. */
export interface RetryLimiter {
  /** Takes one retry from the budget; returns false if it is spent. */
  trySpend(now: clock.Milliseconds): boolean;
  /** Adds the share of a retry that a successful request earns. */
  recordSuccess(now: clock.Milliseconds): void;
}

/** Queue from which the scheduler places requests. */
export interface PlacementQueue {
  place(now: clock.Milliseconds): ReadonlyArray<placement.Placement>;
  requeue(returned: request.Request): void;
  remove(identity: string): boolean;
  /** Updates the scheduler with the outcome of a task. */
  observe(outcome: trackedTask.TaskOutcome, now: clock.Milliseconds): void;
}

/** A lost task of a service that has to be replaced. */
interface LostReplica {
  readonly attempt: attempts.ExecutionAttempt;
  readonly task: string;
}

/** Effects of one event and the journal entries that it acknowledged. */
export interface LifecycleOutput {
  readonly effects: ReadonlyArray<effect.Effect>;
  /** Numbers of the journal entries that became durable with this event. */
  readonly recorded: ReadonlyArray<number>;
}

/** Dependencies of a `RequestLifecycle`. */
export interface RequestLifecycleDependencies {
  readonly table: requestTable.RequestTable;
  readonly queue: PlacementQueue;
  readonly runner: taskRunner.TaskRunner;
  readonly journal: requestJournal.RequestJournal;
  readonly retries: RetryLimiter;
  readonly directory: processDirectory.ProcessDirectory;
}

/**
 * Records, starts and ends placed requests. If a request needs a record, no
 * start is sent before the record is acknowledged. No request is placed again
 * before every earlier task is proved to have stopped or never to have run.
 */
export class RequestLifecycle {
  private readonly attempts = new Map<string, attempts.ExecutionAttempt>();
  /** Attempts that wait for the journal, by the number of the entry. */
  private readonly unrecorded = new Map<number, attempts.ExecutionAttempt>();
  /** Lost tasks of services whose replacement waits for the retry budget. */
  private postponed: LostReplica[] = [];
  private unmatchedOutcomes: trackedTask.TaskOutcome[] = [];

  constructor(private readonly parts: RequestLifecycleDependencies) {}

  /** Places waiting requests and records or starts them. */
  placeWaiting(now: clock.Milliseconds): ReadonlyArray<effect.Effect> {
    const placedAttempts = new Set<attempts.ExecutionAttempt>();
    for (const placement of this.parts.queue.place(now)) {
      placedAttempts.add(this.addHeldTask(placement, now));
    }
    const effects = [...placedAttempts].flatMap(attempt =>
      this.recordOrStart(attempt, now),
    );
    return [...effects, ...this.parts.journal.flush(now)];
  }

  /** Passes an event to the journal and the runner and applies their output. */
  handle(handled: event.Event, now: clock.Milliseconds): LifecycleOutput {
    const output = this.parts.journal.handle(handled, now);
    const effects = [...output.effects];
    for (const number of output.recorded) {
      effects.push(...this.handleRecorded(number, now));
    }
    effects.push(
      ...this.applyOutput(this.parts.runner.handle(handled, now), now),
    );
    if (handled.kind === 'timePassed') {
      effects.push(
        ...this.checkRecordTimeouts(now),
        ...this.replacePostponed(now),
      );
    }
    return {effects, recorded: output.recorded};
  }

  /** Returns and clears the outcomes of tasks whose request is unknown here. */
  takeUnmatchedOutcomes(): ReadonlyArray<trackedTask.TaskOutcome> {
    const taken = this.unmatchedOutcomes;
    this.unmatchedOutcomes = [];
    return taken;
  }

  /** Ends a request; records the end if the request has a journal entry. */
  end(
    identity: string,
    outcome: requestTable.RequestOutcome,
    now: clock.Milliseconds,
  ): ReadonlyArray<effect.Effect> {
    const entry = this.parts.table.get(identity);
    if (entry === undefined) return [];
    const adjusted = withoutFalseNotRun(outcome, entry);
    this.attempts.delete(identity);
    if (adjusted.result === 'ok') this.parts.retries.recordSuccess(now);
    if (entry.hasJournalEntry && entry.outcome === undefined) {
      this.parts.journal.record({
        kind: 'finished',
        identity,
        client: entry.request.client,
        ...adjusted,
        answerKept: true,
      });
    }
    return [
      effect.count('ended', {result: adjusted.result}),
      ...this.parts.table.end(identity, adjusted, now),
      ...this.parts.journal.flush(now),
    ];
  }

  /**
   * Cancels a request. It ends at once if no start was sent. Otherwise its
   * tasks are stopped, and their ends show whether the request ran.
   */
  cancel(
    identity: string,
    now: clock.Milliseconds,
  ): ReadonlyArray<effect.Effect> {
    this.parts.table.change(identity, {cancelled: true, reason: 'cancelled'});
    const cancelled = {result: 'cancelled', detail: '', answer: ''} as const;
    const queued = this.parts.queue.remove(identity);
    const attempt = this.attempts.get(identity);
    if (attempt === undefined) {
      return queued ? this.end(identity, cancelled, now) : [];
    }
    if (attempt.isRecording) {
      this.dropHeldTasks(attempt);
      return this.end(identity, cancelled, now);
    }
    return this.stopTasks(attempt, now);
  }

  /** Returns the time at which the next `timePassed` event is needed. */
  nextDeadline(): clock.Milliseconds {
    const oldest = this.unrecorded.values().next();
    if (oldest.done === true) return Infinity;
    const {createdAt, request: admitted} = oldest.value;
    return Math.min(createdAt + RECORD_TIMEOUT_MS, admitted.startBy);
  }

  private addHeldTask(
    placement: placement.Placement,
    now: clock.Milliseconds,
  ): attempts.ExecutionAttempt {
    const {identity} = placement.request;
    const entry = this.parts.table.get(identity);
    let attempt = this.attempts.get(identity);
    if (attempt === undefined) {
      const number = (entry?.attempts ?? 0) + 1;
      const admitted = entry?.request ?? placement.request;
      attempt = new attempts.ExecutionAttempt(admitted, number, now);
      this.attempts.set(identity, attempt);
      this.parts.table.change(identity, {attempts: number});
    }
    this.parts.runner.trackReserved(placement);
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

  private recordOrStart(
    attempt: attempts.ExecutionAttempt,
    now: clock.Milliseconds,
  ): ReadonlyArray<effect.Effect> {
    const {identity, client, workload} = attempt.request;
    const isOffered = this.parts.table.get(identity)?.offeredBy !== '';
    if (workload.idempotent && !isOffered) return this.startTasks(attempt, now);
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
      this.unrecorded.set(number, attempt);
    }
    this.parts.table.change(identity, {hasJournalEntry: true});
    this.setState(attempt, 'recording', 'the start is being recorded');
    return [];
  }

  private handleRecorded(
    number: number,
    now: clock.Milliseconds,
  ): ReadonlyArray<effect.Effect> {
    const attempt = this.unrecorded.get(number);
    this.unrecorded.delete(number);
    if (attempt === undefined || !attempt.markRecorded(number)) return [];
    const current = this.attempts.get(attempt.request.identity);
    return current === attempt ? this.startTasks(attempt, now) : [];
  }

  private startTasks(
    attempt: attempts.ExecutionAttempt,
    now: clock.Milliseconds,
  ): ReadonlyArray<effect.Effect> {
    const held = attempt.tasks().filter(task => task.state === 'held');
    const {runner, directory, table} = this.parts;
    const home = table.get(attempt.request.identity)?.offeredBy ?? '';
    // A successor of the home may already have told the client "not run". With
    // a valid permit (checked below) this process knows of any such successor.
    if (home !== '' && !directory.isMember(home)) {
      return this.requeue(attempt, 'the home of the request has ended', now);
    }
    if (!held.every(task => runner.mayPlace(task.worker, now))) {
      return this.requeue(attempt, 'the permit ended before the start', now);
    }
    const effects: effect.Effect[] = [];
    for (const task of held) {
      attempt.updateTask(task.task, {state: 'starting', startSent: true});
    }
    this.setState(attempt, 'starting', 'the start has been sent');
    for (const task of held) {
      const output = runner.start(task.task, task.leaseBound, now);
      effects.push(...this.applyOutput(output, now));
    }
    return effects;
  }

  /** Drops held tasks, whose starts were not sent, and queues them again. */
  private requeue(
    attempt: attempts.ExecutionAttempt,
    reason: string,
    now: clock.Milliseconds,
  ): ReadonlyArray<effect.Effect> {
    const {identity} = attempt.request;
    const held = attempt.tasks().filter(task => task.state === 'held');
    this.dropHeldTasks(attempt);
    if (this.parts.table.get(identity)?.offeredBy !== '') {
      const outcome = {
        result: 'noAuthority',
        detail: reason,
        answer: '',
      } as const;
      return this.end(identity, outcome, now);
    }
    if (held.length < attempt.tasks().length) {
      for (const task of held) attempt.removeTask(task.task);
      this.requeueTasks(attempt, held.length);
      return [effect.count('placed_again', {reason: 'nothingSent'})];
    }
    this.attempts.delete(identity);
    this.parts.queue.requeue(attempt.request);
    this.parts.table.change(identity, {
      state: 'queued',
      worker: '',
      tasks: [],
      reason,
    });
    return [effect.count('placed_again', {reason: 'nothingSent'})];
  }

  private dropHeldTasks(attempt: attempts.ExecutionAttempt): void {
    for (const task of attempt.tasks()) this.parts.runner.untrack(task.task);
    for (const [number, waiting] of this.unrecorded) {
      if (waiting === attempt) this.unrecorded.delete(number);
    }
  }

  private checkRecordTimeouts(
    now: clock.Milliseconds,
  ): ReadonlyArray<effect.Effect> {
    const effects: effect.Effect[] = [];
    for (const attempt of new Set(this.unrecorded.values())) {
      effects.push(...this.checkRecordTimeout(attempt, now));
    }
    return effects;
  }

  private checkRecordTimeout(
    attempt: attempts.ExecutionAttempt,
    now: clock.Milliseconds,
  ): ReadonlyArray<effect.Effect> {
    const {identity, startBy} = attempt.request;
    const {journal} = this.parts;
    const isTimedOut = now >= attempt.createdAt + RECORD_TIMEOUT_MS;
    if (startBy <= now) {
      this.dropHeldTasks(attempt);
      const detail = 'the start deadline passed before the start was recorded';
      const outcome = {result: 'deadlinePassed', detail, answer: ''} as const;
      return this.end(identity, outcome, now);
    }
    if (!journal.isAvailable() || (isTimedOut && journal.isLogOutage())) {
      this.dropHeldTasks(attempt);
      const detail = 'neither the log nor the witnesses acknowledged the start';
      const outcome = {result: 'logUnavailable', detail, answer: ''} as const;
      return this.end(identity, outcome, now);
    }
    if (!isTimedOut) return [];
    return this.requeue(attempt, 'the log did not record the start', now);
  }

  private applyOutput(
    output: taskRunner.RunnerOutput,
    now: clock.Milliseconds,
  ): ReadonlyArray<effect.Effect> {
    const effects = [...output.effects];
    for (const outcome of output.outcomes) {
      effects.push(...this.handleTaskOutcome(outcome, now));
    }
    return effects;
  }

  private handleTaskOutcome(
    outcome: trackedTask.TaskOutcome,
    now: clock.Milliseconds,
  ): ReadonlyArray<effect.Effect> {
    this.parts.queue.observe(outcome, now);
    const attempt = this.attempts.get(outcome.reference.label.identity);
    if (attempt === undefined || !applyTaskOutcome(attempt, outcome)) {
      this.unmatchedOutcomes.push(outcome);
      return [];
    }
    switch (outcome.kind) {
      case 'started':
        return this.handleStarted(attempt, now);
      case 'unknown':
        this.setState(attempt, 'unknown', 'a worker has not answered');
        return [];
      case 'notRun':
      case 'ended':
        return this.handleTaskEnd(attempt, outcome.reference.task, now);
      case 'adopted':
        return [];
    }
  }

  private handleStarted(
    attempt: attempts.ExecutionAttempt,
    now: clock.Milliseconds,
  ): ReadonlyArray<effect.Effect> {
    const {identity, team, arrivedAt} = attempt.request;
    const allRunning = attempt.tasks().every(task => task.state === 'running');
    this.setState(
      attempt,
      allRunning ? 'running' : 'starting',
      'its tasks are running',
    );
    if (this.parts.table.get(identity)?.cancelled === true) {
      return this.stopTasks(attempt, now);
    }
    if (!allRunning || !attempt.markRunning()) return [];
    const milliseconds = now - arrivedAt;
    return [{kind: 'observe', metric: 'wait', labels: {team}, milliseconds}];
  }

  private handleTaskEnd(
    attempt: attempts.ExecutionAttempt,
    name: string,
    now: clock.Milliseconds,
  ): ReadonlyArray<effect.Effect> {
    const entry = this.parts.table.get(attempt.request.identity);
    const endedTask = attempt.tasks().find(task => task.task === name);
    const isUnfinished = endedTask?.end !== 'finished';
    if (attempt.isSettled) return this.handleAttemptEnd(attempt, now);
    this.setState(attempt, entry?.state ?? 'running', `task ${name} has ended`);
    if (!isUnfinished || entry?.cancelled === true) return [];
    if (attempt.request.workload.kind === 'service') {
      return this.replaceTask(attempt, name, now);
    }
    return this.stopTasks(attempt, now);
  }

  /** Replaces one task of a service while its other tasks keep running. */
  private replaceTask(
    attempt: attempts.ExecutionAttempt,
    name: string,
    now: clock.Milliseconds,
  ): ReadonlyArray<effect.Effect> {
    if (!attempt.request.workload.idempotent) return [];
    if (!this.parts.retries.trySpend(now)) {
      this.postponed.push({attempt, task: name});
      return [];
    }
    attempt.removeTask(name);
    this.requeueTasks(attempt, 1);
    return [effect.count('retry', {reason: 'replica'})];
  }

  private requeueTasks(
    attempt: attempts.ExecutionAttempt,
    taskCount: number,
  ): void {
    const admitted = attempt.request;
    this.parts.queue.requeue({...admitted, taskCount, startBy: Infinity});
  }

  /** Retries the replacements that the retry budget did not allow before. */
  private replacePostponed(
    now: clock.Milliseconds,
  ): ReadonlyArray<effect.Effect> {
    const postponed = this.postponed;
    this.postponed = [];
    return postponed.flatMap(({attempt, task}) => {
      const current = this.attempts.get(attempt.request.identity);
      return current === attempt ? this.replaceTask(attempt, task, now) : [];
    });
  }

  private stopTasks(
    attempt: attempts.ExecutionAttempt,
    now: clock.Milliseconds,
  ): ReadonlyArray<effect.Effect> {
    const effects: effect.Effect[] = [];
    for (const task of attempt.tasks()) {
      if (task.state === 'ended' || task.state === 'notRun') continue;
      effects.push(...this.applyOutput(this.parts.runner.stop(task.task), now));
    }
    return effects;
  }

  private handleAttemptEnd(
    attempt: attempts.ExecutionAttempt,
    now: clock.Milliseconds,
  ): ReadonlyArray<effect.Effect> {
    const {request: admitted} = attempt;
    const {identity, workload} = admitted;
    const entry = this.parts.table.get(identity);
    const cancelled = entry?.cancelled === true;
    const outcome = attempts.determineOutcome(
      attempt.tasks(),
      workload.idempotent,
      cancelled,
    );
    this.setState(attempt, 'running', 'all its tasks have ended');
    if (outcome.kind === 'ended') {
      return this.end(identity, outcome.requestOutcome, now);
    }
    if (!this.mayRetry(attempt, outcome, entry, now)) {
      return this.end(identity, outcome.finalOutcome, now);
    }
    const {reason} = outcome;
    const hasRun =
      entry?.hasRun === true ||
      attempt.tasks().some(task => task.state === 'ended');
    this.attempts.delete(identity);
    // The start deadline applies to the first start only.
    const startBy = hasRun ? Infinity : admitted.startBy;
    this.parts.queue.requeue({...admitted, startBy});
    this.parts.table.change(identity, {
      hasRun,
      state: 'queued',
      worker: '',
      tasks: [],
      reason: `placed again: ${reason}`,
    });
    return [
      effect.count(outcome.consumesRetry ? 'retry' : 'placed_again', {
        reason,
      }),
    ];
  }

  private mayRetry(
    attempt: attempts.ExecutionAttempt,
    outcome: Extract<attempts.AttemptOutcome, {kind: 'retry'}>,
    entry: requestTable.RequestEntry | undefined,
    now: clock.Milliseconds,
  ): boolean {
    // Only the home of a request may place it again.
    if (entry === undefined || entry.offeredBy !== '') return false;
    if (!outcome.consumesRetry) return true;
    const hasFailed = attempt.tasks().some(task => task.end === 'failed');
    const isLimited = attempt.request.workload.kind !== 'service';
    if (hasFailed && isLimited && attempt.attemptNumber >= MAXIMUM_ATTEMPTS) {
      return false;
    }
    return this.parts.retries.trySpend(now);
  }

  private setState(
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

/** Replaces a "not run" outcome if an earlier attempt of the request ran. */
function withoutFalseNotRun(
  outcome: requestTable.RequestOutcome,
  entry: requestTable.RequestEntry,
): requestTable.RequestOutcome {
  const {execution} = result.RESULT_CODES[outcome.result];
  if (!entry.hasRun || execution !== 'notRun') return outcome;
  const detail = `an earlier attempt ran; ${outcome.result} ${outcome.detail}`;
  return {result: 'taskStopped', detail, answer: ''};
}

function applyTaskOutcome(
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
