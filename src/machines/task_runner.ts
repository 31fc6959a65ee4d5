import * as clocks from './clock.js';
import * as effect from '../contracts/effect.js';
import * as invariant from '../contracts/invariant.js';
import * as lease from '../contracts/lease.js';
import * as leaseRenewer from './lease_renewer.js';
import * as reportFinding from './report_finding.js';
import * as reportSchedule from './report_schedule.js';
import * as reservationCheck from './reservation_check.js';
import * as startLedger from './start_ledger.js';
import * as taskSet from './task_set.js';
import * as trackedTask from './tracked_task.js';
import type * as clock from './clock.js';
import type * as event from '../contracts/event.js';
import type * as fleet from './fleet.js';
import type * as placement from '../contracts/placement.js';
import type * as task from '../contracts/task.js';
import type * as worker from './worker.js';

/** Time since the last report after which a worker counts as silent. */
const WORKER_SILENCE_MS = 3_000;

/** Delay before the fetch of an ended task's answer is sent again. */
const ANSWER_FETCH_RETRY_MS = 2_000;

/** Retention of end times, so that older reports do not cause adoptions. */
const END_TIME_RETENTION_MS = 30_000;

/** Source of the permits under which this process may place on workers. */
export interface PermitSource {
  permitEnd(worker: string): clock.Milliseconds;
  owns(worker: string): boolean;
}

/** Task outcomes and effects that result from one event. */
export interface RunnerOutput {
  readonly outcomes: ReadonlyArray<trackedTask.TaskOutcome>;
  readonly effects: ReadonlyArray<effect.Effect>;
}

type EventOf<Kind extends event.Event['kind']> = Extract<
  event.Event,
  {readonly kind: Kind}
>;

/**
 * Starts placed tasks, renews their leases and determines how they end. The
 * reservation of a task is released only when it is proved that the task no
 * longer runs.
 */
export class TaskRunner {
  private readonly tasks = new taskSet.TaskSet();
  private readonly ledger = new startLedger.StartLedger();
  private readonly reports = new reportSchedule.ReportSchedule();
  private readonly renewer = new leaseRenewer.LeaseRenewer(this.tasks);
  private readonly reservationCheck = new reservationCheck.ReservationCheck(
    this.tasks,
  );
  private readonly endTimes = new Map<string, clock.Milliseconds>();
  /** Owned workers whose tasks were adopted under the present permit. */
  private readonly adoptedFrom = new Set<string>();
  private nextDeadlineAt: clock.Milliseconds = 0;
  private outcomes: trackedTask.TaskOutcome[] = [];
  private effects: effect.Effect[] = [];

  constructor(
    private readonly workers: fleet.Fleet,
    private readonly permits: PermitSource,
  ) {}

  /**
   * Returns whether this process may place on a worker: it holds a permit and a
   * recent report, and has adopted the tasks that run there.
   */
  mayPlace(name: string, now: clock.Milliseconds): boolean {
    const known = this.adoptedFrom.has(name) && this.reports.isFresh(name, now);
    return known && this.permits.permitEnd(name) > now;
  }

  /** Returns whether the task is tracked. */
  isTracked(name: string): boolean {
    return this.tasks.get(name) !== undefined;
  }

  /** Tracks a task with reserved capacity whose start is not yet sent. */
  trackReserved(placement: placement.Placement): void {
    this.tasks.put(trackedTask.reservedTask(placement));
  }

  /**
   * Sends the start of a reserved task, unless the permit has ended. The start's
   * lease ends no later than `leaseBound`.
   */
  start(
    name: string,
    leaseBound: clock.Milliseconds,
    now: clock.Milliseconds,
  ): RunnerOutput {
    const known = this.tasks.get(name);
    if (known?.state === 'reserved') this.sendStart(known, leaseBound, now);
    return this.takeOutput();
  }

  /** Stops tracking a task; returns false when its start has been sent. */
  untrack(name: string): boolean {
    const known = this.tasks.get(name);
    if (known?.state !== 'reserved') return false;
    this.tasks.remove(known);
    return true;
  }

  /** Stops a task, now or as soon as it is known to run. */
  stop(name: string): RunnerOutput {
    const tracked = this.tasks.get(name);
    const canStop = tracked !== undefined && !tracked.stopping;
    if (canStop && tracked.state !== 'reserved') {
      this.tasks.put({...tracked, stopping: true});
      if (tracked.state === 'running') this.sendStop(tracked);
    }
    return this.takeOutput();
  }

  /** Removes the recorded starts of an identity that is no longer answered. */
  forget(identity: string): void {
    this.ledger.forget(identity);
  }

  /** Handles worker answers and passing time; ignores other events. */
  handle(handled: event.Event, now: clock.Milliseconds): RunnerOutput {
    switch (handled.kind) {
      case 'startAnswered':
        this.handleStartAnswer(handled, now);
        break;
      case 'reportArrived':
        this.handleReport(handled, now);
        break;
      case 'reportFailed':
        this.reports.recordFailure(handled.worker, now);
        this.wakeBy(this.reports.nextReadAt(handled.worker));
        break;
      case 'taskAnswerArrived':
        this.handleAnswer(handled, now);
        break;
      case 'taskAnswerLost':
        this.handleAnswerLost(handled, now);
        break;
      case 'timePassed':
        this.handleTimePassed(now);
        break;
    }
    return this.takeOutput();
  }

  /** Returns the time at which the next `timePassed` event is due. */
  nextDeadline(): clock.Milliseconds {
    return this.nextDeadlineAt;
  }

  private sendStart(
    known: trackedTask.TrackedTask,
    leaseBound: clock.Milliseconds,
    now: clock.Milliseconds,
  ): void {
    const {name, leaving, clockReading: reading} = known.worker;
    const permitEnd = this.permits.permitEnd(name);
    if (reading === undefined || leaving || !this.mayPlace(name, now)) {
      this.settleNotRun(known, 'worker leaving, report stale or permit ended');
      return;
    }
    const leaseEnd = Math.min(
      lease.startLeaseEnd(reading, permitEnd, now),
      leaseBound,
    );
    if (leaseEnd <= clocks.toWorkerClock(reading, now)) {
      this.settleNotRun(known, 'lease bound passed before the start was sent');
      return;
    }
    if (!this.allowStart(known, now)) return;
    this.tasks.put({...known, state: 'starting', leaseEnd});
    this.effects.push({
      kind: 'startTask',
      worker: known.worker.name,
      address: known.worker.description.address,
      start: {
        task: known.task,
        label: known.label,
        size: known.size,
        payload: known.payload,
        leaseEnd,
      },
    });
  }

  private allowStart(
    known: trackedTask.TrackedTask,
    now: clock.Milliseconds,
  ): boolean {
    const {identity, idempotent} = known.label;
    if (idempotent) return true;
    if (this.ledger.allowsStart(identity, known.taskCount)) {
      this.ledger.recordStart(identity, known.task);
      return true;
    }
    this.effects.push(
      ...invariant.violation('startedOnce', {identity, task: known.task}),
    );
    this.settleEnded(known, 'unresolved', '', now);
    return false;
  }

  private handleStartAnswer(
    answered: EventOf<'startAnswered'>,
    now: clock.Milliseconds,
  ): void {
    const known = this.tasks.get(answered.task);
    if (known?.state !== 'starting') return;
    if (known.worker.name !== answered.worker) {
      this.dropAnswer('startFromOtherWorker', answered.task);
    } else if (answered.answer === 'started') {
      this.markRunning(known, now);
    } else if (answered.answer === 'refused') {
      this.settleNotRun(known, answered.detail);
    } else {
      this.tasks.put({...known, state: 'unknown'});
      this.recordOutcome('unknown', known);
      this.reports.expedite(known.worker.name, now);
      this.wakeBy(now);
    }
  }

  private markRunning(
    known: trackedTask.TrackedTask,
    now: clock.Milliseconds,
  ): void {
    const running: trackedTask.TrackedTask = {
      ...known,
      state: 'running',
      startedAt: known.startedAt ?? now,
      missingReports: 0,
      unresolvedAt: Infinity,
    };
    this.tasks.put(running);
    if (known.state === 'unresolved') this.addReservation(running);
    this.recordOutcome('started', running);
    this.renewer.scheduleFirst(running, now);
    this.wakeBy(this.renewer.nextRenewalAt(running.worker.name));
    this.fetchAnswer(running, now);
    if (running.stopping) this.sendStop(running);
  }

  private addReservation(tracked: trackedTask.TrackedTask): void {
    const {task: name, label, size} = tracked;
    tracked.worker.adopt({task: name, label, size});
  }

  private settleNotRun(known: trackedTask.TrackedTask, detail: string): void {
    this.tasks.remove(known);
    this.ledger.removeStart(known.label.identity, known.task);
    this.outcomes.push({
      kind: 'notRun',
      reference: trackedTask.reference(known),
      detail,
      sent: known.state !== 'reserved',
    });
  }

  private handleAnswer(
    arrived: EventOf<'taskAnswerArrived'>,
    now: clock.Milliseconds,
  ): void {
    const known = this.tasks.get(arrived.task);
    if (known === undefined) {
      this.dropAnswer('unknownTask', arrived.task);
    } else if (known.worker.name !== arrived.worker) {
      this.dropAnswer('otherWorker', arrived.task);
    } else if (known.startedAt === undefined) {
      this.dropAnswer('notStarted', arrived.task);
    } else {
      this.settleEnded(known, arrived.state, arrived.answer, now);
    }
  }

  private handleAnswerLost(
    lost: EventOf<'taskAnswerLost'>,
    now: clock.Milliseconds,
  ): void {
    const known = this.tasks.get(lost.task);
    if (known === undefined || known.worker.name !== lost.worker) return;
    this.effects.push(effect.count('retry', {reason: 'answerLost'}));
    // The next report lists the state of the task and triggers a new fetch.
    this.tasks.put({...known, fetchedAt: -Infinity});
    this.reports.expedite(lost.worker, now);
    this.wakeBy(this.reports.nextReadAt(lost.worker));
  }

  private settleEnded(
    known: trackedTask.TrackedTask,
    end: trackedTask.TaskEndState,
    answer: string,
    now: clock.Milliseconds,
  ): void {
    this.tasks.remove(known);
    this.endTimes.set(known.task, now);
    const reference = trackedTask.reference(known);
    this.outcomes.push({kind: 'ended', reference, end, answer});
  }

  private handleReport(
    arrived: EventOf<'reportArrived'>,
    now: clock.Milliseconds,
  ): void {
    const {report, sentAt} = arrived;
    const target = this.workers.get(report.worker);
    if (target === undefined) return;
    if (!this.reports.recordReport(target.name, sentAt)) return;
    this.checkRestart(target, report);
    target.update(report, now);
    const listed = new Map(report.tasks.map(item => [item.task, item]));
    for (const known of this.tasks.onWorker(target.name)) {
      const current = this.rebindWorker(target, known);
      this.applyReport(current, listed.get(known.task), arrived, now);
    }
    this.adoptReportedTasks(target, arrived, now);
    this.effects.push(...this.reservationCheck.check(target));
    this.wakeBy(this.renewer.nextRenewalAt(target.name));
    this.wakeBy(this.reports.nextReadAt(target.name));
  }

  /**
   * Moves a task to the present object of its worker. The fleet creates a new
   * object when a worker leaves the VM list and returns.
   */
  private rebindWorker(
    target: worker.Worker,
    known: trackedTask.TrackedTask,
  ): trackedTask.TrackedTask {
    if (known.worker === target) return known;
    const moved = {...known, worker: target};
    this.tasks.put(moved);
    if (known.worker.reservations().has(known.task)) this.addReservation(moved);
    return moved;
  }

  private checkRestart(target: worker.Worker, report: task.WorkerReport): void {
    const before = target.clockReading;
    if (before === undefined || report.workerClock >= before.workerClock) {
      return;
    }
    this.effects.push(
      effect.log('warn', 'workerRestarted', {worker: target.name}),
    );
    for (const known of this.tasks.onWorker(target.name)) {
      // Lease ends refer to the clock before the restart, so they cannot be
      // compared with later reports.
      this.tasks.put({...known, leaseEndValid: false});
    }
  }

  private applyReport(
    known: trackedTask.TrackedTask,
    listed: task.TaskReport | undefined,
    arrived: EventOf<'reportArrived'>,
    now: clock.Milliseconds,
  ): void {
    const {workerClock} = arrived.report;
    const finding = reportFinding.evaluateReport(
      known,
      listed,
      workerClock,
      arrived.sentAt,
    );
    switch (finding.kind) {
      case 'nothing':
        return;
      case 'running':
        if (listed !== undefined) {
          this.renewer.retryIfLost(known, listed.leaseEnd, arrived.sentAt, now);
          this.confirmRunning(known, listed.leaseEnd, now);
        }
        return;
      case 'fetchAnswer':
        this.fetchEndedAnswer(known, now);
        return;
      case 'ended':
        this.settleEnded(known, finding.end, '', now);
        return;
      case 'notRun':
        this.settleNotRun(known, 'start lease ended before the start arrived');
        return;
      case 'missing':
        this.tasks.put({...known, missingReports: known.missingReports + 1});
        return;
      case 'mismatch':
        this.dropAnswer('otherIdentity', known.task);
        return;
    }
  }

  private confirmRunning(
    known: trackedTask.TrackedTask,
    leaseEnd: clock.Milliseconds,
    now: clock.Milliseconds,
  ): void {
    const current: trackedTask.TrackedTask = {
      ...known,
      leaseEnd: Math.max(known.leaseEnd, leaseEnd),
      missingReports: 0,
    };
    this.tasks.put(current);
    if (known.state !== 'running') {
      this.markRunning(current, now);
      return;
    }
    if (known.fetchedAt === -Infinity) this.fetchAnswer(current, now);
    if (known.stopping) this.sendStop(current);
  }

  private fetchEndedAnswer(
    known: trackedTask.TrackedTask,
    now: clock.Milliseconds,
  ): void {
    const ended: trackedTask.TrackedTask = {
      ...known,
      state: 'fetchingAnswer',
      startedAt: known.startedAt ?? now,
    };
    this.tasks.put(ended);
    // An ended task needs no capacity, even while its answer is being fetched.
    known.worker.release(known.task);
    const first = known.state !== 'fetchingAnswer';
    if (first && known.fetchedAt !== -Infinity) return;
    if (now - known.fetchedAt < ANSWER_FETCH_RETRY_MS) return;
    this.fetchAnswer(ended, now);
  }

  private adoptReportedTasks(
    target: worker.Worker,
    arrived: EventOf<'reportArrived'>,
    now: clock.Milliseconds,
  ): void {
    if (this.permits.permitEnd(target.name) <= arrived.sentAt) return;
    if (!this.permits.owns(target.name)) return;
    for (const item of arrived.report.tasks) {
      if (item.state === 'running') this.adoptTask(target, item, arrived, now);
    }
    this.adoptedFrom.add(target.name);
  }

  private adoptTask(
    target: worker.Worker,
    item: task.TaskReport,
    arrived: EventOf<'reportArrived'>,
    now: clock.Milliseconds,
  ): void {
    if (this.tasks.get(item.task) !== undefined) return;
    // A report requested before the task ended may still list it.
    if ((this.endTimes.get(item.task) ?? -Infinity) >= arrived.sentAt) return;
    const adopted = trackedTask.adoptedTask(target, item, arrived.sentAt);
    this.tasks.put(adopted);
    this.addReservation(adopted);
    this.effects.push(effect.count('adopted', {team: item.label.team}));
    this.recordOutcome('adopted', adopted);
    this.renewer.scheduleFirst(adopted, now);
    this.wakeBy(this.renewer.nextRenewalAt(target.name));
    this.fetchAnswer(adopted, now);
  }

  private handleTimePassed(now: clock.Milliseconds): void {
    this.nextDeadlineAt = Infinity;
    for (const target of this.workers.all()) this.maintainWorker(target, now);
    for (const name of this.tasks.workerNames()) {
      if (this.workers.get(name) !== undefined) continue;
      // The worker is no longer in the VM list but still has tasks.
      this.maintainWorker(this.tasks.onWorker(name)[0].worker, now);
    }
    for (const [name, endedAt] of this.endTimes) {
      if (now - endedAt < END_TIME_RETENTION_MS) break;
      this.endTimes.delete(name);
    }
  }

  private maintainWorker(target: worker.Worker, now: clock.Milliseconds): void {
    const owned = this.permits.owns(target.name);
    if (!owned) this.adoptedFrom.delete(target.name);
    const tasks = this.tasks.onWorker(target.name);
    if (!owned && tasks.length === 0) return;
    const urgent = tasks.some(trackedTask.awaitsReport);
    if (this.reports.startReadIfDue(target.name, now, urgent)) {
      const address = target.description.address;
      this.effects.push({kind: 'readReport', worker: target.name, address});
    }
    const permitEnd = this.permits.permitEnd(target.name);
    for (const known of tasks) this.settleLapsed(known, permitEnd, now);
    this.effects.push(...this.renewer.renew(target, permitEnd, now));
    this.wakeBy(this.reports.nextReadAt(target.name));
    this.wakeBy(this.renewer.nextRenewalAt(target.name));
  }

  /**
   * Releases a task on a silent worker once its lease has certainly ended.
   * Without a permit nothing is released, because another owner may have
   * renewed the lease, unless the worker's VM no longer exists.
   */
  private settleLapsed(
    known: trackedTask.TrackedTask,
    permitEnd: clock.Milliseconds,
    now: clock.Milliseconds,
  ): void {
    const reading = known.worker.clockReading;
    if (known.state === 'reserved' || reading === undefined) return;
    const exists = this.workers.get(known.worker.name) !== undefined;
    if (known.state === 'unresolved') {
      this.settleUnresolved(known, exists, now);
      return;
    }
    if (now - reading.receivedAt < WORKER_SILENCE_MS) return;
    if (exists && permitEnd <= now) return;
    if (now < lease.latestLeaseEnd(reading, known.leaseEnd)) return;
    if (known.label.idempotent) {
      this.settleEnded(known, 'lapsed', '', now);
      return;
    }
    known.worker.release(known.task);
    this.tasks.put({...known, state: 'unresolved', unresolvedAt: now});
    this.recordOutcome('unknown', known);
  }

  /** Ends an unresolved task once no report can list it any more. */
  private settleUnresolved(
    known: trackedTask.TrackedTask,
    exists: boolean,
    now: clock.Milliseconds,
  ): void {
    const limit = known.unresolvedAt + lease.ENDED_TASK_RETENTION_MS;
    if (exists && now < limit) return;
    const started = known.startedAt !== undefined;
    this.settleEnded(known, started ? 'answerLost' : 'unresolved', '', now);
  }

  private fetchAnswer(
    tracked: trackedTask.TrackedTask,
    now: clock.Milliseconds,
  ): void {
    this.tasks.put({...tracked, fetchedAt: now});
    this.sendToWorker('fetchTaskAnswer', tracked);
  }

  private sendStop(tracked: trackedTask.TrackedTask): void {
    this.sendToWorker('stopTask', tracked);
  }

  private sendToWorker(
    kind: 'fetchTaskAnswer' | 'stopTask',
    tracked: trackedTask.TrackedTask,
  ): void {
    this.effects.push({
      kind,
      worker: tracked.worker.name,
      address: tracked.worker.description.address,
      task: tracked.task,
    });
  }

  private dropAnswer(reason: string, name: string): void {
    this.effects.push(
      effect.count('answer_dropped', {reason}),
      effect.log('warn', 'answerDropped', {reason, task: name}),
    );
  }

  private recordOutcome(
    kind: 'started' | 'adopted' | 'unknown',
    tracked: trackedTask.TrackedTask,
  ): void {
    this.outcomes.push({kind, reference: trackedTask.reference(tracked)});
  }

  private wakeBy(dueAt: clock.Milliseconds): void {
    this.nextDeadlineAt = Math.min(this.nextDeadlineAt, dueAt);
  }

  private takeOutput(): RunnerOutput {
    const turn = {outcomes: this.outcomes, effects: this.effects};
    this.outcomes = [];
    this.effects = [];
    return turn;
  }
}
