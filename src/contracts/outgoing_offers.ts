import * as effect from './effect.js';
import * as result from '../result.js';
import type * as clock from '../machines/clock.js';
import type * as event from './event.js';
import type * as requestJournal from './request_journal.js';
import type * as processDirectory from './process_directory.js';
import type * as request from './request.js';
import type * as requestLifecycle from './request_lifecycle.js';
import type * as requestTable from './request_table.js';

/** Time that a request waits for its home's workers before it is offered. */
const OFFER_DELAY_MS = 250;

/** Maximum factor by which refusals delay the next offer. */
const MAXIMUM_BACKOFF_FACTOR = 8;

/** Maximum number of offers that are open at the same time. */
const MAXIMUM_OPEN_OFFERS = 16;

/** Time after which an unanswered offer is resent. */
const RESEND_INTERVAL_MS = 1_000;

/** Time within which the other process may start an offered request. */
const OFFER_EXPIRY_MS = 2_000;

/** Time for which a withdrawn or refused identity stays blocked. */
const TOMBSTONE_RETENTION_MS = 3_600_000;

/** Refusals of the offers of one request. */
interface RefusalHistory {
  readonly count: number;
  readonly lastPeer: string;
  /** Earliest time of the next offer. */
  readonly nextOfferAt: clock.Milliseconds;
}

/** Marks offers of an identity that must never run here. */
interface Tombstone {
  /** Number of the last blocked offer; earlier ones are blocked as well. */
  readonly lastAttempt: number;
  readonly createdAt: clock.Milliseconds;
}

/** An offer of this process whose outcome is not known yet. */
interface OpenOffer {
  readonly identity: string;
  readonly peer: string;
  readonly address: string;
  /** Number of the offer within its request; resending keeps the number. */
  readonly attempt: number;
  /** Number of the entry to be recorded before the offer is sent; 0: none. */
  readonly recordNumber: number;
  /** Whether the offer has been sent and its answer is missing. */
  readonly isSent: boolean;
  readonly resendAt: clock.Milliseconds;
}

/** An offer to a process whose successor has taken over. */
export interface OfferToRecover {
  readonly identity: string;
  readonly process: string;
}

/** Effects of one event or call, and the offers left to recovery. */
export interface OfferOutput {
  readonly effects: ReadonlyArray<effect.Effect>;
  /** Offers to dead processes; recovery reads the outcome in their journals. */
  readonly offersToRecover: ReadonlyArray<OfferToRecover>;
}

/** Dependencies of `OutgoingOffers`. */
export interface OutgoingOffersDependencies {
  readonly table: requestTable.RequestTable;
  readonly queue: requestLifecycle.PlacementQueue;
  readonly lifecycle: requestLifecycle.RequestLifecycle;
  readonly journal: requestJournal.RequestJournal;
  readonly directory: processDirectory.ProcessDirectory;
}

/**
 * Offers requests whose home is this process to other processes of the zone
 * while its own workers are full. A request is offered to another process or
 * placed here only after the last offer is proved not to have run.
 */
export class OutgoingOffers {
  private readonly openOffers = new Map<string, OpenOffer>();
  private readonly refusals = new Map<string, RefusalHistory>();
  private readonly tombstones = new Map<string, Tombstone>();
  private effects: effect.Effect[] = [];
  private offersToRecover: OfferToRecover[] = [];

  constructor(private readonly parts: OutgoingOffersDependencies) {}

  /** Offers requests that have waited long enough to other processes. */
  offerWaiting(
    waiting: ReadonlyArray<request.Request>,
    now: clock.Milliseconds,
  ): OfferOutput {
    for (const candidate of waiting) {
      if (this.openOffers.size >= MAXIMUM_OPEN_OFFERS) break;
      this.offer(candidate, now);
    }
    return this.takeOutput();
  }

  /** Handles answers to offers and withdrawals; ignores other events. */
  handle(handled: event.Event, now: clock.Milliseconds): OfferOutput {
    switch (handled.kind) {
      case 'offerAnswered':
        this.handleAnswer(handled, now);
        break;
      case 'offerLost':
        this.handleLostAnswer(handled, now);
        break;
      case 'withdrawAnswered':
        this.handleWithdrawAnswer(handled, now);
        break;
      case 'timePassed':
        this.resendOverdue(now);
        break;
    }
    return this.takeOutput();
  }

  /** Sends the offers whose journal entries have been recorded. */
  sendRecorded(
    numbers: ReadonlyArray<number>,
    now: clock.Milliseconds,
  ): OfferOutput {
    for (const offer of [...this.openOffers.values()]) {
      if (!offer.isSent && numbers.includes(offer.recordNumber)) {
        this.send(offer, now);
      }
    }
    return this.takeOutput();
  }

  /** Withdraws the offer of a cancelled request; undefined without an offer. */
  cancel(identity: string, now: clock.Milliseconds): OfferOutput | undefined {
    const offer = this.openOffers.get(identity);
    if (offer === undefined) return undefined;
    this.parts.table.change(identity, {cancelled: true, reason: 'cancelled'});
    if (!offer.isSent) {
      this.openOffers.delete(identity);
      this.endCancelled(identity, now);
    } else {
      const {peer, address, attempt} = offer;
      this.effects.push({
        kind: 'withdrawOffer',
        peer,
        address,
        identity,
        attempt,
      });
    }
    return this.takeOutput();
  }

  /** Applies the outcome that recovery found for an offer to a dead process. */
  resolve(
    identity: string,
    process: string,
    outcome: requestTable.RequestOutcome | undefined,
    now: clock.Milliseconds,
  ): OfferOutput {
    const offer = this.openOffers.get(identity);
    if (offer?.peer === process) {
      if (outcome === undefined) this.requeue(offer, now);
      else this.endRequest(offer, outcome, now);
    }
    return this.takeOutput();
  }

  /**
   * Blocks offers of an identity up to `attempt` from running here. Returns
   * false if a request with this identity is already known here.
   */
  preventRun(
    identity: string,
    attempt: number,
    now: clock.Milliseconds,
  ): boolean {
    if (this.parts.table.get(identity) !== undefined) return false;
    const blockedAttempt =
      this.tombstones.get(identity)?.lastAttempt ?? attempt;
    // Deleted first, because `expire` needs the map in order of creation.
    this.tombstones.delete(identity);
    const latest = Math.max(blockedAttempt, attempt);
    this.tombstones.set(identity, {lastAttempt: latest, createdAt: now});
    return true;
  }

  /** Returns whether an offer was withdrawn or refused before it arrived. */
  isRunPrevented(identity: string, attempt: number): boolean {
    const tombstone = this.tombstones.get(identity);
    return tombstone !== undefined && attempt <= tombstone.lastAttempt;
  }

  /** Drops the refusals of forgotten requests, and expired tombstones. */
  expire(forgotten: ReadonlyArray<string>, now: clock.Milliseconds): void {
    for (const identity of forgotten) this.refusals.delete(identity);
    for (const [identity, {createdAt}] of this.tombstones) {
      if (now - createdAt < TOMBSTONE_RETENTION_MS) break;
      this.tombstones.delete(identity);
    }
  }

  nextDeadline(): clock.Milliseconds {
    let earliest = Infinity;
    for (const offer of this.openOffers.values()) {
      earliest = Math.min(earliest, offer.resendAt);
    }
    return earliest;
  }

  private offer(candidate: request.Request, now: clock.Milliseconds): void {
    if (now - candidate.arrivedAt < OFFER_DELAY_MS) return;
    const {identity, client, workload} = candidate;
    // The replacement of a single replica stays where the other replicas run.
    if (candidate.taskCount !== workload.taskCount) return;
    const member = this.choosePeer(identity, now);
    if (member === undefined) return;
    if (!workload.idempotent && !this.parts.journal.isAvailable()) return;
    if (!this.parts.queue.remove(identity)) return;
    const {process, address} = member;
    const offer: OpenOffer = {
      identity,
      peer: process,
      address,
      attempt: (this.refusals.get(identity)?.count ?? 0) + 1,
      recordNumber: 0,
      isSent: false,
      resendAt: now + RESEND_INTERVAL_MS,
    };
    if (workload.idempotent) {
      this.send(offer, now);
      return;
    }
    const recordNumber = this.parts.journal.record({
      kind: 'offered',
      identity,
      client,
      process,
    });
    this.openOffers.set(identity, {...offer, recordNumber});
    this.parts.table.change(identity, {
      state: 'recording',
      hasJournalEntry: true,
      reason: `the offer to ${process} is being recorded`,
    });
  }

  private choosePeer(
    identity: string,
    now: clock.Milliseconds,
  ): processDirectory.PeerProcess | undefined {
    const refusals = this.refusals.get(identity);
    if (refusals !== undefined && now < refusals.nextOfferAt) return undefined;
    const {directory} = this.parts;
    const accepting = directory.offerCandidates();
    const others = accepting.filter(
      member => member.process !== refusals?.lastPeer,
    );
    const candidates = others.length > 0 ? others : accepting;
    if (candidates.length === 0) return undefined;
    // Offers alternate so that a burst is spread over several processes.
    return candidates[this.openOffers.size % candidates.length];
  }

  private send(offer: OpenOffer, now: clock.Milliseconds): void {
    const entry = this.parts.table.get(offer.identity);
    if (entry === undefined) return;
    this.openOffers.set(offer.identity, {
      ...offer,
      isSent: true,
      resendAt: Infinity,
    });
    const {client, team, workload, payload, size} = entry.request;
    const remainingMs = Math.min(entry.request.startBy - now, OFFER_EXPIRY_MS);
    this.parts.table.change(offer.identity, {
      state: 'offered',
      worker: offer.peer,
      reason: `offered to ${offer.peer}`,
    });
    this.effects.push(effect.count('offer', {}), {
      kind: 'offerRequest',
      peer: offer.peer,
      address: offer.address,
      identity: offer.identity,
      client,
      attempt: offer.attempt,
      submission: {team, workload: workload.name, payload, size},
      remainingMs: Math.max(0, remainingMs),
    });
  }

  private handleAnswer(
    answered: Extract<event.Event, {kind: 'offerAnswered'}>,
    now: clock.Milliseconds,
  ): void {
    const offer = this.openOffers.get(answered.identity);
    if (offer === undefined || offer.peer !== answered.peer) {
      this.effects.push(effect.count('answer_dropped', {reason: 'offer'}));
      return;
    }
    const row = result.byCode(answered.code);
    if (row?.execution === 'notRun') {
      this.handleRefusal(offer, now);
    } else if (row?.execution === 'ran' || row?.name === 'outcomeLost') {
      const {answer} = answered;
      this.endRequest(offer, {result: row.name, detail: '', answer}, now);
    } else {
      this.handleLostAnswer(answered, now);
    }
  }

  private handleRefusal(offer: OpenOffer, now: clock.Milliseconds): void {
    const waitMs =
      OFFER_DELAY_MS * Math.min(offer.attempt, MAXIMUM_BACKOFF_FACTOR);
    this.refusals.set(offer.identity, {
      count: offer.attempt,
      lastPeer: offer.peer,
      nextOfferAt: now + waitMs,
    });
    this.requeue(offer, now);
  }

  /** Queues an offered request here again after it is proved not run. */
  private requeue(offer: OpenOffer, now: clock.Milliseconds): void {
    const {identity} = offer;
    this.openOffers.delete(identity);
    const entry = this.parts.table.get(identity);
    if (entry === undefined || entry.state === 'ended') return;
    if (entry.cancelled) {
      this.endCancelled(identity, now);
      return;
    }
    this.parts.queue.requeue(entry.request);
    const reason = `not run by ${offer.peer}`;
    this.parts.table.change(identity, {state: 'queued', worker: '', reason});
    this.effects.push(effect.count('placed_again', {reason: 'offerRefused'}));
  }

  private endRequest(
    offer: OpenOffer,
    outcome: requestTable.RequestOutcome,
    now: clock.Milliseconds,
  ): void {
    this.openOffers.delete(offer.identity);
    const {lifecycle} = this.parts;
    this.effects.push(...lifecycle.end(offer.identity, outcome, now));
  }

  private endCancelled(identity: string, now: clock.Milliseconds): void {
    const outcome = {result: 'cancelled', detail: '', answer: ''} as const;
    this.effects.push(...this.parts.lifecycle.end(identity, outcome, now));
  }

  private handleLostAnswer(
    lost: {readonly peer: string; readonly identity: string},
    now: clock.Milliseconds,
  ): void {
    const offer = this.openOffers.get(lost.identity);
    if (offer === undefined || offer.peer !== lost.peer) return;
    this.openOffers.set(offer.identity, {
      ...offer,
      resendAt: now + RESEND_INTERVAL_MS,
    });
    this.parts.table.change(offer.identity, {
      state: 'unknown',
      reason: `${offer.peer} did not answer the offer`,
    });
  }

  private handleWithdrawAnswer(
    answered: Extract<event.Event, {kind: 'withdrawAnswered'}>,
    now: clock.Milliseconds,
  ): void {
    const offer = this.openOffers.get(answered.identity);
    if (offer === undefined || offer.peer !== answered.peer) return;
    const row = result.byCode(answered.code);
    if (row?.execution === 'notRun') this.handleRefusal(offer, now);
  }

  /**
   * Resends unanswered offers to the same process, which answers a repeated
   * offer together with the first one.
   */
  private resendOverdue(now: clock.Milliseconds): void {
    for (const offer of [...this.openOffers.values()]) {
      if (now < offer.resendAt) continue;
      if (this.parts.directory.hasSuccessor(offer.peer, now)) {
        this.openOffers.set(offer.identity, {
          ...offer,
          resendAt: now + RESEND_INTERVAL_MS,
        });
        const {identity, peer: process} = offer;
        if (offer.isSent) this.offersToRecover.push({identity, process});
        else this.requeue(offer, now);
      } else if (offer.isSent) this.send(offer, now);
      else this.requeueUnrecordable(offer, now);
    }
  }

  private requeueUnrecordable(offer: OpenOffer, now: clock.Milliseconds): void {
    this.openOffers.set(offer.identity, {
      ...offer,
      resendAt: now + RESEND_INTERVAL_MS,
    });
    if (this.parts.journal.isAvailable()) return;
    // The offer was not sent, so the request can safely be placed here.
    this.requeue(offer, now);
  }

  private takeOutput(): OfferOutput {
    const output = {
      effects: this.effects,
      offersToRecover: this.offersToRecover,
    };
    this.effects = [];
    this.offersToRecover = [];
    return output;
  }
}
