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
export interface RequestOutcome {
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
  readonly outcome: RequestOutcome | undefined;
}

/** The parts of an entry that change before its end. */
export type RequestEntryChange = Partial<
  Omit<RequestEntry, 'request' | 'outcome' | 'offeredBy' | 'offerAttempt'>
>;

interface WaitingCall {
  readonly call: event.CallNumber;
  readonly client: string;
  readonly deadline: clock.Milliseconds;
}

/** How long an ended request is kept for callers that ask again. */
export const OUTCOME_RETENTION_MS = 3_600_000;

const NOT_OFFERED = {process: '', attempt: 0};

/** What `expire` did. */
export interface ExpiryOutput {
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
  private readonly waitingCalls = new Map<string, WaitingCall[]>();
  private readonly identityByCall = new Map<event.CallNumber, string>();
  private readonly endTimes = new Map<string, clock.Milliseconds>();
  private justEnded: RequestEntry[] = [];
  private nextExpiryAt: clock.Milliseconds = Infinity;

  /** Returns what is kept of a request. */
  get(identity: string): RequestEntry | undefined {
    return this.entries.get(identity);
  }

  /** Requests that have not ended. */
  unfinishedCount(): number {
    return this.entries.size - this.endTimes.size;
  }

  /** Whether nothing is left but services, whose tasks go on elsewhere. */
  isFinished(): boolean {
    if (this.unfinishedCount() === 0) return true;
    for (const entry of this.entries.values()) {
      const continuesElsewhere =
        entry.request.workload.kind === 'service' && entry.state === 'running';
      if (entry.outcome === undefined && !continuesElsewhere) return false;
    }
    return true;
  }

  /** Adds an admitted request; `offer` names the home that offered it. */
  add(
    admitted: request.Request,
    offer: {readonly process: string; readonly attempt: number} = NOT_OFFERED,
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
      outcome: undefined,
    });
  }

  /** Forgets a request that was refused after all. */
  dropQueued(identity: string): void {
    if (this.entries.get(identity)?.state === 'queued') {
      this.entries.delete(identity);
    }
  }

  /** Forgets a request that ended as not run, to take it in again. */
  forgetEnded(identity: string): void {
    this.endTimes.delete(identity);
    this.entries.delete(identity);
  }

  /** Changes a request; an ended request stays as it ended. */
  change(identity: string, change: RequestEntryChange): void {
    const entry = this.entries.get(identity);
    if (entry === undefined || entry.state === 'ended') return;
    this.entries.set(identity, {...entry, ...change});
  }

  /** Ends a request and answers the calls that wait for it. */
  end(
    identity: string,
    outcome: RequestOutcome,
    now: clock.Milliseconds,
  ): ReadonlyArray<effects.Effect> {
    const entry = this.entries.get(identity);
    if (entry === undefined) return [];
    if (entry.outcome !== undefined) {
      const {result: first} = entry.outcome;
      const fields = {identity, first, second: outcome.result};
      return invariant.violation('endedOnce', fields);
    }
    const ended: RequestEntry = {...entry, state: 'ended', outcome};
    this.entries.set(identity, ended);
    this.endTimes.set(identity, now);
    this.justEnded.push(ended);
    const waiting = this.waitingCalls.get(identity) ?? [];
    this.waitingCalls.delete(identity);
    return waiting.flatMap(waiter => this.answerCall(waiter, ended));
  }

  /** Returns the requests that ended since the last call. */
  takeEnded(): ReadonlyArray<RequestEntry> {
    const taken = this.justEnded;
    this.justEnded = [];
    return taken;
  }

  /** Answers a call now, or when the request ends, at the latest at `until`. */
  answerAtEnd(
    identity: string,
    caller: {readonly call: event.CallNumber; readonly client: string},
    deadline: clock.Milliseconds,
    now: clock.Milliseconds,
  ): ReadonlyArray<effects.Effect> {
    const entry = this.entries.get(identity);
    if (entry === undefined) return [];
    const waitingCall = {...caller, deadline};
    if (entry.state === 'ended' || deadline <= now) {
      return this.answerCall(waitingCall, entry);
    }
    const waiting = this.waitingCalls.get(identity) ?? [];
    waiting.push(waitingCall);
    this.waitingCalls.set(identity, waiting);
    this.identityByCall.set(caller.call, identity);
    this.nextExpiryAt = Math.min(this.nextExpiryAt, deadline);
    return [];
  }

  /** Drops the waiting call of a caller that has gone. */
  forgetCall(call: event.CallNumber): void {
    const identity = this.identityByCall.get(call);
    if (identity === undefined) return;
    this.identityByCall.delete(call);
    const waiting = this.waitingCalls.get(identity) ?? [];
    this.setWaitingCalls(
      identity,
      waiting.filter(waiter => waiter.call !== call),
    );
  }

  /** Answers calls whose wait is over and drops what was kept long enough. */
  expire(now: clock.Milliseconds): ExpiryOutput {
    const produced: effects.Effect[] = [];
    if (now >= this.nextExpiryAt) produced.push(...this.answerOverdue(now));
    const forgotten: string[] = [];
    for (const [identity, endedAt] of this.endTimes) {
      // Entries are in order of their end, so the first young one ends the walk.
      if (now - endedAt < OUTCOME_RETENTION_MS) break;
      this.endTimes.delete(identity);
      this.entries.delete(identity);
      forgotten.push(identity);
    }
    return {effects: produced, forgotten};
  }

  /** When `expire` is wanted next. */
  nextDeadline(): clock.Milliseconds {
    return this.nextExpiryAt;
  }

  private answerOverdue(
    now: clock.Milliseconds,
  ): ReadonlyArray<effects.Effect> {
    const produced: effects.Effect[] = [];
    this.nextExpiryAt = Infinity;
    for (const [identity, waiting] of this.waitingCalls) {
      const entry = this.entries.get(identity);
      if (entry === undefined) continue;
      const overdue = waiting.filter(waiter => waiter.deadline <= now);
      const rest = waiting.filter(waiter => waiter.deadline > now);
      for (const waiter of overdue) {
        produced.push(...this.answerCall(waiter, entry));
      }
      for (const waiter of rest) {
        this.nextExpiryAt = Math.min(this.nextExpiryAt, waiter.deadline);
      }
      if (overdue.length > 0) this.setWaitingCalls(identity, rest);
    }
    return produced;
  }

  private setWaitingCalls(identity: string, rest: WaitingCall[]): void {
    if (rest.length === 0) this.waitingCalls.delete(identity);
    else this.waitingCalls.set(identity, rest);
  }

  private answerCall(
    waitingCall: WaitingCall,
    entry: RequestEntry,
  ): ReadonlyArray<effects.Effect> {
    this.identityByCall.delete(waitingCall.call);
    if (waitingCall.client === entry.request.client) {
      return [
        {
          kind: 'answerCaller',
          call: waitingCall.call,
          reply: buildReply(entry),
        },
      ];
    }
    const identity = entry.request.identity;
    const code = result.RESULT_CODES.unknownIdentity.code;
    return [
      ...invariant.violation('ownAnswer', {
        identity,
        client: waitingCall.client,
      }),
      {kind: 'answerCaller', call: waitingCall.call, reply: {code, identity}},
    ];
  }
}

/** Builds the reply that shows a request's state or its end. */
export function buildReply(entry: RequestEntry): effects.Reply {
  const {identity} = entry.request;
  if (entry.outcome !== undefined) {
    return {
      code: result.RESULT_CODES[entry.outcome.result].code,
      detail: entry.outcome.detail,
      identity,
      state: 'ended',
      worker: entry.worker,
      answer: entry.outcome.answer,
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
