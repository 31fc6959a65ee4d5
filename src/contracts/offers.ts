import * as effects from './effect.js';
import * as result from '../result.js';
import type * as clock from '../machines/clock.js';
import type * as event from './event.js';
import type * as journalKeeper from './journal_keeper.js';
import type * as processDirectory from './process_directory.js';
import type * as request from './request.js';
import type * as requestLifecycle from './request_lifecycle.js';
import type * as requestTable from './request_table.js';

/** Wait for room on own workers before a request is offered. */
const OFFER_AFTER_MS = 250;

/** Largest factor by which refusals lengthen the wait for the next offer. */
const LONGEST_BACKOFF = 8;

/** Most offers that are open at a time. */
const OPEN_LIMIT = 16;

/** Time after which an offer without an answer is sent again. */
const RESEND_MS = 1_000;

/** Time in which the other process may start what it is offered. */
const OFFER_EXPIRY_MS = 2_000;

/** Time for which a withdrawn identity is refused. */
const TOMBSTONE_MS = 3_600_000;

/** How often and by whom a request was refused. */
interface Refusals {
  readonly count: number;
  readonly last: string;
  /** Earliest time of the next offer. */
  readonly notBefore: clock.Milliseconds;
}

/** Offers of an identity that never run here. */
interface Tombstone {
  /** The last attempt that is refused. */
  readonly attempt: number;
  readonly since: clock.Milliseconds;
}

/** An offer that this process has made. */
interface OpenOffer {
  readonly identity: string;
  readonly peer: string;
  readonly address: string;
  /** Counts the offers of the request; a sent one keeps its number. */
  readonly attempt: number;
  /** Number of the journal entry that has to be recorded first; 0 for none. */
  readonly record: number;
  /** Whether an offer was sent whose answer is missing. */
  readonly sent: boolean;
  readonly due: clock.Milliseconds;
}

/** An offer whose process has been succeeded. */
export interface OrphanedOffer {
  readonly identity: string;
  readonly process: string;
}

/** What becomes of an offer. */
export interface OfferTurn {
  readonly effects: ReadonlyArray<effects.Effect>;
  /** Offers whose process is dead; its journal decides. */
  readonly orphaned: ReadonlyArray<OrphanedOffer>;
}

/** The objects that offers work with. */
export interface OfferParts {
  readonly table: requestTable.RequestTable;
  readonly queue: requestLifecycle.RequestQueue;
  readonly lifecycle: requestLifecycle.RequestLifecycle;
  readonly journal: journalKeeper.JournalKeeper;
  readonly directory: processDirectory.ProcessDirectory;
}

/**
 * Offers that the home of a request makes to other processes of its zone while
 * its own workers are full. A request is offered to a further process, or
 * placed here, only when the last one has proved that it did not run it.
 */
export class Offers {
  private readonly open = new Map<string, OpenOffer>();
  private readonly refusals = new Map<string, Refusals>();
  private readonly tombstones = new Map<string, Tombstone>();
  private effects: effects.Effect[] = [];
  private orphaned: OrphanedOffer[] = [];

  constructor(private readonly parts: OfferParts) {}

  /** Offers requests that have waited, as far as members are left. */
  offerWaiting(
    waiting: ReadonlyArray<request.Request>,
    now: clock.Milliseconds,
  ): OfferTurn {
    for (const candidate of waiting) {
      if (this.open.size >= OPEN_LIMIT) break;
      this.offer(candidate, now);
    }
    return this.finishTurn();
  }

  /** Handles what other processes answer; ignores other events. */
  handle(handled: event.Event, now: clock.Milliseconds): OfferTurn {
    switch (handled.kind) {
      case 'offerAnswered':
        this.answered(handled, now);
        break;
      case 'offerLost':
        this.lost(handled, now);
        break;
      case 'withdrawAnswered':
        this.withdrawn(handled, now);
        break;
      case 'timePassed':
        this.resend(now);
        break;
    }
    return this.finishTurn();
  }

  /** Sends the offers whose journal entries are recorded. */
  recorded(numbers: ReadonlyArray<number>, now: clock.Milliseconds): OfferTurn {
    for (const offer of [...this.open.values()]) {
      if (!offer.sent && numbers.includes(offer.record)) this.send(offer, now);
    }
    return this.finishTurn();
  }

  /** Withdraws the offer of a cancelled request; false without an offer. */
  cancel(identity: string, now: clock.Milliseconds): OfferTurn | undefined {
    const offer = this.open.get(identity);
    if (offer === undefined) return undefined;
    this.parts.table.change(identity, {cancelled: true, reason: 'cancelled'});
    if (!offer.sent) {
      this.open.delete(identity);
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
    return this.finishTurn();
  }

  /** Takes what recovery found of an offer whose process is dead. */
  resolve(
    identity: string,
    process: string,
    ending: requestTable.Ending | undefined,
    now: clock.Milliseconds,
  ): OfferTurn {
    const offer = this.open.get(identity);
    if (offer?.peer === process) {
      if (ending === undefined) this.giveBack(offer, now);
      else this.finish(offer, ending, now);
    }
    return this.finishTurn();
  }

  /**
   * Makes sure that offers of an identity up to `attempt` never run here;
   * false when the identity has begun to run.
   */
  bury(identity: string, attempt: number, now: clock.Milliseconds): boolean {
    if (this.parts.table.get(identity) !== undefined) return false;
    const buried = this.tombstones.get(identity)?.attempt ?? attempt;
    // Taken out first, so that the order stays by time.
    this.tombstones.delete(identity);
    const latest = Math.max(buried, attempt);
    this.tombstones.set(identity, {attempt: latest, since: now});
    return true;
  }

  /** Whether an offer was withdrawn or refused before it arrived. */
  isBuried(identity: string, attempt: number): boolean {
    const buried = this.tombstones.get(identity);
    return buried !== undefined && attempt <= buried.attempt;
  }

  /** Forgets refusals and tombstones that are no longer needed. */
  expire(forgotten: ReadonlyArray<string>, now: clock.Milliseconds): void {
    for (const identity of forgotten) this.refusals.delete(identity);
    for (const [identity, {since}] of this.tombstones) {
      if (now - since < TOMBSTONE_MS) break;
      this.tombstones.delete(identity);
    }
  }

  nextDeadline(): clock.Milliseconds {
    let due = Infinity;
    for (const offer of this.open.values()) due = Math.min(due, offer.due);
    return due;
  }

  private offer(candidate: request.Request, now: clock.Milliseconds): void {
    if (now - candidate.arrivedAt < OFFER_AFTER_MS) return;
    const {identity, client, workload} = candidate;
    // A single replica of a service is replaced where the others run.
    if (candidate.taskCount !== workload.taskCount) return;
    const member = this.choose(identity, now);
    if (member === undefined) return;
    if (!workload.idempotent && !this.parts.journal.available()) return;
    if (!this.parts.queue.remove(identity)) return;
    const {process, address} = member;
    const offer: OpenOffer = {
      identity,
      peer: process,
      address,
      attempt: (this.refusals.get(identity)?.count ?? 0) + 1,
      record: 0,
      sent: false,
      due: now + RESEND_MS,
    };
    if (workload.idempotent) {
      this.send(offer, now);
      return;
    }
    const record = this.parts.journal.record({
      kind: 'offered',
      identity,
      client,
      process,
    });
    this.open.set(identity, {...offer, record});
    this.parts.table.change(identity, {
      state: 'recording',
      recorded: true,
      reason: `the offer to ${process} is being recorded`,
    });
  }

  private choose(
    identity: string,
    now: clock.Milliseconds,
  ): processDirectory.Member | undefined {
    const refusals = this.refusals.get(identity);
    if (refusals !== undefined && now < refusals.notBefore) return undefined;
    const {directory} = this.parts;
    const live = directory.offerTakers();
    const others = live.filter(member => member.process !== refusals?.last);
    const candidates = others.length > 0 ? others : live;
    if (candidates.length === 0) return undefined;
    // Offers alternate, so that a wave does not meet one process alone.
    return candidates[this.open.size % candidates.length];
  }

  private send(offer: OpenOffer, now: clock.Milliseconds): void {
    const entry = this.parts.table.get(offer.identity);
    if (entry === undefined) return;
    this.open.set(offer.identity, {...offer, sent: true, due: Infinity});
    const {client, team, workload, payload, size} = entry.request;
    const left = Math.min(entry.request.startBy - now, OFFER_EXPIRY_MS);
    this.parts.table.change(offer.identity, {
      state: 'offered',
      worker: offer.peer,
      reason: `offered to ${offer.peer}`,
    });
    this.effects.push(effects.count('offer', {}), {
      kind: 'offerRequest',
      peer: offer.peer,
      address: offer.address,
      identity: offer.identity,
      client,
      attempt: offer.attempt,
      submission: {team, workload: workload.name, payload, size},
      remainingMs: Math.max(0, left),
    });
  }

  private answered(
    answered: Extract<event.Event, {kind: 'offerAnswered'}>,
    now: clock.Milliseconds,
  ): void {
    const offer = this.open.get(answered.identity);
    if (offer === undefined || offer.peer !== answered.peer) {
      this.effects.push(effects.count('answer_dropped', {reason: 'offer'}));
      return;
    }
    const row = result.byCode(answered.code);
    if (row?.execution === 'notRun') {
      this.refused(offer, now);
    } else if (row?.execution === 'ran' || row?.name === 'outcomeLost') {
      const {answer} = answered;
      this.finish(offer, {result: row.name, detail: '', answer}, now);
    } else {
      this.lost(answered, now);
    }
  }

  private refused(offer: OpenOffer, now: clock.Milliseconds): void {
    const wait = OFFER_AFTER_MS * Math.min(offer.attempt, LONGEST_BACKOFF);
    this.refusals.set(offer.identity, {
      count: offer.attempt,
      last: offer.peer,
      notBefore: now + wait,
    });
    this.giveBack(offer, now);
  }

  /** The offered request is proved not run: it is queued here again. */
  private giveBack(offer: OpenOffer, now: clock.Milliseconds): void {
    const {identity} = offer;
    this.open.delete(identity);
    const entry = this.parts.table.get(identity);
    if (entry === undefined || entry.state === 'ended') return;
    if (entry.cancelled) {
      this.endCancelled(identity, now);
      return;
    }
    this.parts.queue.requeue(entry.request);
    const reason = `not run by ${offer.peer}`;
    this.parts.table.change(identity, {state: 'queued', worker: '', reason});
    this.effects.push(effects.count('placed_again', {reason: 'offerRefused'}));
  }

  private finish(
    offer: OpenOffer,
    ending: requestTable.Ending,
    now: clock.Milliseconds,
  ): void {
    this.open.delete(offer.identity);
    const {lifecycle} = this.parts;
    this.effects.push(...lifecycle.end(offer.identity, ending, now));
  }

  private endCancelled(identity: string, now: clock.Milliseconds): void {
    const ending = {result: 'cancelled', detail: '', answer: ''} as const;
    this.effects.push(...this.parts.lifecycle.end(identity, ending, now));
  }

  private lost(
    lost: {readonly peer: string; readonly identity: string},
    now: clock.Milliseconds,
  ): void {
    const offer = this.open.get(lost.identity);
    if (offer === undefined || offer.peer !== lost.peer) return;
    this.open.set(offer.identity, {...offer, due: now + RESEND_MS});
    this.parts.table.change(offer.identity, {
      state: 'unknown',
      reason: `${offer.peer} gave no answer to the offer`,
    });
  }

  private withdrawn(
    answered: Extract<event.Event, {kind: 'withdrawAnswered'}>,
    now: clock.Milliseconds,
  ): void {
    const offer = this.open.get(answered.identity);
    if (offer === undefined || offer.peer !== answered.peer) return;
    const row = result.byCode(answered.code);
    if (row?.execution === 'notRun') this.refused(offer, now);
  }

  /** The same process is asked again: it joins the call to what it runs. */
  private resend(now: clock.Milliseconds): void {
    for (const offer of [...this.open.values()]) {
      if (now < offer.due) continue;
      if (this.parts.directory.isSucceeded(offer.peer, now)) {
        this.open.set(offer.identity, {...offer, due: now + RESEND_MS});
        const {identity, peer: process} = offer;
        if (offer.sent) this.orphaned.push({identity, process});
        else this.giveBack(offer, now);
      } else if (offer.sent) this.send(offer, now);
      else this.checkRecord(offer, now);
    }
  }

  private checkRecord(offer: OpenOffer, now: clock.Milliseconds): void {
    this.open.set(offer.identity, {...offer, due: now + RESEND_MS});
    if (this.parts.journal.available()) return;
    // Nothing was sent, so the request is still free to be placed here.
    this.giveBack(offer, now);
  }

  private finishTurn(): OfferTurn {
    const turn = {effects: this.effects, orphaned: this.orphaned};
    this.effects = [];
    this.orphaned = [];
    return turn;
  }
}
