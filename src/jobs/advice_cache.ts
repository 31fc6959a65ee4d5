import type * as clock from '../machines/clock.js';
import type * as job from './job.js';
import type * as stepInstance from './step_instance.js';
import type * as remoteWorker from '../machines/remote_worker.js';

/** Permission for one worker to run a step, checked by that worker. */
export interface Ticket {
  readonly workerId: string;
  readonly ticket: string;
}

/** Outcome of a call to the advice service. */
export type AdviceOutcome =
  | {readonly kind: 'advised'; readonly tickets: ReadonlyArray<Ticket>}
  | {readonly kind: 'busy'}
  | {readonly kind: 'unanswered'; readonly detail: string};

/**
 * Calls the advice service from the VM of this process; its promises do not
 * reject.
 */
export interface LocalAdviceClient {
  ask(
    step: string,
    workerIds: ReadonlyArray<string>,
    timeoutMs: number,
  ): Promise<AdviceOutcome>;
}

/**
 * Asks the advice service which workers may run a step, through any VM of the
 * cell; its promises do not reject. `expectedMs` is the time that the service
 * needs for the answer.
 */
export interface CellAdviceClient {
  /**
   * Returns whether a call of that duration would be sent now. If it would not,
   * neither would a longer one.
   */
  accepts(expectedMs: number): boolean;
  ask(
    step: string,
    workerIds: ReadonlyArray<string>,
    expectedMs: number,
  ): Promise<AdviceOutcome>;
}

/** Naming more workers costs more service time than it saves. */
const MAXIMUM_WORKERS_PER_CALL = 30;

/**
 * Waiting tasks for which one call is made at a time. A service that allows a
 * third of the workers gives about this many tickets a call.
 */
const TASKS_PER_CALL = 10;

/** Most calls about one step at a time; each waits for the capacity of a VM. */
const MAXIMUM_PARALLEL_CALLS = 4;

/** Returns the service time of a call that names the most workers. */
export function longestAdviceCallMs(timing: job.AdviceTiming): number {
  return timing.decideMs + timing.eachMs * MAXIMUM_WORKERS_PER_CALL;
}

/** Part of a ticket's validity kept for the start command to arrive. */
const TICKET_VALIDITY_MARGIN_MS = 150;

/** Pause for a step after a call that returned no advice. */
const FAILED_CALL_BACKOFF_MS = 150;

interface TicketGrant {
  readonly worker: remoteWorker.RemoteWorker;
  readonly ticket: string;
  readonly incarnation: number;
  readonly validUntil: clock.Milliseconds;
}

interface StepAdvice {
  readonly grants: Map<string, TicketGrant>;
  /** Refused worker incarnations, by worker id. */
  readonly refusedIncarnations: Map<string, number>;
  /** Ids of the workers that the calls in flight name. */
  readonly askedWorkers: Set<string>;
  callsInFlight: number;
  backoffUntil: clock.Milliseconds;
  /** Rises with each change of the tickets. */
  version: number;
}

/**
 * Requests and caches tickets for steps of queues that require advice about
 * which workers may run them.
 */
export class AdviceCache {
  private readonly steps = new Map<stepInstance.StepInstance, StepAdvice>();

  constructor(
    private readonly client: CellAdviceClient,
    private readonly clock: clock.Clock,
    private readonly onAdvice: () => void,
  ) {}

  /** Returns a ticket that is valid now; undefined if there is none. */
  ticketFor(
    step: stepInstance.StepInstance,
    worker: remoteWorker.RemoteWorker,
    now: clock.Milliseconds,
  ): string | undefined {
    const grant = this.steps.get(step)?.grants.get(worker.id);
    if (grant === undefined || grant.incarnation !== worker.entry.born) {
      return undefined;
    }
    return grant.validUntil > now ? grant.ticket : undefined;
  }

  /** Returns the workers for which a step has tickets that are valid now. */
  workersWithTicket(
    step: stepInstance.StepInstance,
    now: clock.Milliseconds,
  ): ReadonlyArray<remoteWorker.RemoteWorker> {
    const workers: remoteWorker.RemoteWorker[] = [];
    for (const grant of this.steps.get(step)?.grants.values() ?? []) {
      if (grant.validUntil > now) workers.push(grant.worker);
    }
    return workers;
  }

  /** Returns whether a worker may run a step; undefined while unknown. */
  mayRun(
    step: stepInstance.StepInstance,
    worker: remoteWorker.RemoteWorker,
  ): boolean | undefined {
    const advice = this.steps.get(step);
    if (advice === undefined) return undefined;
    const {born} = worker.entry;
    if (advice.refusedIncarnations.get(worker.id) === born) return false;
    const isGranted = advice.grants.get(worker.id)?.incarnation === born;
    return isGranted ? true : undefined;
  }

  /**
   * Returns whether a worker has no ticket for a step that is valid now, and may
   * get one.
   */
  lacksTicket(
    step: stepInstance.StepInstance,
    worker: remoteWorker.RemoteWorker,
    now: clock.Milliseconds,
  ): boolean {
    const advice = this.steps.get(step);
    if (advice === undefined) return true;
    const {id, entry} = worker;
    if (advice.refusedIncarnations.get(id) === entry.born) return false;
    const grant = advice.grants.get(id);
    return grant?.incarnation !== entry.born || grant.validUntil <= now;
  }

  /** Removes a ticket that the worker rejected. */
  dropTicket(
    step: stepInstance.StepInstance,
    worker: remoteWorker.RemoteWorker,
  ): void {
    const advice = this.steps.get(step);
    if (advice?.grants.delete(worker.id) === true) advice.version += 1;
  }

  /** Returns a number that rises with each change of the step's tickets. */
  versionOf(step: stepInstance.StepInstance): number {
    return this.steps.get(step)?.version ?? 0;
  }

  /** Returns when the next valid ticket expires; Infinity if none does. */
  nextExpiryAt(
    step: stepInstance.StepInstance,
    now: clock.Milliseconds,
  ): clock.Milliseconds {
    let nextAt = Infinity;
    for (const {validUntil} of this.steps.get(step)?.grants.values() ?? []) {
      if (validUntil > now) nextAt = Math.min(nextAt, validUntil);
    }
    return nextAt;
  }

  /** Removes a step that needs no more tickets. */
  forget(step: stepInstance.StepInstance): void {
    this.steps.delete(step);
  }

  /** Returns a log summary of a step's advice. */
  describe(step: stepInstance.StepInstance, now: clock.Milliseconds): string {
    const advice = this.steps.get(step);
    if (advice === undefined) return 'never asked';
    const valid = [...advice.grants.values()].filter(
      grant => grant.validUntil > now,
    );
    const state = advice.callsInFlight > 0 ? 'asking' : 'idle';
    return `${state} granted=${advice.grants.size} valid=${valid.length} refused=${advice.refusedIncarnations.size}`;
  }

  /**
   * Returns whether one more call may be made about a step: no call has just
   * failed, and those in flight are fewer than its waiting tasks need.
   */
  mayAsk(step: stepInstance.StepInstance): boolean {
    const {callsInFlight, backoffUntil} = this.adviceOf(step);
    if (backoffUntil > this.clock.now()) return false;
    const neededCalls = Math.ceil(step.waitingTaskCount / TASKS_PER_CALL);
    const limit = Math.min(Math.max(neededCalls, 1), MAXIMUM_PARALLEL_CALLS);
    return callsInFlight < limit;
  }

  /** Returns whether a call in flight names a worker. */
  isBeingAsked(
    step: stepInstance.StepInstance,
    worker: remoteWorker.RemoteWorker,
  ): boolean {
    return this.steps.get(step)?.askedWorkers.has(worker.id) === true;
  }

  /**
   * Returns whether a VM has capacity for a call. Under overload most steps wait
   * here.
   */
  acceptsCall(timing: job.AdviceTiming): boolean {
    return this.client.accepts(timing.decideMs);
  }

  /**
   * Requests tickets if the client has capacity. Eligible workers are named
   * first. The others are named as well, because most of a call's time does not
   * depend on how many it names, and they may get free capacity while the
   * tickets are valid. They are read only if the eligible ones are few. Returns
   * whether a call was sent.
   */
  request(
    step: stepInstance.StepInstance,
    timing: job.AdviceTiming,
    eligible: ReadonlyArray<remoteWorker.RemoteWorker>,
    others: () => ReadonlyArray<remoteWorker.RemoteWorker>,
  ): boolean {
    if (eligible.length === 0) return false;
    const now = this.clock.now();
    const advice = this.adviceOf(step);
    const askedWorkers = this.selectWorkersToAsk(step, eligible, others);
    const expectedMs = timing.decideMs + timing.eachMs * askedWorkers.length;
    if (!this.client.accepts(expectedMs)) return false;
    advice.callsInFlight += 1;
    for (const worker of askedWorkers) advice.askedWorkers.add(worker.id);
    void this.client
      .ask(
        step.name,
        askedWorkers.map(worker => worker.id),
        expectedMs,
      )
      .then(outcome => {
        advice.callsInFlight -= 1;
        for (const worker of askedWorkers) {
          advice.askedWorkers.delete(worker.id);
        }
        this.handleOutcome(
          advice,
          askedWorkers,
          outcome,
          timing,
          now + expectedMs,
        );
      });
    return true;
  }

  /** Returns the workers to name, those known to be permitted first. */
  private selectWorkersToAsk(
    step: stepInstance.StepInstance,
    eligible: ReadonlyArray<remoteWorker.RemoteWorker>,
    others: () => ReadonlyArray<remoteWorker.RemoteWorker>,
  ): ReadonlyArray<remoteWorker.RemoteWorker> {
    const selected: remoteWorker.RemoteWorker[] = [];
    this.selectInto(selected, step, eligible, true);
    this.selectInto(selected, step, eligible, undefined);
    if (selected.length === MAXIMUM_WORKERS_PER_CALL) return selected;
    const otherWorkers = others();
    this.selectInto(selected, step, otherWorkers, true);
    this.selectInto(selected, step, otherWorkers, undefined);
    return selected;
  }

  /** Adds the workers with a given permission, up to the most of one call. */
  private selectInto(
    selected: remoteWorker.RemoteWorker[],
    step: stepInstance.StepInstance,
    workers: ReadonlyArray<remoteWorker.RemoteWorker>,
    permission: true | undefined,
  ): void {
    for (const worker of workers) {
      if (selected.length === MAXIMUM_WORKERS_PER_CALL) return;
      if (this.mayRun(step, worker) !== permission) continue;
      if (!this.isBeingAsked(step, worker)) selected.push(worker);
    }
  }

  private handleOutcome(
    advice: StepAdvice,
    askedWorkers: ReadonlyArray<remoteWorker.RemoteWorker>,
    outcome: AdviceOutcome,
    timing: job.AdviceTiming,
    expectedAnswerAt: clock.Milliseconds,
  ): void {
    const now = this.clock.now();
    if (outcome.kind !== 'advised') {
      advice.backoffUntil = now + FAILED_CALL_BACKOFF_MS;
      return;
    }
    const tickets = new Map(
      outcome.tickets.map(({workerId, ticket}) => [workerId, ticket]),
    );
    // Validity starts at the service's answer, which is no later than now.
    const validFrom = Math.min(now, expectedAnswerAt);
    const validUntil = validFrom + timing.validMs - TICKET_VALIDITY_MARGIN_MS;
    advice.version += 1;
    for (const worker of askedWorkers) {
      const ticket = tickets.get(worker.id);
      const {born} = worker.entry;
      if (ticket === undefined) {
        advice.refusedIncarnations.set(worker.id, born);
        advice.grants.delete(worker.id);
        continue;
      }
      advice.grants.set(worker.id, {
        worker,
        ticket,
        incarnation: born,
        validUntil,
      });
    }
    this.onAdvice();
  }

  private adviceOf(step: stepInstance.StepInstance): StepAdvice {
    const existing = this.steps.get(step);
    if (existing !== undefined) return existing;
    const created: StepAdvice = {
      grants: new Map(),
      refusedIncarnations: new Map(),
      askedWorkers: new Set(),
      callsInFlight: 0,
      backoffUntil: 0,
      version: 0,
    };
    this.steps.set(step, created);
    return created;
  }
}
