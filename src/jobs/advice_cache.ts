import type * as clock from '../machines/clock.js';
import type * as job from './job.js';
import type * as stepInstance from './step_instance.js';
import type * as remoteWorker from '../machines/remote_worker.js';

/** A worker that may run a step, and what proves it. */
export interface Ticket {
  readonly workerId: string;
  readonly ticket: string;
}

/** What the advice service said. */
export type AdviceOutcome =
  | {readonly kind: 'advised'; readonly tickets: ReadonlyArray<Ticket>}
  | {readonly kind: 'busy'}
  | {readonly kind: 'unanswered'; readonly detail: string};

/** The advice service as one VM reaches it; does not reject. */
export interface AdviceService {
  ask(
    step: string,
    workerIds: ReadonlyArray<string>,
    timeoutMs: number,
  ): Promise<AdviceOutcome>;
}

/**
 * Asks which workers may run a step; does not reject. `expectedMs` is the time
 * that the service needs for the answer.
 */
export interface AdviceClient {
  /**
   * Tells whether a call of that length would be sent now. None is while a
   * shorter one would not be.
   */
  accepts(expectedMs: number): boolean;
  ask(
    step: string,
    workerIds: ReadonlyArray<string>,
    expectedMs: number,
  ): Promise<AdviceOutcome>;
}

/** Most workers named in a call: naming more takes more time than it saves. */
const MAXIMUM_WORKERS_PER_CALL = 30;

/** Time that the service needs for a step's first call. */
export function longestAdviceCallMs(timing: job.AdviceTiming): number {
  return timing.decideMs + timing.eachMs * MAXIMUM_WORKERS_PER_CALL;
}

/** Time of a ticket's validity that is left for the start to arrive. */
const TICKET_VALIDITY_MARGIN_MS = 150;

/** Pause after a call that brought nothing. */
const FAILED_CALL_BACKOFF_MS = 150;

interface TicketGrant {
  readonly ticket: string;
  readonly incarnation: number;
  readonly validUntil: clock.Milliseconds;
}

interface StepAdvice {
  readonly grants: Map<string, TicketGrant>;
  readonly refusedIncarnations: Set<string>;
  callInFlight: boolean;
  backoffUntil: clock.Milliseconds;
}

/** The tickets of steps whose queue lets only some workers run them. */
export class AdviceCache {
  private readonly steps = new Map<stepInstance.StepInstance, StepAdvice>();

  constructor(
    private readonly client: AdviceClient,
    private readonly clock: clock.Clock,
    private readonly onAdvice: () => void,
  ) {}

  /** Returns the ticket for a start now, if there is one. */
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

  /** Tells whether a worker may run a step, as far as it is known. */
  mayRun(
    step: stepInstance.StepInstance,
    worker: remoteWorker.RemoteWorker,
  ): boolean | undefined {
    const known = this.steps.get(step);
    if (known?.refusedIncarnations.has(incarnationKey(worker))) return false;
    const grant = known?.grants.get(worker.id);
    return grant?.incarnation === worker.entry.born ? true : undefined;
  }

  /** A worker did not take a ticket. */
  dropTicket(
    step: stepInstance.StepInstance,
    worker: remoteWorker.RemoteWorker,
  ): void {
    this.steps.get(step)?.grants.delete(worker.id);
  }

  /** Forgets a step that needs no tickets any more. */
  forget(step: stepInstance.StepInstance): void {
    this.steps.delete(step);
  }

  /** Says in a few words what is known about a step. */
  describe(step: stepInstance.StepInstance, now: clock.Milliseconds): string {
    const known = this.steps.get(step);
    if (known === undefined) return 'never asked';
    const valid = [...known.grants.values()].filter(
      grant => grant.validUntil > now,
    );
    const state = known.callInFlight ? 'asking' : 'idle';
    return `${state} granted=${known.grants.size} valid=${valid.length} refused=${known.refusedIncarnations.size}`;
  }

  /**
   * Tells whether a call about the step may be sent: none is out or was in vain
   * just now, and a VM can take it. Most steps of a flood wait for that.
   */
  canRequest(
    step: stepInstance.StepInstance,
    timing: job.AdviceTiming,
  ): boolean {
    const {callInFlight, backoffUntil} = this.adviceOf(step);
    if (callInFlight || backoffUntil > this.clock.now()) return false;
    return this.client.accepts(timing.decideMs);
  }

  /**
   * Asks about workers, where that may be done. Those with room come first; the others are named as well,
   * because most of a call's time does not depend on how many it names, and room
   * comes free there while the tickets are valid.
   */
  request(
    step: stepInstance.StepInstance,
    timing: job.AdviceTiming,
    withRoom: ReadonlyArray<remoteWorker.RemoteWorker>,
    others: ReadonlyArray<remoteWorker.RemoteWorker>,
  ): void {
    if (withRoom.length === 0) return;
    const now = this.clock.now();
    const advice = this.adviceOf(step);
    const named = this.selectWorkers(step, withRoom, others);
    const expectedMs = timing.decideMs + timing.eachMs * named.length;
    if (!this.client.accepts(expectedMs)) return;
    advice.callInFlight = true;
    void this.client
      .ask(
        step.name,
        named.map(worker => worker.id),
        expectedMs,
      )
      .then(outcome => {
        advice.callInFlight = false;
        this.handleOutcome(advice, named, outcome, timing, now + expectedMs);
      });
  }

  /** Workers that are known to be good are named before others. */
  private selectWorkers(
    step: stepInstance.StepInstance,
    withRoom: ReadonlyArray<remoteWorker.RemoteWorker>,
    others: ReadonlyArray<remoteWorker.RemoteWorker>,
  ): ReadonlyArray<remoteWorker.RemoteWorker> {
    const isGood = (worker: remoteWorker.RemoteWorker): boolean =>
      this.mayRun(step, worker) === true;
    const isUnknown = (worker: remoteWorker.RemoteWorker): boolean =>
      this.mayRun(step, worker) === undefined;
    return [
      ...withRoom.filter(isGood),
      ...withRoom.filter(isUnknown),
      ...others.filter(isGood),
      ...others.filter(isUnknown),
    ].slice(0, MAXIMUM_WORKERS_PER_CALL);
  }

  private handleOutcome(
    advice: StepAdvice,
    named: ReadonlyArray<remoteWorker.RemoteWorker>,
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
    // Validity counts from the service's answer, which is not later than now.
    const validFrom = Math.min(now, expectedAnswerAt);
    const validUntil = validFrom + timing.validMs - TICKET_VALIDITY_MARGIN_MS;
    for (const worker of named) {
      const ticket = tickets.get(worker.id);
      if (ticket === undefined) {
        advice.refusedIncarnations.add(incarnationKey(worker));
        advice.grants.delete(worker.id);
        continue;
      }
      const {born} = worker.entry;
      advice.grants.set(worker.id, {ticket, incarnation: born, validUntil});
    }
    this.onAdvice();
  }

  private adviceOf(step: stepInstance.StepInstance): StepAdvice {
    const known = this.steps.get(step);
    if (known !== undefined) return known;
    const opened: StepAdvice = {
      grants: new Map(),
      refusedIncarnations: new Set(),
      callInFlight: false,
      backoffUntil: 0,
    };
    this.steps.set(step, opened);
    return opened;
  }
}

function incarnationKey(worker: remoteWorker.RemoteWorker): string {
  return `${worker.id}/${worker.entry.born}`;
}
