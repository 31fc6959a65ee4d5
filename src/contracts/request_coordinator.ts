import * as callReply from './call_reply.js';
import * as callRouter from './call_router.js';
import * as effect from './effect.js';
import * as identityIssuer from './identity_issuer.js';
import * as requestJournal from './request_journal.js';
import * as incomingOffers from './incoming_offers.js';
import * as outgoingOffers from './outgoing_offers.js';
import * as outcomeRecovery from './outcome_recovery.js';
import * as requestBuilder from './request_builder.js';
import * as requestLifecycle from './request_lifecycle.js';
import * as requestTable from './request_table.js';
import * as result from '../result.js';
import * as witnessStore from './witness_store.js';
import type * as clock from '../machines/clock.js';
import type * as event from './event.js';
import type * as processDirectory from './process_directory.js';
import type * as randomSource from '../machines/random_source.js';
import type * as request from './request.js';
import type * as taskRunner from '../machines/task_runner.js';

/** Queue of the scheduler, as the coordinator uses it. */
export interface CoordinatorQueue extends incomingOffers.AdmissionQueue {
  /** Removes and returns the requests whose start deadline has passed. */
  takeExpired(now: clock.Milliseconds): ReadonlyArray<request.Request>;
  /** Returns at most `limit` queued requests, the longest waiting first. */
  waiting(limit: number): ReadonlyArray<request.Request>;
  /** Returns why a request waits, or an empty text if it is not queued. */
  explain(identity: string, now: clock.Milliseconds): string;
}

/** Dependencies of a `RequestCoordinator`. */
export interface RequestCoordinatorDependencies {
  /** Name of this process. */
  readonly self: string;
  readonly random: randomSource.RandomSource;
  readonly documents: requestBuilder.ConfigurationSource;
  readonly queue: CoordinatorQueue;
  readonly runner: taskRunner.TaskRunner;
  readonly directory: processDirectory.ProcessDirectory;
  readonly workers: outcomeRecovery.WorkerDirectory;
  readonly retries: requestLifecycle.RetryLimiter;
  /** Whether a successor has taken over, so that this process must not act. */
  readonly isSuperseded: () => boolean;
}

type CallOf<Kind extends event.CallEvent['kind']> = Extract<
  event.CallEvent,
  {readonly kind: Kind}
>;

/** Maximum number of queued requests considered for an offer in one turn. */
const MAXIMUM_OFFER_CANDIDATES = 16;

/** Maximum number of identities that one call reserves. */
const MAXIMUM_IDENTITIES_PER_CALL = 1_000;

/**
 * Coordinates requests from their arrival to their answer. It dispatches events
 * to call routing, the request lifecycle, offers, the journal and recovery.
 */
export class RequestCoordinator implements callRouter.LocalRequestHandler {
  private readonly table = new requestTable.RequestTable();
  private readonly issuer: identityIssuer.IdentityIssuer;
  private readonly builder: requestBuilder.RequestBuilder;
  private readonly journal: requestJournal.RequestJournal;
  private readonly lifecycle: requestLifecycle.RequestLifecycle;
  private readonly outgoing: outgoingOffers.OutgoingOffers;
  private readonly incoming: incomingOffers.IncomingOffers;
  private readonly witnesses: witnessStore.WitnessStore;
  private readonly recovery: outcomeRecovery.OutcomeRecovery;
  private readonly router: callRouter.CallRouter;
  private draining = false;

  constructor(private readonly parts: RequestCoordinatorDependencies) {
    const {self, directory, queue, runner, retries} = parts;
    const table = this.table;
    this.issuer = new identityIssuer.IdentityIssuer(self, parts.random);
    this.builder = new requestBuilder.RequestBuilder(parts.documents);
    this.journal = new requestJournal.RequestJournal(self, directory);
    const {journal, builder} = this;
    this.lifecycle = new requestLifecycle.RequestLifecycle({
      table,
      queue,
      runner,
      journal,
      retries,
      directory,
    });
    const {lifecycle} = this;
    this.outgoing = new outgoingOffers.OutgoingOffers({
      table,
      queue,
      lifecycle,
      journal,
      directory,
    });
    this.incoming = new incomingOffers.IncomingOffers({
      self,
      builder,
      table,
      queue,
      lifecycle,
      offers: this.outgoing,
    });
    this.witnesses = new witnessStore.WitnessStore(self, directory);
    this.recovery = new outcomeRecovery.OutcomeRecovery(
      directory,
      parts.workers,
      this.witnesses,
    );
    this.router = new callRouter.CallRouter(
      self,
      directory,
      this.recovery,
      this,
    );
  }

  /** Returns the number of requests that have not ended. */
  unfinishedCount(): number {
    return this.table.unfinishedCount();
  }

  /** Returns whether all admitted requests have ended, with recorded ends. */
  isIdle(): boolean {
    return (
      this.table.unfinishedCount() === 0 && this.journal.unrecordedCount() === 0
    );
  }

  /** Returns whether new requests are refused because of a shutdown. */
  isDraining(): boolean {
    return this.draining;
  }

  /** Handles one event after the zone and the configuration handled it. */
  handle(
    handled: event.Event,
    now: clock.Milliseconds,
  ): ReadonlyArray<effect.Effect> {
    const isRecoveryAnswer = this.isForRecovery(handled);
    const produced: effect.Effect[] = [
      ...this.witnesses.handle(handled, now),
      ...this.router.handle(handled, now),
      ...this.incoming.handle(handled, now),
      ...this.handleByRecovery(handled, now),
      ...(isRecoveryAnswer ? [] : this.handleByLifecycle(handled, now)),
      ...this.applyOfferOutput(this.outgoing.handle(handled, now), now),
      ...this.handleCall(handled, now),
    ];
    if (handled.kind === 'timePassed') produced.push(...this.expire(now));
    produced.push(...this.lifecycle.placeWaiting(now));
    if (handled.kind === 'timePassed') produced.push(...this.offerWaiting(now));
    produced.push(...this.journal.flush(now), ...this.answerEndedOffers());
    return produced;
  }

  /** Returns the time at which the next `timePassed` event is needed. */
  nextDeadline(): clock.Milliseconds {
    return Math.min(
      this.table.nextDeadline(),
      this.lifecycle.nextDeadline(),
      this.outgoing.nextDeadline(),
      this.recovery.nextDeadline(),
      this.router.nextDeadline(),
      this.journal.nextDeadline(),
      this.parts.runner.nextDeadline(),
    );
  }

  answerLocally(
    call: callRouter.IdentityCall,
    identity: string,
    now: clock.Milliseconds,
  ): ReadonlyArray<effect.Effect> {
    const entry = this.table.get(identity);
    if (entry === undefined || entry.request.client !== call.client) {
      return this.refuseUnknown(call, identity);
    }
    switch (call.kind) {
      case 'requestArrived':
        return this.answerRepeat(call, entry, now);
      case 'fetchArrived':
        return this.table.answerAtEnd(identity, call, now + call.waitMs, now);
      case 'cancelArrived':
        return this.cancel(call, identity, now);
      case 'explainArrived':
        return [this.explain(call, entry, now)];
    }
  }

  preventRun(identity: string, now: clock.Milliseconds): boolean {
    return this.outgoing.preventRun(identity, Infinity, now);
  }

  isIdempotent(call: callRouter.IdentityCall): boolean | undefined {
    if (call.kind !== 'requestArrived') return undefined;
    return this.builder.isIdempotent(call.submission);
  }

  private handleCall(
    handled: event.Event,
    now: clock.Milliseconds,
  ): ReadonlyArray<effect.Effect> {
    switch (handled.kind) {
      case 'identitiesArrived':
        return this.issueIdentities(handled, now);
      case 'requestArrived':
        if (handled.identity === undefined) {
          return this.submitRequest(handled, undefined, now);
        }
        return this.handleIdentityCall(handled, handled.identity, now);
      case 'fetchArrived':
      case 'cancelArrived':
      case 'explainArrived':
        return this.handleIdentityCall(handled, handled.identity, now);
      case 'drainArrived':
        return handled.worker === undefined
          ? this.drain(handled)
          : this.drainWorker(handled.call, handled.worker);
      case 'callEnded':
        this.table.forgetCall(handled.call);
        return [];
      default:
        return [];
    }
  }

  /** Returns why new requests are refused; undefined if they are accepted. */
  private admissionRefusal(): result.Failure | undefined {
    if (this.draining) {
      return result.failure('draining', 'this process is shutting down');
    }
    if (this.parts.isSuperseded()) {
      const detail = 'another process has taken over from this one';
      return result.failure('noAuthority', detail);
    }
    if (this.parts.directory.hasJoined()) return undefined;
    // Without membership no successor would recover this process's identities.
    return result.failure('noAuthority', 'this process has not joined yet');
  }

  private issueIdentities(
    call: CallOf<'identitiesArrived'>,
    now: clock.Milliseconds,
  ): ReadonlyArray<effect.Effect> {
    const refusal = this.admissionRefusal();
    if (refusal !== undefined) return callReply.refuse(call.call, refusal);
    const count = Math.min(call.count, MAXIMUM_IDENTITIES_PER_CALL);
    const issued: string[] = [];
    while (issued.length < count) {
      issued.push(this.issuer.issue(call.client, now));
    }
    const {code} = result.RESULT_CODES.ok;
    const reply = {code, identities: issued};
    return [{kind: 'answerCaller', call: call.call, reply}];
  }

  private handleIdentityCall(
    call: callRouter.IdentityCall,
    identity: string,
    now: clock.Milliseconds,
  ): ReadonlyArray<effect.Effect> {
    const entry = this.table.get(identity);
    if (entry !== undefined && isDecidedHere(entry)) {
      return this.answerLocally(call, identity, now);
    }
    const home = identityIssuer.parse(identity)?.home;
    if (home === undefined) return this.refuseUnknown(call, identity);
    if (home !== this.parts.self) {
      return this.router.route(call, identity, home, now);
    }
    const status = this.issuer.check(identity, call.client, now);
    const refusal = callReply.identityRefusal(status, identity);
    if (refusal !== undefined) {
      return callReply.refuse(call.call, refusal, identity);
    }
    if (call.kind === 'requestArrived') {
      return this.submitRequest(call, identity, now);
    }
    return this.answerUnusedIdentity(call, identity);
  }

  /**
   * Answers a call about an identity without a submission, which may still be
   * in transit. A cancellation blocks the identity, so that it can't run later.
   */
  private answerUnusedIdentity(
    call: callRouter.IdentityCall,
    identity: string,
  ): ReadonlyArray<effect.Effect> {
    if (call.kind === 'cancelArrived') {
      const detail = 'cancelled before its submission arrived';
      const cancelled = result.failure('cancelled', detail);
      return this.refusePermanently(call.call, cancelled, identity);
    }
    const detail = 'no submission with this identity has arrived';
    const unknown = result.failure('unknownOutcome', detail);
    return callReply.refuse(call.call, unknown, identity);
  }

  /** Refuses a request and its identity, so that no later call can run it. */
  private refusePermanently(
    call: event.CallNumber,
    refusal: result.Failure,
    identity: string | undefined,
  ): ReadonlyArray<effect.Effect> {
    if (identity !== undefined) this.issuer.refuse(identity);
    return callReply.refuse(call, refusal, identity);
  }

  private submitRequest(
    call: CallOf<'requestArrived'>,
    reserved: string | undefined,
    now: clock.Milliseconds,
  ): ReadonlyArray<effect.Effect> {
    const closedRefusal = this.admissionRefusal();
    if (closedRefusal !== undefined) {
      return this.refusePermanently(call.call, closedRefusal, reserved);
    }
    const identity = reserved ?? this.issuer.issue(call.client, now);
    const {client, submission} = call;
    const sender = {identity, client, reserved: reserved !== undefined};
    return this.builder.build(submission, sender, now).caseOf({
      Left: refusal => this.refusePermanently(call.call, refusal, reserved),
      Right: built => this.admit(call, built, now),
    });
  }

  private admit(
    call: CallOf<'requestArrived'>,
    built: request.Request,
    now: clock.Milliseconds,
  ): ReadonlyArray<effect.Effect> {
    const refusal =
      this.journalRefusal(built) ?? this.parts.queue.admit(built, now);
    if (refusal !== undefined) {
      return this.refusePermanently(call.call, refusal, built.identity);
    }
    this.table.add(built);
    return this.table.answerAtEnd(built.identity, call, now + call.waitMs, now);
  }

  private journalRefusal(built: request.Request): result.Failure | undefined {
    if (built.workload.idempotent || this.journal.isAvailable()) {
      return undefined;
    }
    return result.failure(
      'logUnavailable',
      'the log does not answer and no other process can witness the start',
    );
  }

  private answerRepeat(
    call: CallOf<'requestArrived'>,
    entry: requestTable.RequestEntry,
    now: clock.Milliseconds,
  ): ReadonlyArray<effect.Effect> {
    const {request: first} = entry;
    const isSameSubmission =
      first.team === call.submission.team &&
      first.workload.name === call.submission.workload &&
      first.payload === call.submission.payload;
    if (!isSameSubmission) {
      const detail = `identity ${first.identity} belongs to another submission`;
      const conflict = result.failure('identityConflict', detail);
      return callReply.refuse(call.call, conflict, first.identity);
    }
    return this.table.answerAtEnd(first.identity, call, now + call.waitMs, now);
  }

  private cancel(
    call: CallOf<'cancelArrived'>,
    identity: string,
    now: clock.Milliseconds,
  ): ReadonlyArray<effect.Effect> {
    const withdrawn = this.outgoing.cancel(identity, now);
    const produced =
      withdrawn === undefined
        ? this.lifecycle.cancel(identity, now)
        : this.applyOfferOutput(withdrawn, now);
    return [...produced, ...this.table.answerAtEnd(identity, call, now, now)];
  }

  private explain(
    call: CallOf<'explainArrived'>,
    entry: requestTable.RequestEntry,
    now: clock.Milliseconds,
  ): effect.Effect {
    const {identity, arrivedAt, startBy} = entry.request;
    const isQueued = entry.state === 'queued';
    const detail = isQueued ? this.parts.queue.explain(identity, now) : '';
    const content = {
      home: this.parts.self,
      state: entry.state,
      reason: detail === '' ? entry.reason : detail,
      worker: entry.worker,
      tasks: entry.tasks,
      attempts: entry.attempts,
      cancelled: entry.cancelled,
      recorded: entry.hasJournalEntry,
      ageMs: Math.round(now - arrivedAt),
      ...(startBy < Infinity ? {startWithinMs: Math.round(startBy - now)} : {}),
      ...(entry.outcome === undefined ? {} : {result: entry.outcome.result}),
    };
    const {code} = result.RESULT_CODES.ok;
    const reply = {code, identity, state: entry.state, content};
    return {kind: 'answerCaller', call: call.call, reply};
  }

  /** Answers the operator; the zone handles the drain of the worker itself. */
  private drainWorker(
    call: event.CallNumber,
    worker: string,
  ): ReadonlyArray<effect.Effect> {
    if (this.parts.workers.address(worker) === undefined) {
      const detail = `worker: ${worker}: must be a worker of this zone`;
      return callReply.refuse(call, result.failure('invalidField', detail));
    }
    const {code} = result.RESULT_CODES.ok;
    const reply = {code, content: {leavingWorker: worker}};
    return [{kind: 'answerCaller', call, reply}];
  }

  private drain(call: CallOf<'drainArrived'>): ReadonlyArray<effect.Effect> {
    this.draining = true;
    this.incoming.drain();
    const {code} = result.RESULT_CODES.ok;
    const content = {unfinished: this.table.unfinishedCount()};
    return [
      effect.log('info', 'drainBegun', content),
      {kind: 'answerCaller', call: call.call, reply: {code, content}},
    ];
  }

  private refuseUnknown(
    call: callRouter.IdentityCall,
    identity: string,
  ): ReadonlyArray<effect.Effect> {
    return callReply.refuse(call.call, callReply.unknownIdentity(identity));
  }

  /** Returns whether an answer was fetched for recovery, not the runner. */
  private isForRecovery(handled: event.Event): boolean {
    if (handled.kind !== 'taskAnswerArrived') return false;
    if (this.parts.runner.isTracked(handled.task)) return false;
    return this.recovery.isFetching(handled.task);
  }

  private handleByRecovery(
    handled: event.Event,
    now: clock.Milliseconds,
  ): ReadonlyArray<effect.Effect> {
    return this.applyRecoveryOutput(this.recovery.handle(handled, now), now);
  }

  private applyRecoveryOutput(
    output: outcomeRecovery.RecoveryOutput,
    now: clock.Milliseconds,
  ): ReadonlyArray<effect.Effect> {
    const produced = [...output.effects];
    for (const recoveryResult of output.results) {
      produced.push(...this.router.handleRecoveryResult(recoveryResult, now));
      produced.push(...this.resolveOffer(recoveryResult, now));
    }
    return produced;
  }

  private resolveOffer(
    recoveryResult: outcomeRecovery.RecoveryResult,
    now: clock.Milliseconds,
  ): ReadonlyArray<effect.Effect> {
    const {identity, process} = recoveryResult.query;
    if (identityIssuer.parse(identity)?.home !== this.parts.self) return [];
    const {finding} = recoveryResult;
    switch (finding.kind) {
      case 'notRun':
        return this.outgoing.resolve(identity, process, undefined, now).effects;
      case 'ended':
        return this.outgoing.resolve(identity, process, finding.outcome, now)
          .effects;
      case 'lost': {
        const detail = `${process} has died and left no proof of the outcome`;
        const lost = {result: 'outcomeLost', detail, answer: ''} as const;
        return this.outgoing.resolve(identity, process, lost, now).effects;
      }
      default:
        return [];
    }
  }

  private applyOfferOutput(
    output: outgoingOffers.OfferOutput,
    now: clock.Milliseconds,
  ): ReadonlyArray<effect.Effect> {
    const produced = [...output.effects];
    for (const {identity, process} of output.offersToRecover) {
      const client = this.table.get(identity)?.request.client ?? '';
      const queried = this.recovery.query({identity, client, process}, now);
      produced.push(...this.applyRecoveryOutput(queried, now));
    }
    return produced;
  }

  private handleByLifecycle(
    handled: event.Event,
    now: clock.Milliseconds,
  ): ReadonlyArray<effect.Effect> {
    const output = this.lifecycle.handle(handled, now);
    for (const outcome of this.lifecycle.takeUnmatchedOutcomes()) {
      this.recovery.recordTaskOutcome(outcome);
    }
    return [
      ...output.effects,
      ...this.applyOfferOutput(
        this.outgoing.sendRecorded(output.recorded, now),
        now,
      ),
    ];
  }

  private expire(now: clock.Milliseconds): ReadonlyArray<effect.Effect> {
    const produced: effect.Effect[] = [];
    for (const expired of this.parts.queue.takeExpired(now)) {
      const detail = 'the start deadline passed while the request was queued';
      const outcome = {result: 'deadlinePassed', detail, answer: ''} as const;
      produced.push(effect.count('refusal', {reason: outcome.result}));
      produced.push(...this.lifecycle.end(expired.identity, outcome, now));
    }
    if (this.parts.isSuperseded()) produced.push(...this.endQueued(now));
    const expiry = this.table.expire(now);
    for (const identity of expiry.forgotten) this.parts.runner.forget(identity);
    this.outgoing.expire(expiry.forgotten, now);
    return [...produced, ...expiry.effects];
  }

  /** Ends queued requests, which a superseded process can never start. */
  private endQueued(now: clock.Milliseconds): ReadonlyArray<effect.Effect> {
    const detail = 'another process has taken over from this one';
    const outcome = {result: 'noAuthority', detail, answer: ''} as const;
    const {queue} = this.parts;
    const produced: effect.Effect[] = [];
    for (const {identity} of queue.waiting(queue.waitingCount())) {
      if (this.table.get(identity)?.state !== 'queued') continue;
      queue.remove(identity);
      produced.push(...this.lifecycle.end(identity, outcome, now));
    }
    return produced;
  }

  private offerWaiting(now: clock.Milliseconds): ReadonlyArray<effect.Effect> {
    if (this.parts.isSuperseded()) return [];
    const waiting = this.parts.queue.waiting(MAXIMUM_OFFER_CANDIDATES);
    if (waiting.length === 0) return [];
    return this.applyOfferOutput(this.outgoing.offerWaiting(waiting, now), now);
  }

  private answerEndedOffers(): ReadonlyArray<effect.Effect> {
    return this.table
      .takeEnded()
      .flatMap(entry => this.incoming.answerEnded(entry));
  }
}

/**
 * Returns whether the entry decides the outcome. An offer that did not run here
 * does not, because its home may still run the request elsewhere.
 */
function isDecidedHere(entry: requestTable.RequestEntry): boolean {
  if (entry.offeredBy === '') return true;
  if (entry.outcome === undefined) return false;
  return result.RESULT_CODES[entry.outcome.result].execution === 'ran';
}
