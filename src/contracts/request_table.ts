import * as effect from './effect.js';
import * as invariant from './invariant.js';
import * as result from '../result.js';
import type * as clock from '../machines/clock.js';
import type * as event from './event.js';
import type * as request from './request.js';

/** State of a request at the process that keeps it. */
export type RequestState =
  | 'queued'
  /** Its start or offer is being recorded; nothing has been sent. */
  | 'recording'
  | 'starting'
  | 'running'
  /** A start or an offer has been sent and its answer is missing. */
  | 'unknown'
  /** It has been offered to another process. */
  | 'offered'
  | 'ended';

/** Result of an ended request, with the answer to its client. */
export interface RequestOutcome {
  readonly result: result.ResultName;
  readonly detail: string;
  readonly answer: string;
}

/** State of one task of a request, as shown to callers. */
export interface TaskProgress {
  readonly task: string;
  readonly worker: string;
  readonly state: string;
}

/** State that a process keeps of one request. */
export interface RequestEntry {
  readonly request: request.Request;
  readonly state: RequestState;
  /** Worker of the first task, or the process to which it is offered. */
  readonly worker: string;
  /** Why the request is in its state, as shown to callers. */
  readonly reason: string;
  readonly tasks: ReadonlyArray<TaskProgress>;
  readonly cancelled: boolean;
  /** Number of placements so far. */
  readonly attempts: number;
  /** Whether at least one task of an earlier attempt ran. */
  readonly hasRun: boolean;
  /** Whether an entry of the request was passed to the journal. */
  readonly hasJournalEntry: boolean;
  /** Home that offered the request; empty if this process is the home. */
  readonly offeredBy: string;
  /** Number of that offer; 0 if this process is the home. */
  readonly offerAttempt: number;
  readonly outcome: RequestOutcome | undefined;
}

/** Properties of an entry that can change before the request ends. */
export type RequestEntryChange = Partial<
  Omit<RequestEntry, 'request' | 'outcome' | 'offeredBy' | 'offerAttempt'>
>;

interface WaitingCall {
  readonly call: event.CallNumber;
  readonly client: string;
  readonly deadline: clock.Milliseconds;
}

/** Time for which the outcome of an ended request can be fetched. */
export const OUTCOME_RETENTION_MS = 3_600_000;

const NOT_OFFERED = {process: '', attempt: 0};

/** Answers to overdue calls, and the requests that `expire` dropped. */
export interface ExpiryOutput {
  readonly effects: ReadonlyArray<effect.Effect>;
  /** Identities of ended requests that were dropped. */
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
  private nextCallDeadline: clock.Milliseconds = Infinity;

  /** Returns the entry of a request. */
  get(identity: string): RequestEntry | undefined {
    return this.entries.get(identity);
  }

  /** Returns the number of requests that have not ended. */
  unfinishedCount(): number {
    return this.entries.size - this.endTimes.size;
  }

  /** Returns whether only running services are left; their tasks go on. */
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
      reason: 'waiting for free capacity',
      tasks: [],
      cancelled: false,
      attempts: 0,
      hasRun: false,
      hasJournalEntry: false,
      offeredBy: offer.process,
      offerAttempt: offer.attempt,
      outcome: undefined,
    });
  }

  /** Removes a queued request that was refused after its admission. */
  dropQueued(identity: string): void {
    if (this.entries.get(identity)?.state === 'queued') {
      this.entries.delete(identity);
    }
  }

  /** Removes a request that ended as not run, so that it can be added again. */
  forgetEnded(identity: string): void {
    this.endTimes.delete(identity);
    this.entries.delete(identity);
  }

  /** Changes a request unless it has ended. */
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
  ): ReadonlyArray<effect.Effect> {
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
    return waiting.flatMap(waitingCall => this.answerCall(waitingCall, ended));
  }

  /** Returns the requests that ended since the last call. */
  takeEnded(): ReadonlyArray<RequestEntry> {
    const taken = this.justEnded;
    this.justEnded = [];
    return taken;
  }

  /** Answers a call when the request ends, or at `deadline` at the latest. */
  answerAtEnd(
    identity: string,
    caller: {readonly call: event.CallNumber; readonly client: string},
    deadline: clock.Milliseconds,
    now: clock.Milliseconds,
  ): ReadonlyArray<effect.Effect> {
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
    this.nextCallDeadline = Math.min(this.nextCallDeadline, deadline);
    return [];
  }

  /** Drops the waiting call of a caller that has disconnected. */
  forgetCall(call: event.CallNumber): void {
    const identity = this.identityByCall.get(call);
    if (identity === undefined) return;
    this.identityByCall.delete(call);
    const waiting = this.waitingCalls.get(identity) ?? [];
    this.setWaitingCalls(
      identity,
      waiting.filter(waitingCall => waitingCall.call !== call),
    );
  }

  /** Answers overdue calls and drops requests that ended long ago. */
  expire(now: clock.Milliseconds): ExpiryOutput {
    const produced: effect.Effect[] = [];
    if (now >= this.nextCallDeadline) produced.push(...this.answerOverdue(now));
    const forgotten: string[] = [];
    for (const [identity, endedAt] of this.endTimes) {
      // The map is ordered by end, so the first recent one stops the loop.
      if (now - endedAt < OUTCOME_RETENTION_MS) break;
      this.endTimes.delete(identity);
      this.entries.delete(identity);
      forgotten.push(identity);
    }
    return {effects: produced, forgotten};
  }

  /** Returns the time at which `expire` is to be called next. */
  nextDeadline(): clock.Milliseconds {
    return this.nextCallDeadline;
  }

  private answerOverdue(now: clock.Milliseconds): ReadonlyArray<effect.Effect> {
    const produced: effect.Effect[] = [];
    this.nextCallDeadline = Infinity;
    for (const [identity, waiting] of this.waitingCalls) {
      const entry = this.entries.get(identity);
      if (entry === undefined) continue;
      const overdue = waiting.filter(
        waitingCall => waitingCall.deadline <= now,
      );
      const rest = waiting.filter(waitingCall => waitingCall.deadline > now);
      for (const waitingCall of overdue) {
        produced.push(...this.answerCall(waitingCall, entry));
      }
      for (const waitingCall of rest) {
        this.nextCallDeadline = Math.min(
          this.nextCallDeadline,
          waitingCall.deadline,
        );
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
  ): ReadonlyArray<effect.Effect> {
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

/** Returns the reply that shows the state or the outcome of a request. */
export function buildReply(entry: RequestEntry): effect.Reply {
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
  const resultName = entry.state === 'unknown' ? 'unknownOutcome' : 'accepted';
  return {
    code: result.RESULT_CODES[resultName].code,
    detail: entry.reason,
    identity,
    state: entry.state,
    worker: entry.worker,
    ...(entry.tasks.length > 1 ? {content: {tasks: entry.tasks}} : {}),
  };
}
