import * as identities from './identity.js';
import * as result from '../result.js';
import type * as clock from '../machines/clock.js';
import type * as effects from './effect.js';
import type * as event from './event.js';
import type * as offers from './offers.js';
import type * as request from './request.js';
import type * as requestBuilder from './request_builder.js';
import type * as requestLifecycle from './request_lifecycle.js';
import type * as requestTable from './request_table.js';

/** Queue that an offered request passes through in one turn. */
export interface OfferQueue extends requestLifecycle.RequestQueue {
  /** Takes a request in, or returns why not. */
  admit(
    admitted: request.Request,
    now: clock.Milliseconds,
  ): result.Failure | undefined;
  waitingCount(): number;
}

/** The objects that an offer host works with. */
export interface OfferHostParts {
  readonly self: string;
  readonly builder: requestBuilder.RequestBuilder;
  readonly table: requestTable.RequestTable;
  readonly queue: OfferQueue;
  readonly lifecycle: requestLifecycle.RequestLifecycle;
  readonly offers: offers.Offers;
}

/**
 * Runs what other processes offer. An offer is placed in the turn in which it
 * arrives or refused for good: the refused identity never runs here.
 */
export class OfferHost {
  private readonly waiting = new Map<string, event.CallNumber[]>();
  private draining = false;

  constructor(private readonly parts: OfferHostParts) {}

  /** Refuses further offers. */
  drain(): void {
    this.draining = true;
  }

  /** Handles offers and withdrawals; ignores other events. */
  handle(
    handled: event.Event,
    now: clock.Milliseconds,
  ): ReadonlyArray<effects.Effect> {
    switch (handled.kind) {
      case 'offerArrived':
        return this.offered(handled, now);
      case 'withdrawArrived':
        return this.withdrawn(handled, now);
      default:
        return [];
    }
  }

  /** Answers the offers of requests that have ended. */
  ended(entry: requestTable.RequestEntry): ReadonlyArray<effects.Effect> {
    const {identity} = entry.request;
    const calls = this.waiting.get(identity) ?? [];
    this.waiting.delete(identity);
    return calls.map(call => answerEnded(call, entry));
  }

  private offered(
    offer: Extract<event.Event, {kind: 'offerArrived'}>,
    now: clock.Milliseconds,
  ): ReadonlyArray<effects.Effect> {
    const {call, identity} = offer;
    if (offer.to !== this.parts.self) return [answer(call, 'unknownOutcome')];
    if (identities.parseIdentity(identity)?.home !== offer.from) {
      return [answer(call, 'unknownIdentity')];
    }
    const known = this.currentEntry(identity, offer.attempt ?? 0, offer.from);
    if (known === undefined) return this.takeOffer(offer, now);
    if (known.request.client !== offer.client) {
      return [answer(call, 'unknownIdentity')];
    }
    return this.join(known, call);
  }

  /** An earlier offer that ended as not run makes room for a later one. */
  private currentEntry(
    identity: string,
    attempt: number,
    from: string,
  ): requestTable.RequestEntry | undefined {
    const {table} = this.parts;
    const known = table.get(identity);
    if (known?.ending === undefined) return known;
    const notRun =
      result.RESULT_CODES[known.ending.result].execution === 'notRun';
    const later = attempt > known.offerAttempt;
    if (!notRun || !later || known.offeredBy !== from) return known;
    table.forget(identity);
    return undefined;
  }

  private join(
    known: requestTable.RequestEntry,
    call: event.CallNumber,
  ): ReadonlyArray<effects.Effect> {
    if (known.ending !== undefined) return [answerEnded(call, known)];
    const {identity} = known.request;
    this.waiting.set(identity, [...(this.waiting.get(identity) ?? []), call]);
    return [];
  }

  private takeOffer(
    offer: Extract<event.Event, {kind: 'offerArrived'}>,
    now: clock.Milliseconds,
  ): ReadonlyArray<effects.Effect> {
    const {call, identity, client, submission} = offer;
    const {builder, queue, table, lifecycle} = this.parts;
    const attempt = offer.attempt ?? 0;
    if (this.parts.offers.isBuried(identity, attempt)) {
      return [answer(call, 'cancelled')];
    }
    if (this.draining) return this.refuse(offer, 'draining', now);
    // What waits here already goes first.
    if (queue.waitingCount() > 0) return this.refuse(offer, 'queueFull', now);
    const sender = {identity, client, reserved: true};
    const built = builder.build(submission, sender, now).mapLeft(f => f.result);
    if (built.isLeft()) return this.refuse(offer, built.extract(), now);
    const offered = built.extract() as request.Request;
    const startBy = now + offer.remainingMs;
    const refusal = queue.admit({...offered, startBy}, now);
    if (refusal !== undefined) return this.refuse(offer, refusal.result, now);
    table.add({...offered, startBy}, {process: offer.from, attempt});
    const done = lifecycle.placeWaiting(now);
    if (queue.remove(identity)) {
      table.drop(identity);
      return [...done, ...this.refuse(offer, 'queueFull', now)];
    }
    const placed = table.get(identity);
    if (placed === undefined) return done;
    return [...done, ...this.join(placed, call)];
  }

  private refuse(
    offer: Extract<event.Event, {kind: 'offerArrived'}>,
    name: result.ResultName,
    now: clock.Milliseconds,
  ): ReadonlyArray<effects.Effect> {
    this.parts.offers.bury(offer.identity, offer.attempt ?? 0, now);
    return [answer(offer.call, name)];
  }

  private withdrawn(
    withdrawal: Extract<event.Event, {kind: 'withdrawArrived'}>,
    now: clock.Milliseconds,
  ): ReadonlyArray<effects.Effect> {
    const {call, identity, from, to} = withdrawal;
    const {lifecycle, offers: own, table} = this.parts;
    if (to !== this.parts.self) return [answerWithdraw(call, 'unknownOutcome')];
    const attempt = withdrawal.attempt ?? 0;
    this.currentEntry(identity, attempt, from);
    if (own.bury(identity, attempt, now)) {
      return [answerWithdraw(call, 'cancelled')];
    }
    if (table.get(identity)?.offeredBy !== from) {
      return [answerWithdraw(call, 'unknownIdentity')];
    }
    const done = lifecycle.cancel(identity, now);
    const ending = table.get(identity)?.ending;
    return [...done, answerWithdraw(call, ending?.result ?? 'accepted')];
  }
}

function answer(
  call: event.CallNumber,
  name: result.ResultName,
): effects.Effect {
  const {code} = result.RESULT_CODES[name];
  return {kind: 'answerOffer', call, code, answer: ''};
}

function answerEnded(
  call: event.CallNumber,
  entry: requestTable.RequestEntry,
): effects.Effect {
  const {ending} = entry;
  const {code} = result.RESULT_CODES[ending?.result ?? 'unknownOutcome'];
  return {kind: 'answerOffer', call, code, answer: ending?.answer ?? ''};
}

function answerWithdraw(
  call: event.CallNumber,
  name: result.ResultName,
): effects.Effect {
  const {code} = result.RESULT_CODES[name];
  return {kind: 'answerWithdraw', call, code};
}
