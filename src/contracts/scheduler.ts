import * as admission from './admission.js';
import * as batchPolicy from './batch_policy.js';
import * as earmark from './earmark.js';
import * as either from 'purify-ts/Either';
import * as fairShare from './fair_share.js';
import * as gangPolicy from './gang_policy.js';
import type * as overloadRelief from './overload_relief.js';
import * as placementPolicy from './placement_policy.js';
import * as queue from './queue.js';
import * as reclaimer from './reclaimer.js';
import * as resources from '../machines/resources.js';
import * as result from '../result.js';
import * as servicePolicy from './service_policy.js';
import * as taskObserver from './task_observer.js';
import * as usageEstimator from './usage_estimator.js';
import * as workerPool from './worker_pool.js';
import type * as clock from '../machines/clock.js';
import type * as configuration from './configuration.js';
import type * as fleet from '../machines/fleet.js';
import type * as request from './request.js';
import type * as task from './task.js';
import type * as team from './team.js';
import type * as trackedTask from '../machines/tracked_task.js';
import type * as worker from '../machines/worker.js';
import type * as workload from './workload.js';
import type * as placement from './placement.js';

/** Time after which requests that found no room are tried again. */
const RETRY_INTERVAL_MS = 100;

/** Requests of one lane that may have reclaimed room earmarked at once. */
const RECLAIM_DEPTH = 32;

/** Added to the level of a team that asks for more than its quota. */
const LOAN_PENALTY = 1_000_000;

/** Requests without room in one turn; more lanes wait for the next turn. */
const FAILURE_LIMIT = 16;

/** Failed sizes that a turn remembers; bounds the cost of comparing. */
const FAILED_SIZES = 8;

/** Source of the documents in force. */
export interface ConfigurationSource {
  current(): configuration.Configuration;
}

interface Contender {
  readonly queue: queue.TeamQueue;
  level: number;
  borrows: boolean;
}

interface Turn {
  readonly now: clock.Milliseconds;
  readonly stamp: number;
  readonly placements: placement.Placement[];
  /** Sizes without further constraints that found no room in this turn. */
  readonly failed: resources.Resources[];
  /** Lanes whose head may not hold room at present. */
  readonly closed: Set<queue.Lane>;
  failures: number;
}

type Outcome = 'placed' | 'noRoom' | 'notEntitled';

/** Requests that wait, and the choice of workers for them. */
export class Scheduler {
  private readonly queues = new Map<string, queue.TeamQueue>();
  private readonly estimator = new usageEstimator.UsageEstimator();
  private readonly observer: taskObserver.TaskObserver;
  private readonly shares: fairShare.FairShare;
  private readonly pool: workerPool.WorkerPool;
  private readonly reclaimer: reclaimer.Reclaimer;
  private readonly earmarks: earmark.EarmarkKeeper;
  private readonly policies: Readonly<
    Record<workload.WorkloadKind, placementPolicy.PlacementPolicy>
  > = {
    service: new servicePolicy.ServicePolicy(),
    batch: new batchPolicy.BatchPolicy(),
    gang: new gangPolicy.GangPolicy(),
  };
  private interventions: overloadRelief.Intervention[] = [];
  private attempt = 0;
  private retries = 0;
  private nextRetry = 0;
  /** Rises of the fleet's room version that this object itself caused. */
  private ownRises = 0;
  private placedAt = -1;
  private hasNews = false;
  private round = 0;

  constructor(
    private readonly workers: fleet.Fleet,
    permission: placement.PlacementPermission,
    private readonly documents: ConfigurationSource,
  ) {
    this.shares = new fairShare.FairShare(workers, {
      team: name => this.teamOf(name),
    });
    this.pool = new workerPool.WorkerPool(workers, permission);
    this.earmarks = new earmark.EarmarkKeeper({
      all: () => workers.all(),
      mayPlace: candidate => this.pool.mayPlace(candidate),
      isLasting: label => this.workloadOf(label)?.kind === 'service',
    });
    this.reclaimer = new reclaimer.Reclaimer(
      this.shares,
      this.earmarks,
      candidate => this.pool.mayPlace(candidate),
    );
    this.observer = new taskObserver.TaskObserver({
      workers,
      pool: this.pool,
      reclaimer: this.reclaimer,
      estimator: this.estimator,
      workloadOf: label => this.workloadOf(label),
    });
  }

  /** Learns what became of a task. */
  observe(outcome: trackedTask.TaskOutcome, now: clock.Milliseconds): void {
    this.observer.observe(outcome, now);
  }

  /** Learns from a worker's report. */
  observeReport(report: task.WorkerReport, now: clock.Milliseconds): void {
    this.interventions.push(...this.observer.observeReport(report, now));
  }

  /** Queues a request, or refuses it with the reason. */
  admit(
    admitted: request.Request,
    now: clock.Milliseconds,
  ): either.Either<result.Failure, null> {
    const described = this.teamOf(admitted.team);
    if (described === undefined) {
      return either.Left(
        result.failure(
          'unknownTeam',
          `team: ${admitted.team} is not configured`,
        ),
      );
    }
    const queued = this.queueOf(admitted.team);
    const fleetPlan = this.documents.current().fleet;
    const view = {team: described, queue: queued, fleet: fleetPlan};
    return admission.check(admitted, view, now).ifRight(() => {
      queued.push(admitted, now);
      this.shares.noteArrival(admitted.team, now);
      this.hasNews = true;
    });
  }

  /** Puts a request back whose start is proved not to have taken place. */
  requeue(returned: request.Request): void {
    this.queueOf(returned.team).putBack(returned);
    this.hasNews = true;
  }

  /** Takes a waiting request out; returns false when it does not wait. */
  remove(identity: string): boolean {
    for (const queued of this.queues.values()) {
      if (!queued.remove(identity)) continue;
      this.earmarks.drop(identity);
      return true;
    }
    return false;
  }

  /** Says why a waiting request waits. */
  explain(waiting: request.Request): string {
    const size = this.sizeOf(waiting);
    const runMs = this.expectedRunMs(waiting);
    if (this.earmarks.has(waiting.identity)) {
      return 'room is kept for it and becomes free as other tasks end';
    }
    if (!this.shares.mayHold(waiting, size, runMs)) {
      return `team ${waiting.team} holds its quota or all that may be lent`;
    }
    return `${this.waitingCount()} requests wait for room`;
  }

  /** Requests that wait. */
  waitingCount(): number {
    let waiting = 0;
    for (const queued of this.queues.values()) waiting += queued.size;
    return waiting;
  }

  /** Longest wait that new work of any team is expected to have. */
  expectedWaitMs(): clock.Milliseconds {
    let longest = 0;
    for (const queued of this.queues.values()) {
      longest = Math.max(longest, queued.drainMs());
    }
    return longest;
  }

  /** Takes out requests whose latest start has passed. */
  takeExpired(now: clock.Milliseconds): ReadonlyArray<request.Request> {
    const expired: request.Request[] = [];
    for (const queued of this.queues.values()) {
      expired.push(...queued.takeExpired(now));
    }
    for (const late of expired) this.earmarks.drop(late.identity);
    return expired;
  }

  /** When `place` or `takeExpired` is wanted next without other events. */
  nextDeadline(): clock.Milliseconds {
    const waits = this.waitingCount() > 0;
    const readmission = this.pool.nextDeadline();
    // Workers are readmitted only when the retry interval has passed.
    let due = Math.max(this.nextRetry, waits ? 0 : readmission);
    for (const queued of this.queues.values()) {
      due = Math.min(due, queued.nextDeadline());
    }
    return due;
  }

  /** Sets which fraction of the cell's capacity this process places on. */
  setCellFraction(fraction: number): void {
    this.shares.setCellFraction(fraction);
  }

  /** Reserves room for waiting requests, all tasks of a request or none. */
  place(now: clock.Milliseconds): ReadonlyArray<placement.Placement> {
    this.pool.setTime(now);
    this.refresh(now);
    if (!this.hasNews && this.placedAt === this.stamp()) return [];
    this.hasNews = false;
    const turn: Turn = {
      now,
      stamp: this.stamp(),
      placements: [],
      failed: [],
      closed: new Set(),
      failures: 0,
    };
    const before = this.workers.availabilityVersion;
    this.placeEarmarked(turn);
    this.placeInTurn(turn);
    // A cut turn goes on with the other lanes; failed ones wait for a round.
    if (turn.failures >= FAILURE_LIMIT) this.hasNews = true;
    else this.round += 1;
    this.ownRises += this.workers.availabilityVersion - before;
    this.placedAt = turn.stamp;
    return turn.placements;
  }

  /** Takes what is to be asked of running tasks. */
  takeInterventions(): ReadonlyArray<overloadRelief.Intervention> {
    const taken = this.interventions;
    this.interventions = [];
    return taken;
  }

  /** Takes the capacity violations noted since the last call. */
  takeViolations(): ReadonlyArray<worker.CapacityViolation> {
    return this.workers.takeViolations();
  }

  private refresh(now: clock.Milliseconds): void {
    const isDue = now >= this.nextRetry;
    if (!isDue && !this.workers.needsRefresh) return;
    this.nextRetry = now + RETRY_INTERVAL_MS;
    this.retries += 1;
    this.pool.refresh(now);
    this.shares.refresh(now);
    this.earmarks.expire(now);
    this.interventions.push(...this.reclaimer.refillReserve());
  }

  /** Changes whenever requests that found no room may find it now. */
  private stamp(): number {
    return this.workers.availabilityVersion - this.ownRises + this.retries;
  }

  private placeEarmarked(turn: Turn): void {
    if (this.earmarks.size === 0) return;
    for (const kept of [...this.earmarks.all()]) {
      const waiting = this.queues.get(kept.team)?.get(kept.identity);
      if (waiting === undefined) this.earmarks.drop(kept.identity);
      else if (earmark.isReady(kept)) this.useEarmark(kept, waiting, turn);
    }
  }

  private useEarmark(
    kept: earmark.Earmark,
    waiting: request.Request,
    turn: Turn,
  ): void {
    const runMs = this.expectedRunMs(waiting);
    if (!this.shares.mayHold(waiting, kept.size, runMs)) return;
    this.earmarks.drop(kept.identity);
    const job = this.jobOf(waiting, kept.size);
    const attempt = new placementPolicy.Attempt(job);
    const ascending = [...kept.rooms.keys()].sort((left, right) =>
      left.name < right.name ? -1 : 1,
    );
    for (const target of ascending) {
      const count = kept.rooms.get(target) ?? 0;
      for (let index = 0; index < count; index += 1) attempt.reserve(target);
    }
    this.commit(job, attempt.finish(), turn);
  }

  private placeInTurn(turn: Turn): void {
    const contenders = this.contenders();
    while (contenders.length > 0 && turn.failures < FAILURE_LIMIT) {
      const position = lowest(contenders);
      const contender = contenders[position];
      const lane = contender.queue.next(
        candidate => this.isOpen(candidate, turn),
        turn.now,
      );
      if (lane === undefined) contenders.splice(position, 1);
      else this.placeHead(contender, lane, turn);
    }
  }

  private contenders(): Contender[] {
    const contenders: Contender[] = [];
    for (const queued of this.queues.values()) {
      if (queued.size === 0) continue;
      const level = this.shares.level(queued.team);
      contenders.push({queue: queued, level, borrows: false});
    }
    return contenders;
  }

  private isOpen(lane: queue.Lane, turn: Turn): boolean {
    if (lane.failedRound === this.round) return false;
    return lane.blockedAt !== turn.stamp && !turn.closed.has(lane);
  }

  private placeHead(contender: Contender, lane: queue.Lane, turn: Turn): void {
    const head = lane.head();
    if (head === undefined) return;
    const job = this.jobOf(head, this.sizeOf(head));
    if (!contender.borrows && this.needsLoan(job)) {
      // Teams within their quota choose first; this one comes back after them.
      contender.borrows = true;
      contender.level += LOAN_PENALTY;
      return;
    }
    const outcome = this.tryPlace(job, turn);
    if (outcome === 'noRoom') this.noRoom(job, lane, turn);
    if (outcome === 'notEntitled') turn.closed.add(lane);
    contender.level = this.shares.level(contender.queue.team);
    contender.borrows = false;
  }

  private needsLoan(job: placementPolicy.PendingJob): boolean {
    const {team: name, taskCount} = job.request;
    const whole = resources.scale(job.size, taskCount);
    return !this.shares.isWithinQuota(name, whole);
  }

  private tryPlace(job: placementPolicy.PendingJob, turn: Turn): Outcome {
    const {request: waiting, size} = job;
    const runMs = this.expectedRunMs(waiting);
    if (!this.shares.mayHold(waiting, size, runMs)) return 'notEntitled';
    if (turn.failed.some(failed => resources.fits(failed, size))) {
      return 'noRoom';
    }
    const view = this.pool.viewFor(waiting);
    const policy = this.policies[waiting.workload.kind];
    const decision = policy.place(job, view, turn.now);
    if (this.commit(job, decision, turn)) return 'placed';
    if (isPlain(waiting) && turn.failed.length < FAILED_SIZES) {
      turn.failed.push(size);
    }
    return 'noRoom';
  }

  private commit(
    job: placementPolicy.PendingJob,
    decision: placementPolicy.PlacementDecision,
    turn: Turn,
  ): boolean {
    if (decision.kind === 'noRoom') return false;
    const {request: placed, size} = job;
    this.queueOf(placed.team).take(placed, turn.now);
    this.earmarks.drop(placed.identity);
    const expectedRunMs = this.expectedRunMs(placed);
    const label = placementPolicy.labelOf(placed);
    decision.workers.forEach((target, index) => {
      const name = placementPolicy.taskName(job, index);
      turn.placements.push({request: placed, task: name, worker: target, size});
      this.pool.placed(target, name, label, turn.now);
      const loan = {task: name, team: placed.team, size, worker: target};
      this.reclaimer.started({...loan, expectedRunMs}, placed.workload);
    });
    return true;
  }

  private noRoom(
    job: placementPolicy.PendingJob,
    lane: queue.Lane,
    turn: Turn,
  ): void {
    lane.blockedAt = turn.stamp;
    lane.failedRound = this.round;
    turn.failures += 1;
    const {workload: described} = job.request;
    if (described.urgency === 'urgent' && job.request.taskCount === 1) {
      const waiting = lane.heads(RECLAIM_DEPTH);
      const jobs = waiting.map(item => this.jobOf(item, this.sizeOf(item)));
      this.interventions.push(...this.reclaimer.reclaimFor(jobs, turn.now));
    }
    const isStarving = queue.isStarving(job.request, turn.now);
    if (described.kind === 'gang' || isStarving) {
      this.earmarks.consider(job, turn.now);
    }
  }

  private jobOf(
    waiting: request.Request,
    size: resources.Resources,
  ): placementPolicy.PendingJob {
    this.attempt += 1;
    return {request: waiting, size, attempt: this.attempt};
  }

  /** The learned size, or the declared one if no worker could hold it. */
  private sizeOf(waiting: request.Request): resources.Resources {
    const learned = this.estimator.reservation(
      waiting.team,
      waiting.workload.name,
      waiting.size,
    );
    const plan = this.documents.current().fleet;
    if (learned === waiting.size || plan === undefined) return learned;
    const grown = {...waiting, size: learned};
    const fits = admission.excludingConstraint(grown, plan) === undefined;
    return fits ? learned : waiting.size;
  }

  private expectedRunMs(waiting: request.Request): clock.Milliseconds {
    const {name, runTimeMs} = waiting.workload;
    return this.estimator.runTimeMs(waiting.team, name) ?? runTimeMs;
  }

  private workloadOf(label: task.TaskLabel): workload.Workload | undefined {
    return this.teamOf(label.team)?.workloads.find(
      item => item.name === label.workload,
    );
  }

  private teamOf(name: string): team.Team | undefined {
    return this.documents.current().teams.get(name);
  }

  private queueOf(name: string): queue.TeamQueue {
    const known = this.queues.get(name);
    if (known !== undefined) return known;
    const created = new queue.TeamQueue(name);
    this.queues.set(name, created);
    return created;
  }
}

function lowest(contenders: ReadonlyArray<Contender>): number {
  let best = 0;
  for (let index = 1; index < contenders.length; index += 1) {
    if (contenders[index].level < contenders[best].level) best = index;
  }
  return best;
}

/** Whether nothing but its size restricts where a request may run. */
function isPlain(waiting: request.Request): boolean {
  const {workload: described, taskCount} = waiting;
  return (
    taskCount === 1 &&
    described.zones.length === 0 &&
    described.maximumPerRack === 0
  );
}
