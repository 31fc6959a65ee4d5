import * as requestAdmission from './request_admission.js';
import * as batchPolicy from './batch_policy.js';
import * as capacityReservationTable from './capacity_reservation_table.js';
import * as either from 'purify-ts/Either';
import * as fairShareCalculator from './fair_share_calculator.js';
import * as gangPolicy from './gang_policy.js';
import type * as overloadMitigator from './overload_mitigator.js';
import * as placementPolicy from './placement_policy.js';
import * as teamQueue from './team_queue.js';
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

/** Time after which requests that could not be placed are tried again. */
const PLACEMENT_RETRY_INTERVAL_MS = 100;

/** Requests of one workload for which capacity is reclaimed at once. */
const RECLAIMING_REQUEST_LIMIT = 32;

/** Added to the weighted share of a team that exceeds its quota. */
const BORROWING_PENALTY = 1_000_000;

/** Failed placements in one cycle; other queues wait for the next cycle. */
const FAILED_PLACEMENT_LIMIT = 16;

/** Failed sizes that a cycle keeps; bounds the cost of the comparisons. */
const FAILED_SIZE_LIMIT = 8;

/** Source of the configuration in force. */
export interface ConfigurationSource {
  current(): configuration.Configuration;
}

interface TeamCandidate {
  readonly queue: teamQueue.TeamQueue;
  weightedShare: number;
  isBorrowing: boolean;
}

interface SchedulingCycle {
  readonly now: clock.Milliseconds;
  readonly retryVersion: number;
  readonly placements: placement.Placement[];
  /** Sizes of unconstrained requests that could not be placed in this cycle. */
  readonly failedSizes: resources.Resources[];
  /** Queues whose head may not reserve capacity at present. */
  readonly notEntitledQueues: Set<teamQueue.WorkloadQueue>;
  failureCount: number;
}

type PlacementOutcome = 'placed' | 'noRoom' | 'notEntitled';

/** Queues admitted requests and places them on workers. */
export class RequestScheduler {
  private readonly queues = new Map<string, teamQueue.TeamQueue>();
  private readonly estimator = new usageEstimator.UsageEstimator();
  private readonly observer: taskObserver.TaskObserver;
  private readonly shares: fairShareCalculator.FairShareCalculator;
  private readonly pool: workerPool.WorkerPool;
  private readonly reclaimer: reclaimer.Reclaimer;
  private readonly reservations: capacityReservationTable.CapacityReservationTable;
  private readonly policies: Readonly<
    Record<workload.WorkloadKind, placementPolicy.PlacementPolicy>
  > = {
    service: new servicePolicy.ServicePolicy(),
    batch: new batchPolicy.BatchPolicy(),
    gang: new gangPolicy.GangPolicy(),
  };
  private interventions: overloadMitigator.Intervention[] = [];
  private lastAttemptNumber = 0;
  private retryCount = 0;
  private nextRetryAt = 0;
  /** Changes of the fleet's availability version by this scheduler itself. */
  private ownAvailabilityChanges = 0;
  private lastCycleVersion = -1;
  private isCycleNeeded = false;
  private retryRound = 0;

  constructor(
    private readonly workers: fleet.Fleet,
    permission: placement.PlacementPermission,
    private readonly documents: ConfigurationSource,
  ) {
    this.shares = new fairShareCalculator.FairShareCalculator(workers, {
      team: name => this.teamOf(name),
    });
    this.pool = new workerPool.WorkerPool(workers, permission);
    this.reservations = new capacityReservationTable.CapacityReservationTable({
      workers: () => workers.all(),
      mayPlace: candidate => this.pool.mayPlace(candidate),
      runsUntilStopped: label => this.workloadOf(label)?.kind === 'service',
    });
    this.reclaimer = new reclaimer.Reclaimer(
      this.shares,
      this.reservations,
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

  /** Processes the outcome of a task. */
  observeOutcome(
    outcome: trackedTask.TaskOutcome,
    now: clock.Milliseconds,
  ): void {
    this.observer.observeOutcome(outcome, now);
  }

  /** Processes a worker's report. */
  observeReport(report: task.WorkerReport, now: clock.Milliseconds): void {
    this.interventions.push(...this.observer.observeReport(report, now));
  }

  /** Queues a request; returns a failure with the reason if it is refused. */
  admit(
    admitted: request.Request,
    now: clock.Milliseconds,
  ): either.Either<result.Failure, null> {
    const configuredTeam = this.teamOf(admitted.team);
    if (configuredTeam === undefined) {
      return either.Left(
        result.failure(
          'unknownTeam',
          `team: ${admitted.team} is not configured`,
        ),
      );
    }
    const queue = this.queueOf(admitted.team);
    const fleetDefinition = this.documents.current().fleet;
    const context = {team: configuredTeam, queue, fleet: fleetDefinition};
    return requestAdmission
      .checkAdmission(admitted, context, now)
      .ifRight(() => {
        queue.push(admitted, now);
        this.shares.recordArrival(admitted.team, now);
        this.isCycleNeeded = true;
      });
  }

  /** Returns a request to its queue after proof that its start did not run. */
  requeue(returned: request.Request): void {
    this.queueOf(returned.team).putBack(returned);
    this.isCycleNeeded = true;
  }

  /** Removes a waiting request; returns false when it is not queued. */
  remove(identity: string): boolean {
    for (const queue of this.queues.values()) {
      if (!queue.remove(identity)) continue;
      this.reservations.release(identity);
      return true;
    }
    return false;
  }

  /** Explains why a request is still waiting. */
  explain(waiting: request.Request): string {
    const size = this.reservationSizeOf(waiting);
    const expectedRunMs = this.expectedRunMs(waiting);
    if (this.reservations.has(waiting.identity)) {
      return 'capacity is reserved for it and becomes free as other tasks end';
    }
    if (!this.shares.isEntitled(waiting, size, expectedRunMs)) {
      return `team ${waiting.team} holds its quota or all that may be lent`;
    }
    return `${this.waitingCount()} requests wait for free capacity`;
  }

  /** Returns the number of waiting requests. */
  waitingCount(): number {
    let count = 0;
    for (const queue of this.queues.values()) count += queue.size;
    return count;
  }

  /** Returns the longest wait expected for a new request of any team. */
  expectedWaitMs(): clock.Milliseconds {
    let longestMs = 0;
    for (const queue of this.queues.values()) {
      longestMs = Math.max(longestMs, queue.expectedDrainMs());
    }
    return longestMs;
  }

  /** Removes and returns requests whose start deadline has passed. */
  takeExpired(now: clock.Milliseconds): ReadonlyArray<request.Request> {
    const expired: request.Request[] = [];
    for (const queue of this.queues.values()) {
      expired.push(...queue.takeExpired(now));
    }
    for (const expiredRequest of expired) {
      this.reservations.release(expiredRequest.identity);
    }
    return expired;
  }

  /** Returns the latest time for the next call of `place` and `takeExpired`. */
  nextDeadline(): clock.Milliseconds {
    const hasWaitingRequests = this.waitingCount() > 0;
    const readmissionAt = this.pool.nextDeadline();
    // Workers are readmitted only once the retry interval has passed.
    let deadline = Math.max(
      this.nextRetryAt,
      hasWaitingRequests ? 0 : readmissionAt,
    );
    for (const queue of this.queues.values()) {
      deadline = Math.min(deadline, queue.nextDeadline());
    }
    return deadline;
  }

  /** Sets the fraction of the cell's capacity that this process places on. */
  setCellFraction(fraction: number): void {
    this.shares.setCellFraction(fraction);
  }

  /** Places waiting requests: all tasks of a request or none. */
  place(now: clock.Milliseconds): ReadonlyArray<placement.Placement> {
    this.pool.setTime(now);
    this.refresh(now);
    if (!this.isCycleNeeded && this.lastCycleVersion === this.retryVersion()) {
      return [];
    }
    this.isCycleNeeded = false;
    const cycle: SchedulingCycle = {
      now,
      retryVersion: this.retryVersion(),
      placements: [],
      failedSizes: [],
      notEntitledQueues: new Set(),
      failureCount: 0,
    };
    const versionBefore = this.workers.availabilityVersion;
    this.placeReserved(cycle);
    this.placeInFairOrder(cycle);
    // After a cycle that hit the limit, the next one tries the other queues;
    // those that failed wait for the next round.
    if (cycle.failureCount >= FAILED_PLACEMENT_LIMIT) {
      this.isCycleNeeded = true;
    } else {
      this.retryRound += 1;
    }
    this.ownAvailabilityChanges +=
      this.workers.availabilityVersion - versionBefore;
    this.lastCycleVersion = cycle.retryVersion;
    return cycle.placements;
  }

  /** Returns the pending interventions and clears them. */
  takeInterventions(): ReadonlyArray<overloadMitigator.Intervention> {
    const taken = this.interventions;
    this.interventions = [];
    return taken;
  }

  /** Returns the capacity violations since the last call and clears them. */
  takeViolations(): ReadonlyArray<worker.CapacityViolation> {
    return this.workers.takeViolations();
  }

  private refresh(now: clock.Milliseconds): void {
    const isDue = now >= this.nextRetryAt;
    if (!isDue && !this.workers.needsRefresh) return;
    this.nextRetryAt = now + PLACEMENT_RETRY_INTERVAL_MS;
    this.retryCount += 1;
    this.pool.refresh(now);
    this.shares.refresh(now);
    this.reservations.expire(now);
    this.interventions.push(...this.reclaimer.refillReserve());
  }

  /** Returns a version that changes when failed placements may succeed. */
  private retryVersion(): number {
    return (
      this.workers.availabilityVersion -
      this.ownAvailabilityChanges +
      this.retryCount
    );
  }

  private placeReserved(cycle: SchedulingCycle): void {
    if (this.reservations.size === 0) return;
    for (const reservation of [...this.reservations.all()]) {
      const waiting = this.queues
        .get(reservation.team)
        ?.get(reservation.identity);
      if (waiting === undefined) {
        this.reservations.release(reservation.identity);
      } else if (capacityReservationTable.isAvailable(reservation)) {
        this.consumeReservation(reservation, waiting, cycle);
      }
    }
  }

  private consumeReservation(
    reservation: capacityReservationTable.CapacityReservation,
    waiting: request.Request,
    cycle: SchedulingCycle,
  ): void {
    const expectedRunMs = this.expectedRunMs(waiting);
    if (!this.shares.isEntitled(waiting, reservation.size, expectedRunMs)) {
      return;
    }
    this.reservations.release(reservation.identity);
    const pending = this.pendingPlacementOf(waiting, reservation.size);
    const attempt = new placementPolicy.PlacementAttempt(pending);
    const ascending = [...reservation.taskCounts.keys()].sort((left, right) =>
      left.name < right.name ? -1 : 1,
    );
    for (const target of ascending) {
      const count = reservation.taskCounts.get(target) ?? 0;
      for (let index = 0; index < count; index += 1) attempt.reserve(target);
    }
    this.commit(pending, attempt.finish(), cycle);
  }

  private placeInFairOrder(cycle: SchedulingCycle): void {
    const candidates = this.teamCandidates();
    while (
      candidates.length > 0 &&
      cycle.failureCount < FAILED_PLACEMENT_LIMIT
    ) {
      const index = lowestShareIndex(candidates);
      const candidate = candidates[index];
      const workloadQueue = candidate.queue.next(
        queue => this.isEligible(queue, cycle),
        cycle.now,
      );
      if (workloadQueue === undefined) candidates.splice(index, 1);
      else this.placeHead(candidate, workloadQueue, cycle);
    }
  }

  private teamCandidates(): TeamCandidate[] {
    const candidates: TeamCandidate[] = [];
    for (const queue of this.queues.values()) {
      if (queue.size === 0) continue;
      const weightedShare = this.shares.weightedShare(queue.team);
      candidates.push({
        queue,
        weightedShare,
        isBorrowing: false,
      });
    }
    return candidates;
  }

  private isEligible(
    workloadQueue: teamQueue.WorkloadQueue,
    cycle: SchedulingCycle,
  ): boolean {
    if (workloadQueue.failedRetryRound === this.retryRound) return false;
    return (
      workloadQueue.blockedAtVersion !== cycle.retryVersion &&
      !cycle.notEntitledQueues.has(workloadQueue)
    );
  }

  private placeHead(
    candidate: TeamCandidate,
    workloadQueue: teamQueue.WorkloadQueue,
    cycle: SchedulingCycle,
  ): void {
    const head = workloadQueue.head();
    if (head === undefined) return;
    const pending = this.pendingPlacementOf(head, this.reservationSizeOf(head));
    if (!candidate.isBorrowing && this.exceedsQuota(pending)) {
      // Teams within their quota are placed first; this one is retried last.
      candidate.isBorrowing = true;
      candidate.weightedShare += BORROWING_PENALTY;
      return;
    }
    const outcome = this.tryPlace(pending, cycle);
    if (outcome === 'noRoom') {
      this.handlePlacementFailure(pending, workloadQueue, cycle);
    }
    if (outcome === 'notEntitled') cycle.notEntitledQueues.add(workloadQueue);
    candidate.weightedShare = this.shares.weightedShare(candidate.queue.team);
    candidate.isBorrowing = false;
  }

  private exceedsQuota(pending: placementPolicy.PendingPlacement): boolean {
    const {team: name, taskCount} = pending.request;
    const totalSize = resources.scale(pending.size, taskCount);
    return !this.shares.isWithinQuota(name, totalSize);
  }

  private tryPlace(
    pending: placementPolicy.PendingPlacement,
    cycle: SchedulingCycle,
  ): PlacementOutcome {
    const {request: waiting, size} = pending;
    const expectedRunMs = this.expectedRunMs(waiting);
    if (!this.shares.isEntitled(waiting, size, expectedRunMs)) {
      return 'notEntitled';
    }
    if (
      cycle.failedSizes.some(failedSize => resources.fits(failedSize, size))
    ) {
      return 'noRoom';
    }
    const view = this.pool.viewFor(waiting);
    const policy = this.policies[waiting.workload.kind];
    const decision = policy.place(pending, view, cycle.now);
    if (this.commit(pending, decision, cycle)) return 'placed';
    if (
      isUnconstrained(waiting) &&
      cycle.failedSizes.length < FAILED_SIZE_LIMIT
    ) {
      cycle.failedSizes.push(size);
    }
    return 'noRoom';
  }

  private commit(
    pending: placementPolicy.PendingPlacement,
    decision: placementPolicy.PlacementDecision,
    cycle: SchedulingCycle,
  ): boolean {
    if (decision.kind === 'noRoom') return false;
    const {request: placed, size} = pending;
    this.queueOf(placed.team).take(placed, cycle.now);
    this.reservations.release(placed.identity);
    const expectedRunMs = this.expectedRunMs(placed);
    const label = placementPolicy.buildTaskLabel(placed);
    decision.workers.forEach((target, index) => {
      const name = placementPolicy.taskName(pending, index);
      cycle.placements.push({
        request: placed,
        task: name,
        worker: target,
        size,
      });
      this.pool.recordPlacement(target, name, label, cycle.now);
      const started = {task: name, team: placed.team, size, worker: target};
      this.reclaimer.recordStart({...started, expectedRunMs}, placed.workload);
    });
    return true;
  }

  private handlePlacementFailure(
    pending: placementPolicy.PendingPlacement,
    workloadQueue: teamQueue.WorkloadQueue,
    cycle: SchedulingCycle,
  ): void {
    workloadQueue.blockedAtVersion = cycle.retryVersion;
    workloadQueue.failedRetryRound = this.retryRound;
    cycle.failureCount += 1;
    const {workload: definition} = pending.request;
    if (definition.urgency === 'urgent' && pending.request.taskCount === 1) {
      const waiting = workloadQueue.firstRequests(RECLAIMING_REQUEST_LIMIT);
      const pendingPlacements = waiting.map(item =>
        this.pendingPlacementOf(item, this.reservationSizeOf(item)),
      );
      this.interventions.push(
        ...this.reclaimer.reclaimFor(pendingPlacements, cycle.now),
      );
    }
    const isStarving = teamQueue.isStarving(pending.request, cycle.now);
    if (definition.kind === 'gang' || isStarving) {
      this.reservations.planFor(pending, cycle.now);
    }
  }

  private pendingPlacementOf(
    waiting: request.Request,
    size: resources.Resources,
  ): placementPolicy.PendingPlacement {
    this.lastAttemptNumber += 1;
    return {request: waiting, size, attemptNumber: this.lastAttemptNumber};
  }

  /** Returns the learned size, or the declared one if no worker can fit it. */
  private reservationSizeOf(waiting: request.Request): resources.Resources {
    const learnedSize = this.estimator.reservationSize(
      waiting.team,
      waiting.workload.name,
      waiting.size,
    );
    const fleet = this.documents.current().fleet;
    if (learnedSize === waiting.size || fleet === undefined) return learnedSize;
    const resized = {...waiting, size: learnedSize};
    const fits =
      requestAdmission.excludingConstraint(resized, fleet) === undefined;
    return fits ? learnedSize : waiting.size;
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

  private teamOf(teamName: string): team.Team | undefined {
    return this.documents.current().teams.get(teamName);
  }

  private queueOf(teamName: string): teamQueue.TeamQueue {
    const existing = this.queues.get(teamName);
    if (existing !== undefined) return existing;
    const created = new teamQueue.TeamQueue(teamName);
    this.queues.set(teamName, created);
    return created;
  }
}

function lowestShareIndex(candidates: ReadonlyArray<TeamCandidate>): number {
  let lowestIndex = 0;
  for (let index = 1; index < candidates.length; index += 1) {
    if (
      candidates[index].weightedShare < candidates[lowestIndex].weightedShare
    ) {
      lowestIndex = index;
    }
  }
  return lowestIndex;
}

/** Returns whether a request is restricted by nothing but its size. */
function isUnconstrained(waiting: request.Request): boolean {
  const {workload: definition, taskCount} = waiting;
  return (
    taskCount === 1 &&
    definition.zones.length === 0 &&
    definition.maximumPerRack === 0
  );
}
