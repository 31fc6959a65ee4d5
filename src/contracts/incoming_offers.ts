import * as identityIssuer from './identity_issuer.js';
import * as result from '../result.js';
import type * as clock from '../machines/clock.js';
import type * as effect from './effect.js';
import type * as event from './event.js';
import type * as outgoingOffers from './outgoing_offers.js';
import type * as request from './request.js';
import type * as requestBuilder from './request_builder.js';
import type * as requestLifecycle from './request_lifecycle.js';
import type * as requestTable from './request_table.js';

/** Queue that admits an offered request and places it in the same turn. */
export interface AdmissionQueue extends requestLifecycle.PlacementQueue {
  /** Queues a request, or returns why it is refused. */
  admit(
    admitted: request.Request,
    now: clock.Milliseconds,
  ): result.Failure | undefined;
  waitingCount(): number;
}

/** Dependencies of `IncomingOffers`. */
export interface IncomingOffersDependencies {
  /** Name of this process. */
  readonly self: string;
  readonly builder: requestBuilder.RequestBuilder;
  readonly table: requestTable.RequestTable;
  readonly queue: AdmissionQueue;
  readonly lifecycle: requestLifecycle.RequestLifecycle;
  readonly offers: outgoingOffers.OutgoingOffers;
}

/**
 * Runs requests that other processes offer. An offer is either placed in the
 * turn in which it arrives or refused permanently, so that it never runs here
 * later.
 */
export class IncomingOffers {
  private readonly waitingCalls = new Map<string, event.CallNumber[]>();
  private draining = false;

  constructor(private readonly parts: IncomingOffersDependencies) {}

  /** Refuses all offers from now on. */
  drain(): void {
    this.draining = true;
  }

  /** Handles offers and withdrawals; ignores events of other kinds. */
  handle(
    handled: event.Event,
    now: clock.Milliseconds,
  ): ReadonlyArray<effect.Effect> {
    switch (handled.kind) {
      case 'offerArrived':
        return this.handleOffer(handled, now);
      case 'withdrawArrived':
        return this.handleWithdrawal(handled, now);
      default:
        return [];
    }
  }

  /** Answers the offers that wait for the end of this request. */
  answerEnded(entry: requestTable.RequestEntry): ReadonlyArray<effect.Effect> {
    const {identity} = entry.request;
    const calls = this.waitingCalls.get(identity) ?? [];
    this.waitingCalls.delete(identity);
    return calls.map(call => answerEndedOffer(call, entry));
  }

  private handleOffer(
    offer: Extract<event.Event, {kind: 'offerArrived'}>,
    now: clock.Milliseconds,
  ): ReadonlyArray<effect.Effect> {
    const {call, identity} = offer;
    if (offer.to !== this.parts.self) {
      return [answerOffer(call, 'unknownOutcome')];
    }
    if (identityIssuer.parse(identity)?.home !== offer.from) {
      return [answerOffer(call, 'unknownIdentity')];
    }
    const entry = this.entryForAttempt(
      identity,
      offer.attempt ?? 0,
      offer.from,
    );
    if (entry === undefined) return this.acceptOrRefuse(offer, now);
    if (entry.request.client !== offer.client) {
      return [answerOffer(call, 'unknownIdentity')];
    }
    return this.answerAtEnd(entry, call);
  }

  /**
   * Returns the entry that answers an offer. An entry that ended as not run is
   * removed when its home makes a later offer, which may run.
   */
  private entryForAttempt(
    identity: string,
    attempt: number,
    from: string,
  ): requestTable.RequestEntry | undefined {
    const {table} = this.parts;
    const entry = table.get(identity);
    if (entry?.outcome === undefined) return entry;
    const isNotRun =
      result.RESULT_CODES[entry.outcome.result].execution === 'notRun';
    const isLaterAttempt = attempt > entry.offerAttempt;
    if (!isNotRun || !isLaterAttempt || entry.offeredBy !== from) return entry;
    table.forgetEnded(identity);
    return undefined;
  }

  private answerAtEnd(
    entry: requestTable.RequestEntry,
    call: event.CallNumber,
  ): ReadonlyArray<effect.Effect> {
    if (entry.outcome !== undefined) return [answerEndedOffer(call, entry)];
    const {identity} = entry.request;
    this.waitingCalls.set(identity, [
      ...(this.waitingCalls.get(identity) ?? []),
      call,
    ]);
    return [];
  }

  private acceptOrRefuse(
    offer: Extract<event.Event, {kind: 'offerArrived'}>,
    now: clock.Milliseconds,
  ): ReadonlyArray<effect.Effect> {
    const {call, identity, client, submission} = offer;
    const {builder, queue, table, lifecycle} = this.parts;
    const attempt = offer.attempt ?? 0;
    if (this.parts.offers.isRunPrevented(identity, attempt)) {
      return [answerOffer(call, 'cancelled')];
    }
    if (this.draining) return this.refuse(offer, 'draining', now);
    // Requests that are queued here go before offered ones.
    if (queue.waitingCount() > 0) return this.refuse(offer, 'queueFull', now);
    const sender = {identity, client, reserved: true};
    const built = builder
      .build(submission, sender, now)
      .mapLeft(failure => failure.result);
    if (built.isLeft()) return this.refuse(offer, built.extract(), now);
    const offered = built.extract() as request.Request;
    const startBy = now + offer.remainingMs;
    const refusal = queue.admit({...offered, startBy}, now);
    if (refusal !== undefined) return this.refuse(offer, refusal.result, now);
    table.add({...offered, startBy}, {process: offer.from, attempt});
    const produced = lifecycle.placeWaiting(now);
    if (queue.remove(identity)) {
      table.dropQueued(identity);
      return [...produced, ...this.refuse(offer, 'queueFull', now)];
    }
    const placed = table.get(identity);
    if (placed === undefined) return produced;
    return [...produced, ...this.answerAtEnd(placed, call)];
  }

  private refuse(
    offer: Extract<event.Event, {kind: 'offerArrived'}>,
    name: result.ResultName,
    now: clock.Milliseconds,
  ): ReadonlyArray<effect.Effect> {
    this.parts.offers.preventRun(offer.identity, offer.attempt ?? 0, now);
    return [answerOffer(offer.call, name)];
  }

  private handleWithdrawal(
    withdrawal: Extract<event.Event, {kind: 'withdrawArrived'}>,
    now: clock.Milliseconds,
  ): ReadonlyArray<effect.Effect> {
    const {call, identity, from, to} = withdrawal;
    const {lifecycle, offers: outgoing, table} = this.parts;
    if (to !== this.parts.self) return [answerWithdraw(call, 'unknownOutcome')];
    const attempt = withdrawal.attempt ?? 0;
    this.entryForAttempt(identity, attempt, from);
    if (outgoing.preventRun(identity, attempt, now)) {
      return [answerWithdraw(call, 'cancelled')];
    }
    if (table.get(identity)?.offeredBy !== from) {
      return [answerWithdraw(call, 'unknownIdentity')];
    }
    const produced = lifecycle.cancel(identity, now);
    const outcome = table.get(identity)?.outcome;
    return [...produced, answerWithdraw(call, outcome?.result ?? 'accepted')];
  }
}

function answerOffer(
  call: event.CallNumber,
  name: result.ResultName,
): effect.Effect {
  const {code} = result.RESULT_CODES[name];
  return {kind: 'answerOffer', call, code, answer: ''};
}

function answerEndedOffer(
  call: event.CallNumber,
  entry: requestTable.RequestEntry,
): effect.Effect {
  const {outcome} = entry;
  const {code} = result.RESULT_CODES[outcome?.result ?? 'unknownOutcome'];
  return {kind: 'answerOffer', call, code, answer: outcome?.answer ?? ''};
}

function answerWithdraw(
  call: event.CallNumber,
  name: result.ResultName,
): effect.Effect {
  const {code} = result.RESULT_CODES[name];
  return {kind: 'answerWithdraw', call, code};
}
