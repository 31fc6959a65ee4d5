import type * as clock from '../machines/clock.js';
import type * as effect from './effect.js';
import type * as event from './event.js';
import type * as request from './request.js';
import * as result from '../result.js';

/** Progress of a request at its home. */
export type RequestState = 'queued' | 'starting' | 'running' | 'ended';

/** How a request ended. */
export interface Ending {
  readonly result: result.ResultName;
  readonly detail: string;
  readonly answer: string;
}

/** What the home keeps of a request. */
export interface RequestEntry {
  readonly request: request.Request;
  readonly state: RequestState;
  readonly worker: string;
  readonly ending: Ending | undefined;
}

interface Waiter {
  readonly call: event.CallNumber;
  readonly until: clock.Milliseconds;
}

/** How long an ended request is kept for callers that ask again. */
const RETENTION_MS = 3_600_000;

/**
 * The requests whose home is this process, with the calls that wait for them.
 * An answer is given only to the client that the request belongs to.
 */
export class RequestTable {
  private readonly entries = new Map<string, RequestEntry>();
  private readonly waiters = new Map<string, Waiter[]>();
  private readonly endedAt = new Map<string, clock.Milliseconds>();

  /** Returns what is kept of a request. */
  get(identity: string): RequestEntry | undefined {
    return this.entries.get(identity);
  }

  /** Requests that have not ended. */
  unfinishedCount(): number {
    return this.entries.size - this.endedAt.size;
  }

  /** Adds an admitted request. */
  add(admitted: request.Request): void {
    this.entries.set(admitted.identity, {
      request: admitted,
      state: 'queued',
      worker: '',
      ending: undefined,
    });
  }

  /** Moves a request on; an ended request stays ended. */
  advance(identity: string, state: RequestState, worker: string): void {
    const entry = this.entries.get(identity);
    if (entry === undefined || entry.state === 'ended') return;
    this.entries.set(identity, {...entry, state, worker});
  }

  /** Ends a request and answers the calls that wait for it. */
  end(
    identity: string,
    ending: Ending,
    now: clock.Milliseconds,
  ): ReadonlyArray<effect.Effect> {
    const entry = this.entries.get(identity);
    if (entry === undefined || entry.state === 'ended') return [];
    const ended: RequestEntry = {...entry, state: 'ended', ending};
    this.entries.set(identity, ended);
    this.endedAt.set(identity, now);
    const waiting = this.waiters.get(identity) ?? [];
    this.waiters.delete(identity);
    return waiting.map(waiter => answer(waiter.call, ended));
  }

  /** Answers a call now, or when the request ends, at the latest at `until`. */
  wait(
    identity: string,
    call: event.CallNumber,
    until: clock.Milliseconds,
    now: clock.Milliseconds,
  ): ReadonlyArray<effect.Effect> {
    const entry = this.entries.get(identity);
    if (entry === undefined) return [];
    if (entry.state === 'ended' || until <= now) return [answer(call, entry)];
    const waiting = this.waiters.get(identity) ?? [];
    waiting.push({call, until});
    this.waiters.set(identity, waiting);
    return [];
  }

  /** Drops the waiting call of a caller that has gone. */
  forgetCall(call: event.CallNumber): void {
    for (const [identity, waiting] of this.waiters) {
      const rest = waiting.filter(waiter => waiter.call !== call);
      if (rest.length === 0) this.waiters.delete(identity);
      else this.waiters.set(identity, rest);
    }
  }

  /** Answers calls whose wait is over and drops what was kept long enough. */
  expire(now: clock.Milliseconds): ReadonlyArray<effect.Effect> {
    const effects: effect.Effect[] = [];
    for (const [identity, waiting] of this.waiters) {
      const entry = this.entries.get(identity);
      if (entry === undefined) continue;
      const over = waiting.filter(waiter => waiter.until <= now);
      if (over.length === 0) continue;
      for (const waiter of over) effects.push(answer(waiter.call, entry));
      const rest = waiting.filter(waiter => waiter.until > now);
      if (rest.length === 0) this.waiters.delete(identity);
      else this.waiters.set(identity, rest);
    }
    for (const [identity, endedAt] of this.endedAt) {
      // Entries are in order of their end, so the first young one ends the walk.
      if (now - endedAt < RETENTION_MS) break;
      this.endedAt.delete(identity);
      this.entries.delete(identity);
    }
    return effects;
  }

  /** When `expire` is wanted next. */
  nextDeadline(): clock.Milliseconds {
    let due = Infinity;
    for (const waiting of this.waiters.values()) {
      for (const waiter of waiting) due = Math.min(due, waiter.until);
    }
    return due;
  }
}

/** Builds the reply that shows a request's state or its end. */
export function answer(
  call: event.CallNumber,
  entry: RequestEntry,
): effect.Effect {
  const identity = entry.request.identity;
  if (entry.ending === undefined) {
    return {
      kind: 'answerCaller',
      call,
      reply: {
        code: result.RESULT_CODES.accepted.code,
        identity,
        state: entry.state,
        worker: entry.worker,
      },
    };
  }
  return {
    kind: 'answerCaller',
    call,
    reply: {
      code: result.RESULT_CODES[entry.ending.result].code,
      detail: entry.ending.detail,
      identity,
      state: 'ended',
      worker: entry.worker,
      answer: entry.ending.answer,
    },
  };
}
