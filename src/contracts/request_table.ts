import * as effects from './effect.js';
import * as invariant from './invariant.js';
import * as result from '../result.js';
import type * as clock from '../machines/clock.js';
import type * as event from './event.js';
import type * as request from './request.js';

/** Progress of a request at its home. */
export type RequestState =
  | 'queued'
  /** Its start or offer is being recorded; nothing was sent. */
  | 'recording'
  | 'starting'
  | 'running'
  /** A start or an offer was sent and its answer is missing. */
  | 'unknown'
  /** Another process was asked to run it. */
  | 'offered'
  | 'ended';

/** How a request ended. */
export interface Ending {
  readonly result: result.ResultName;
  readonly detail: string;
  readonly answer: string;
}

/** Progress of one task of a request. */
export interface TaskProgress {
  readonly task: string;
  readonly worker: string;
  readonly state: string;
}

/** What the home keeps of a request. */
export interface RequestEntry {
  readonly request: request.Request;
  readonly state: RequestState;
  /** Worker of the first task, or the process that the request is offered to. */
  readonly worker: string;
  /** Why the request stands where it stands. */
  readonly reason: string;
  readonly tasks: ReadonlyArray<TaskProgress>;
  readonly cancelled: boolean;
  /** Placements so far. */
  readonly attempts: number;
  /** Whether an earlier attempt ran in part or as a whole. */
  readonly hasRun: boolean;
  /** Whether the journal holds an entry of the request. */
  readonly recorded: boolean;
  /** Home of the identity when another process offered the request. */
  readonly offeredBy: string;
  /** Number of that offer. */
  readonly offerAttempt: number;
  readonly ending: Ending | undefined;
}

/** The parts of an entry that change before its end. */
export type EntryChange = Partial<
  Omit<RequestEntry, 'request' | 'ending' | 'offeredBy' | 'offerAttempt'>
>;

interface Waiter {
  readonly call: event.CallNumber;
  readonly client: string;
  readonly until: clock.Milliseconds;
}

/** How long an ended request is kept for callers that ask again. */
export const RETENTION_MS = 3_600_000;

const OWN = {process: '', attempt: 0};

/** What `expire` did. */
export interface ExpiryTurn {
  readonly effects: ReadonlyArray<effects.Effect>;
  /** Identities that are no longer answered. */
  readonly forgotten: ReadonlyArray<string>;
}

/**
 * The requests that this process answers for, with the calls that wait for
 * them. An answer is given only to the client that the request belongs to.
 */
export class RequestTable {
  private readonly entries = new Map<string, RequestEntry>();
  private readonly waiters = new Map<string, Waiter[]>();
  private readonly identityOfCall = new Map<event.CallNumber, string>();
  private readonly endedAt = new Map<string, clock.Milliseconds>();
  private justEnded: RequestEntry[] = [];
  private nextDue: clock.Milliseconds = Infinity;

  /** Returns what is kept of a request. */
  get(identity: string): RequestEntry | undefined {
    return this.entries.get(identity);
  }

  /** Requests that have not ended. */
  unfinishedCount(): number {
    return this.entries.size - this.endedAt.size;
  }

  /** Whether nothing is left but services, whose tasks go on elsewhere. */
  isFinished(): boolean {
    if (this.unfinishedCount() === 0) return true;
    for (const entry of this.entries.values()) {
      const goesOn =
        entry.request.workload.kind === 'service' && entry.state === 'running';
      if (entry.ending === undefined && !goesOn) return false;
    }
    return true;
  }

  /** Adds an admitted request; `offer` names the home that offered it. */
  add(
    admitted: request.Request,
    offer: {readonly process: string; readonly attempt: number} = OWN,
  ): void {
    this.entries.set(admitted.identity, {
      request: admitted,
      state: 'queued',
      worker: '',
      reason: 'waits for room',
      tasks: [],
      cancelled: false,
      attempts: 0,
      hasRun: false,
      recorded: false,
      offeredBy: offer.process,
      offerAttempt: offer.attempt,
      ending: undefined,
    });
  }

  /** Forgets a request that was refused after all. */
  drop(identity: string): void {
    if (this.entries.get(identity)?.state === 'queued') {
      this.entries.delete(identity);
    }
  }

  /** Forgets a request that ended as not run, to take it in again. */
  forget(identity: string): void {
    this.endedAt.delete(identity);
    this.entries.delete(identity);
  }

  /** Changes a request; an ended request stays as it ended. */
  change(identity: string, change: EntryChange): void {
    const entry = this.entries.get(identity);
    if (entry === undefined || entry.state === 'ended') return;
    this.entries.set(identity, {...entry, ...change});
  }

  /** Ends a request and answers the calls that wait for it. */
  end(
    identity: string,
    ending: Ending,
    now: clock.Milliseconds,
  ): ReadonlyArray<effects.Effect> {
    const entry = this.entries.get(identity);
    if (entry === undefined) return [];
    if (entry.ending !== undefined) {
      const {result: first} = entry.ending;
      const fields = {identity, first, second: ending.result};
      return invariant.violation('endedOnce', fields);
    }
    const ended: RequestEntry = {...entry, state: 'ended', ending};
    this.entries.set(identity, ended);
    this.endedAt.set(identity, now);
    this.justEnded.push(ended);
    const waiting = this.waiters.get(identity) ?? [];
    this.waiters.delete(identity);
    return waiting.flatMap(waiter => this.answerWaiter(waiter, ended));
  }

  /** Returns the requests that ended since the last call. */
  takeEnded(): ReadonlyArray<RequestEntry> {
    const taken = this.justEnded;
    this.justEnded = [];
    return taken;
  }

  /** Answers a call now, or when the request ends, at the latest at `until`. */
  wait(
    identity: string,
    caller: {readonly call: event.CallNumber; readonly client: string},
    until: clock.Milliseconds,
    now: clock.Milliseconds,
  ): ReadonlyArray<effects.Effect> {
    const entry = this.entries.get(identity);
    if (entry === undefined) return [];
    const waiter = {...caller, until};
    if (entry.state === 'ended' || until <= now) {
      return this.answerWaiter(waiter, entry);
    }
    const waiting = this.waiters.get(identity) ?? [];
    waiting.push(waiter);
    this.waiters.set(identity, waiting);
    this.identityOfCall.set(caller.call, identity);
    this.nextDue = Math.min(this.nextDue, until);
    return [];
  }

  /** Drops the waiting call of a caller that has gone. */
  forgetCall(call: event.CallNumber): void {
    const identity = this.identityOfCall.get(call);
    if (identity === undefined) return;
    this.identityOfCall.delete(call);
    const waiting = this.waiters.get(identity) ?? [];
    this.keepWaiters(
      identity,
      waiting.filter(waiter => waiter.call !== call),
    );
  }

  /** Answers calls whose wait is over and drops what was kept long enough. */
  expire(now: clock.Milliseconds): ExpiryTurn {
    const done: effects.Effect[] = [];
    if (now >= this.nextDue) done.push(...this.answerOverdue(now));
    const forgotten: string[] = [];
    for (const [identity, endedAt] of this.endedAt) {
      // Entries are in order of their end, so the first young one ends the walk.
      if (now - endedAt < RETENTION_MS) break;
      this.endedAt.delete(identity);
      this.entries.delete(identity);
      forgotten.push(identity);
    }
    return {effects: done, forgotten};
  }

  /** When `expire` is wanted next. */
  nextDeadline(): clock.Milliseconds {
    return this.nextDue;
  }

  private answerOverdue(
    now: clock.Milliseconds,
  ): ReadonlyArray<effects.Effect> {
    const done: effects.Effect[] = [];
    this.nextDue = Infinity;
    for (const [identity, waiting] of this.waiters) {
      const entry = this.entries.get(identity);
      if (entry === undefined) continue;
      const over = waiting.filter(waiter => waiter.until <= now);
      const rest = waiting.filter(waiter => waiter.until > now);
      for (const waiter of over) done.push(...this.answerWaiter(waiter, entry));
      for (const waiter of rest) {
        this.nextDue = Math.min(this.nextDue, waiter.until);
      }
      if (over.length > 0) this.keepWaiters(identity, rest);
    }
    return done;
  }

  private keepWaiters(identity: string, rest: Waiter[]): void {
    if (rest.length === 0) this.waiters.delete(identity);
    else this.waiters.set(identity, rest);
  }

  private answerWaiter(
    waiter: Waiter,
    entry: RequestEntry,
  ): ReadonlyArray<effects.Effect> {
    this.identityOfCall.delete(waiter.call);
    if (waiter.client === entry.request.client) {
      return [{kind: 'answerCaller', call: waiter.call, reply: reply(entry)}];
    }
    const identity = entry.request.identity;
    const code = result.RESULT_CODES.unknownIdentity.code;
    return [
      ...invariant.violation('ownAnswer', {identity, client: waiter.client}),
      {kind: 'answerCaller', call: waiter.call, reply: {code, identity}},
    ];
  }
}

/** Builds the reply that shows a request's state or its end. */
export function reply(entry: RequestEntry): effects.Reply {
  const {identity} = entry.request;
  if (entry.ending !== undefined) {
    return {
      code: result.RESULT_CODES[entry.ending.result].code,
      detail: entry.ending.detail,
      identity,
      state: 'ended',
      worker: entry.worker,
      answer: entry.ending.answer,
    };
  }
  const row = entry.state === 'unknown' ? 'unknownOutcome' : 'accepted';
  return {
    code: result.RESULT_CODES[row].code,
    detail: entry.reason,
    identity,
    state: entry.state,
    worker: entry.worker,
    ...(entry.tasks.length > 1 ? {content: {tasks: entry.tasks}} : {}),
  };
}
