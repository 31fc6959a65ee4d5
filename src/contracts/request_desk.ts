import * as callReply from './call_reply.js';
import * as callRouter from './call_router.js';
import * as effects from './effect.js';
import * as identities from './identity.js';
import * as journalKeeper from './journal_keeper.js';
import * as offerHost from './offer_host.js';
import * as offers from './offers.js';
import * as recoveries from './recovery.js';
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

/** The queue as the desk uses it. */
export interface DeskQueue extends offerHost.OfferQueue {
  /** Takes out requests whose latest start has passed. */
  takeExpired(now: clock.Milliseconds): ReadonlyArray<request.Request>;
  /** Requests that wait, the longest waiting first; at most `limit`. */
  waiting(limit: number): ReadonlyArray<request.Request>;
  /** Why a request waits; empty when nothing is known. */
  explain(identity: string, now: clock.Milliseconds): string;
}

/** What a desk is made with. */
export interface DeskParts {
  readonly self: string;
  readonly random: randomSource.RandomSource;
  readonly documents: requestBuilder.ConfigurationSource;
  readonly queue: DeskQueue;
  readonly runner: taskRunner.TaskRunner;
  readonly directory: processDirectory.ProcessDirectory;
  readonly workers: recoveries.WorkerAddresses;
  readonly retries: requestLifecycle.RetryAllowance;
  /** Whether this process has been taken for dead and can't act any more. */
  readonly isSuperseded: () => boolean;
}

type CallOf<Kind extends event.CallEvent['kind']> = Extract<
  event.CallEvent,
  {readonly kind: Kind}
>;

/** Most waiting requests that are looked at for an offer in one turn. */
const OFFER_CANDIDATES = 16;

/** Most identities that one call reserves. */
const IDENTITIES_LIMIT = 1_000;

/**
 * Takes requests from their arrival to their answer: calls of clients, the
 * states of requests, offers to other processes, and recovery.
 */
export class RequestDesk implements callRouter.LocalDesk {
  private readonly table = new requestTable.RequestTable();
  private readonly issuer: identities.IdentityIssuer;
  private readonly builder: requestBuilder.RequestBuilder;
  private readonly journal: journalKeeper.JournalKeeper;
  private readonly lifecycle: requestLifecycle.RequestLifecycle;
  private readonly offers: offers.Offers;
  private readonly host: offerHost.OfferHost;
  private readonly witnesses: witnessStore.WitnessStore;
  private readonly recovery: recoveries.Recovery;
  private readonly router: callRouter.CallRouter;
  private draining = false;

  constructor(private readonly parts: DeskParts) {
    const {self, directory, queue, runner, retries} = parts;
    const table = this.table;
    this.issuer = new identities.IdentityIssuer(self, parts.random);
    this.builder = new requestBuilder.RequestBuilder(parts.documents);
    this.journal = new journalKeeper.JournalKeeper(self, directory);
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
    this.offers = new offers.Offers({
      table,
      queue,
      lifecycle,
      journal,
      directory,
    });
    this.host = new offerHost.OfferHost({
      self,
      builder,
      table,
      queue,
      lifecycle,
      offers: this.offers,
    });
    this.witnesses = new witnessStore.WitnessStore(self, directory);
    this.recovery = new recoveries.Recovery(
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

  /** Requests that have not ended. */
  unfinishedCount(): number {
    return this.table.unfinishedCount();
  }

  /** Whether everything that was taken in has ended and is recorded. */
  isIdle(): boolean {
    return (
      this.table.unfinishedCount() === 0 && this.journal.unrecordedCount() === 0
    );
  }

  /** Whether new requests are refused because the process shuts down. */
  isDraining(): boolean {
    return this.draining;
  }

  /** Handles one event; the zone and the documents have handled it before. */
  handle(
    handled: event.Event,
    now: clock.Milliseconds,
  ): ReadonlyArray<effects.Effect> {
    const wanted = this.isForRecovery(handled);
    const done: effects.Effect[] = [
      ...this.witnesses.handle(handled, now),
      ...this.router.handle(handled, now),
      ...this.host.handle(handled, now),
      ...this.recover(handled, now),
      ...(wanted ? [] : this.advance(handled, now)),
      ...this.takeOffers(this.offers.handle(handled, now), now),
      ...this.handleCall(handled, now),
    ];
    if (handled.kind === 'timePassed') done.push(...this.expire(now));
    done.push(...this.lifecycle.placeWaiting(now));
    if (handled.kind === 'timePassed') done.push(...this.offerWaiting(now));
    done.push(...this.journal.flush(now), ...this.finishTurn());
    return done;
  }

  /** When `timePassed` is wanted next. */
  nextDeadline(): clock.Milliseconds {
    return Math.min(
      this.table.nextDeadline(),
      this.lifecycle.nextDeadline(),
      this.offers.nextDeadline(),
      this.recovery.nextDeadline(),
      this.router.nextDeadline(),
      this.journal.nextDeadline(),
      this.parts.runner.nextDeadline(),
    );
  }

  answerHere(
    call: callRouter.IdentityCall,
    identity: string,
    now: clock.Milliseconds,
  ): ReadonlyArray<effects.Effect> {
    const known = this.table.get(identity);
    if (known === undefined || known.request.client !== call.client) {
      return this.unknownIdentity(call, identity);
    }
    switch (call.kind) {
      case 'requestArrived':
        return this.repeated(call, known, now);
      case 'fetchArrived':
        return this.table.wait(identity, call, now + call.waitMs, now);
      case 'cancelArrived':
        return this.cancel(call, identity, now);
      case 'explainArrived':
        return [this.explain(call, known, now)];
    }
  }

  bury(identity: string, now: clock.Milliseconds): boolean {
    return this.offers.bury(identity, Infinity, now);
  }

  isIdempotent(call: callRouter.IdentityCall): boolean | undefined {
    if (call.kind !== 'requestArrived') return undefined;
    return this.builder.isIdempotent(call.submission);
  }

  private handleCall(
    handled: event.Event,
    now: clock.Milliseconds,
  ): ReadonlyArray<effects.Effect> {
    switch (handled.kind) {
      case 'identitiesArrived':
        return this.issueIdentities(handled, now);
      case 'requestArrived':
        if (handled.identity === undefined) {
          return this.requestArrived(handled, undefined, now);
        }
        return this.identityCall(handled, handled.identity, now);
      case 'fetchArrived':
      case 'cancelArrived':
      case 'explainArrived':
        return this.identityCall(handled, handled.identity, now);
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

  /** Why no new requests are taken; undefined when they are. */
  private closedReason(): result.Failure | undefined {
    if (this.draining) {
      return result.failure('draining', 'this process is shutting down');
    }
    if (this.parts.isSuperseded()) {
      const detail = 'another process has taken over from this one';
      return result.failure('noAuthority', detail);
    }
    if (this.parts.directory.hasJoined()) return undefined;
    // Nobody would succeed to the identities of a process that is no member.
    return result.failure('noAuthority', 'this process has not joined yet');
  }

  private issueIdentities(
    call: CallOf<'identitiesArrived'>,
    now: clock.Milliseconds,
  ): ReadonlyArray<effects.Effect> {
    const closed = this.closedReason();
    if (closed !== undefined) return callReply.refuse(call.call, closed);
    const count = Math.min(call.count, IDENTITIES_LIMIT);
    const issued: string[] = [];
    while (issued.length < count) {
      issued.push(this.issuer.issue(call.client, now));
    }
    const {code} = result.RESULT_CODES.ok;
    const reply = {code, identities: issued};
    return [{kind: 'answerCaller', call: call.call, reply}];
  }

  private identityCall(
    call: callRouter.IdentityCall,
    identity: string,
    now: clock.Milliseconds,
  ): ReadonlyArray<effects.Effect> {
    const known = this.table.get(identity);
    if (known !== undefined && isDecidedHere(known)) {
      return this.answerHere(call, identity, now);
    }
    const home = identities.parseIdentity(identity)?.home;
    if (home === undefined) return this.unknownIdentity(call, identity);
    if (home !== this.parts.self) {
      return this.router.route(call, identity, home, now);
    }
    const check = this.issuer.check(identity, call.client, now);
    const refusal = callReply.identityRefusal(check, identity);
    if (refusal !== undefined) {
      return callReply.refuse(call.call, refusal, identity);
    }
    if (call.kind === 'requestArrived') {
      return this.requestArrived(call, identity, now);
    }
    return this.unusedIdentity(call, identity);
  }

  /** The submission may be on its way; a cancellation stops it on arrival. */
  private unusedIdentity(
    call: callRouter.IdentityCall,
    identity: string,
  ): ReadonlyArray<effects.Effect> {
    if (call.kind === 'cancelArrived') {
      const detail = 'cancelled before its submission arrived';
      const cancelled = result.failure('cancelled', detail);
      return this.refuseFinally(call.call, cancelled, identity);
    }
    const detail = 'no submission with this identity has arrived';
    const unknown = result.failure('unknownOutcome', detail);
    return callReply.refuse(call.call, unknown, identity);
  }

  /** Refuses a request for good: no later call may run it after all. */
  private refuseFinally(
    call: event.CallNumber,
    refusal: result.Failure,
    identity: string | undefined,
  ): ReadonlyArray<effects.Effect> {
    if (identity !== undefined) this.issuer.refuse(identity);
    return callReply.refuse(call, refusal, identity);
  }

  private requestArrived(
    call: CallOf<'requestArrived'>,
    reserved: string | undefined,
    now: clock.Milliseconds,
  ): ReadonlyArray<effects.Effect> {
    const closed = this.closedReason();
    if (closed !== undefined) {
      return this.refuseFinally(call.call, closed, reserved);
    }
    const identity = reserved ?? this.issuer.issue(call.client, now);
    const {client, submission} = call;
    const sender = {identity, client, reserved: reserved !== undefined};
    return this.builder.build(submission, sender, now).caseOf({
      Left: refusal => this.refuseFinally(call.call, refusal, reserved),
      Right: built => this.admit(call, built, now),
    });
  }

  private admit(
    call: CallOf<'requestArrived'>,
    built: request.Request,
    now: clock.Milliseconds,
  ): ReadonlyArray<effects.Effect> {
    const refusal =
      this.recordRefusal(built) ?? this.parts.queue.admit(built, now);
    if (refusal !== undefined) {
      return this.refuseFinally(call.call, refusal, built.identity);
    }
    this.table.add(built);
    return this.table.wait(built.identity, call, now + call.waitMs, now);
  }

  private recordRefusal(built: request.Request): result.Failure | undefined {
    if (built.workload.idempotent || this.journal.available()) return undefined;
    return result.failure(
      'logUnavailable',
      'the log gives no answer and no other process can witness the start',
    );
  }

  private repeated(
    call: CallOf<'requestArrived'>,
    known: requestTable.RequestEntry,
    now: clock.Milliseconds,
  ): ReadonlyArray<effects.Effect> {
    const {request: first} = known;
    const same =
      first.team === call.submission.team &&
      first.workload.name === call.submission.workload &&
      first.payload === call.submission.payload;
    if (!same) {
      const detail = `identity ${first.identity} belongs to another submission`;
      const conflict = result.failure('identityConflict', detail);
      return callReply.refuse(call.call, conflict, first.identity);
    }
    return this.table.wait(first.identity, call, now + call.waitMs, now);
  }

  private cancel(
    call: CallOf<'cancelArrived'>,
    identity: string,
    now: clock.Milliseconds,
  ): ReadonlyArray<effects.Effect> {
    const withdrawn = this.offers.cancel(identity, now);
    const done =
      withdrawn === undefined
        ? this.lifecycle.cancel(identity, now)
        : this.takeOffers(withdrawn, now);
    return [...done, ...this.table.wait(identity, call, now, now)];
  }

  private explain(
    call: CallOf<'explainArrived'>,
    known: requestTable.RequestEntry,
    now: clock.Milliseconds,
  ): effects.Effect {
    const {identity, arrivedAt, startBy} = known.request;
    const waits = known.state === 'queued';
    const detail = waits ? this.parts.queue.explain(identity, now) : '';
    const content = {
      home: this.parts.self,
      state: known.state,
      reason: detail === '' ? known.reason : detail,
      worker: known.worker,
      tasks: known.tasks,
      attempts: known.attempts,
      cancelled: known.cancelled,
      recorded: known.recorded,
      ageMs: Math.round(now - arrivedAt),
      ...(startBy < Infinity ? {startWithinMs: Math.round(startBy - now)} : {}),
      ...(known.ending === undefined ? {} : {result: known.ending.result}),
    };
    const {code} = result.RESULT_CODES.ok;
    const reply = {code, identity, state: known.state, content};
    return {kind: 'answerCaller', call: call.call, reply};
  }

  /** The zone marks the worker; here the operator is answered. */
  private drainWorker(
    call: event.CallNumber,
    worker: string,
  ): ReadonlyArray<effects.Effect> {
    if (this.parts.workers.address(worker) === undefined) {
      const detail = `worker: ${worker}: must be a worker of this zone`;
      return callReply.refuse(call, result.failure('invalidField', detail));
    }
    const {code} = result.RESULT_CODES.ok;
    const reply = {code, content: {leavingWorker: worker}};
    return [{kind: 'answerCaller', call, reply}];
  }

  private drain(call: CallOf<'drainArrived'>): ReadonlyArray<effects.Effect> {
    this.draining = true;
    this.host.drain();
    const {code} = result.RESULT_CODES.ok;
    const content = {unfinished: this.table.unfinishedCount()};
    return [
      effects.log('info', 'drainBegun', content),
      {kind: 'answerCaller', call: call.call, reply: {code, content}},
    ];
  }

  private unknownIdentity(
    call: callRouter.IdentityCall,
    identity: string,
  ): ReadonlyArray<effects.Effect> {
    return callReply.refuse(call.call, callReply.unknownIdentity(identity));
  }

  /** Whether an answer was fetched for recovery and not for a runner's task. */
  private isForRecovery(handled: event.Event): boolean {
    if (handled.kind !== 'taskAnswerArrived') return false;
    if (this.parts.runner.isTracked(handled.task)) return false;
    return this.recovery.expects(handled.task);
  }

  private recover(
    handled: event.Event,
    now: clock.Milliseconds,
  ): ReadonlyArray<effects.Effect> {
    return this.takeRecovery(this.recovery.handle(handled, now), now);
  }

  private takeRecovery(
    turn: recoveries.RecoveryTurn,
    now: clock.Milliseconds,
  ): ReadonlyArray<effects.Effect> {
    const done = [...turn.effects];
    for (const answer of turn.answers) {
      done.push(...this.router.takeAnswer(answer, now));
      done.push(...this.resolveOffer(answer, now));
    }
    return done;
  }

  private resolveOffer(
    answer: recoveries.RecoveryAnswer,
    now: clock.Milliseconds,
  ): ReadonlyArray<effects.Effect> {
    const {identity, process} = answer.question;
    if (identities.parseIdentity(identity)?.home !== this.parts.self) return [];
    const {finding} = answer;
    switch (finding.kind) {
      case 'notRun':
        return this.offers.resolve(identity, process, undefined, now).effects;
      case 'ended':
        return this.offers.resolve(identity, process, finding.ending, now)
          .effects;
      case 'lost': {
        const detail = `${process} is gone and left no proof`;
        const lost = {result: 'outcomeLost', detail, answer: ''} as const;
        return this.offers.resolve(identity, process, lost, now).effects;
      }
      default:
        return [];
    }
  }

  private takeOffers(
    turn: offers.OfferTurn,
    now: clock.Milliseconds,
  ): ReadonlyArray<effects.Effect> {
    const done = [...turn.effects];
    for (const {identity, process} of turn.orphaned) {
      const client = this.table.get(identity)?.request.client ?? '';
      const asked = this.recovery.ask({identity, client, process}, now);
      done.push(...this.takeRecovery(asked, now));
    }
    return done;
  }

  private advance(
    handled: event.Event,
    now: clock.Milliseconds,
  ): ReadonlyArray<effects.Effect> {
    const turn = this.lifecycle.handle(handled, now);
    for (const outcome of this.lifecycle.takeOrphans()) {
      this.recovery.noteOutcome(outcome);
    }
    return [
      ...turn.effects,
      ...this.takeOffers(this.offers.recorded(turn.recorded, now), now),
    ];
  }

  private expire(now: clock.Milliseconds): ReadonlyArray<effects.Effect> {
    const done: effects.Effect[] = [];
    for (const late of this.parts.queue.takeExpired(now)) {
      const detail = 'the latest start passed while the request waited';
      const ending = {result: 'deadlinePassed', detail, answer: ''} as const;
      done.push(effects.count('refusal', {reason: ending.result}));
      done.push(...this.lifecycle.end(late.identity, ending, now));
    }
    if (this.parts.isSuperseded()) done.push(...this.endWaiting(now));
    const turn = this.table.expire(now);
    for (const identity of turn.forgotten) this.parts.runner.forget(identity);
    this.offers.expire(turn.forgotten, now);
    return [...done, ...turn.effects];
  }

  /** A superseded process can't start what waits, now or later. */
  private endWaiting(now: clock.Milliseconds): ReadonlyArray<effects.Effect> {
    const detail = 'another process has taken over from this one';
    const ending = {result: 'noAuthority', detail, answer: ''} as const;
    const {queue} = this.parts;
    const done: effects.Effect[] = [];
    for (const {identity} of queue.waiting(queue.waitingCount())) {
      if (this.table.get(identity)?.state !== 'queued') continue;
      queue.remove(identity);
      done.push(...this.lifecycle.end(identity, ending, now));
    }
    return done;
  }

  private offerWaiting(now: clock.Milliseconds): ReadonlyArray<effects.Effect> {
    if (this.parts.isSuperseded()) return [];
    const waiting = this.parts.queue.waiting(OFFER_CANDIDATES);
    if (waiting.length === 0) return [];
    return this.takeOffers(this.offers.offerWaiting(waiting, now), now);
  }

  private finishTurn(): ReadonlyArray<effects.Effect> {
    return this.table.takeEnded().flatMap(entry => this.host.ended(entry));
  }
}

/** What did not run here for its home may still run elsewhere. */
function isDecidedHere(entry: requestTable.RequestEntry): boolean {
  if (entry.offeredBy === '') return true;
  if (entry.ending === undefined) return false;
  return result.RESULT_CODES[entry.ending.result].execution === 'ran';
}
