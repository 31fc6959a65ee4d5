import * as callReply from './call_reply.js';
import * as effects from './effect.js';
import * as result from '../result.js';
import type * as clock from '../machines/clock.js';
import type * as event from './event.js';
import type * as processDirectory from './process_directory.js';
import type * as recoveries from './recovery.js';

/** Least time that recovery gets before a call is answered with "unknown". */
const RECOVERY_WAIT_MS = 5_000;

/** A call about one identity. */
export type IdentityCall = Extract<
  event.CallEvent,
  {
    readonly kind:
      'requestArrived' | 'fetchArrived' | 'cancelArrived' | 'explainArrived';
  }
>;

/** What the router needs of the process that it belongs to. */
export interface LocalDesk {
  /** Answers a call about an identity that this process knows. */
  answerHere(
    call: IdentityCall,
    identity: string,
    now: clock.Milliseconds,
  ): ReadonlyArray<effects.Effect>;
  /** Makes sure that an identity never runs here; false when it has begun. */
  bury(identity: string, now: clock.Milliseconds): boolean;
  /** Whether a submission may run twice. */
  isIdempotent(call: IdentityCall): boolean | undefined;
}

interface ForwardedCall {
  readonly identity: string;
  readonly address: string;
}

interface HeldCall {
  readonly call: IdentityCall;
  readonly question: recoveries.Question;
  readonly until: clock.Milliseconds;
}

/**
 * Passes calls about identities of other processes on to their home, and lets
 * recovery decide when the home is dead.
 */
export class CallRouter {
  private readonly held = new Map<event.CallNumber, HeldCall>();
  private readonly forwarded = new Map<event.CallNumber, ForwardedCall>();

  constructor(
    private readonly self: string,
    private readonly directory: processDirectory.ProcessDirectory,
    private readonly recovery: recoveries.Recovery,
    private readonly desk: LocalDesk,
  ) {}

  /** Routes a call about an identity whose home is `home`. */
  route(
    call: IdentityCall,
    identity: string,
    home: string,
    now: clock.Milliseconds,
  ): ReadonlyArray<effects.Effect> {
    const address = this.directory.address(home);
    if (address !== undefined) {
      const member = {process: home, address};
      return this.forward(call, identity, member, false);
    }
    const relay = this.directory.relay(home);
    if (relay !== undefined) return this.forward(call, identity, relay, true);
    if (!this.directory.isSucceeded(home, now)) {
      const detail = `the home ${home} can't be reached and may be alive`;
      return unknown(call, identity, detail);
    }
    return this.askRecovery(call, identity, home, now);
  }

  /** Handles the answers of homes; ignores other events. */
  handle(
    handled: event.Event,
    now: clock.Milliseconds,
  ): ReadonlyArray<effects.Effect> {
    switch (handled.kind) {
      case 'forwardAnswered':
        return this.forwardAnswered(handled);
      case 'forwardFailed':
        return this.forwardFailed(handled.call);
      case 'callEnded':
        this.forwarded.delete(handled.call);
        this.release(handled.call);
        return [];
      case 'timePassed':
        return this.expire(now);
      default:
        return [];
    }
  }

  /** Answers the calls that wait for what recovery found. */
  takeAnswer(
    answer: recoveries.RecoveryAnswer,
    now: clock.Milliseconds,
  ): ReadonlyArray<effects.Effect> {
    const done: effects.Effect[] = [];
    for (const held of [...this.held.values()]) {
      const {identity, client, process} = held.question;
      const same =
        identity === answer.question.identity &&
        client === answer.question.client &&
        process === answer.question.process;
      if (!same) continue;
      this.held.delete(held.call.call);
      done.push(...this.answerHeld(held, answer.finding, now));
    }
    return done;
  }

  nextDeadline(): clock.Milliseconds {
    let due = Infinity;
    for (const held of this.held.values()) due = Math.min(due, held.until);
    return due;
  }

  private forward(
    call: IdentityCall,
    identity: string,
    to: processDirectory.Member,
    relayed: boolean,
  ): ReadonlyArray<effects.Effect> {
    const {process: peer, address} = to;
    this.forwarded.set(call.call, {identity, address});
    return [
      effects.count('forward', {reason: relayed ? 'otherZone' : 'home'}),
      {kind: 'forwardCall', peer, address, relayed, call: call.call},
    ];
  }

  private askRecovery(
    call: IdentityCall,
    identity: string,
    process: string,
    now: clock.Milliseconds,
  ): ReadonlyArray<effects.Effect> {
    const question = {identity, client: call.client, process};
    const waitMs = 'waitMs' in call ? call.waitMs : 0;
    const until = now + Math.max(waitMs, RECOVERY_WAIT_MS);
    this.held.set(call.call, {call, question, until});
    const turn = this.recovery.ask(question, now);
    return [
      ...turn.effects,
      ...turn.answers.flatMap(answer => this.takeAnswer(answer, now)),
    ];
  }

  private answerHeld(
    held: HeldCall,
    finding: recoveries.RecoveryAnswer['finding'],
    now: clock.Milliseconds,
  ): ReadonlyArray<effects.Effect> {
    const {call, question} = held;
    const {identity} = question;
    switch (finding.kind) {
      case 'ended':
        return [recovered(call, identity, finding.ending)];
      case 'notRun':
        return this.notRun(call, identity);
      case 'running':
        return [running(call, identity, finding.worker)];
      case 'offered':
        return this.offered(call, question, finding.process, now);
      case 'foreign':
        return callReply.refuse(call.call, callReply.unknownIdentity(identity));
      case 'lost': {
        const detail = 'the records and reports that remain prove nothing';
        const lost = result.failure('outcomeLost', detail);
        return callReply.refuse(call.call, lost, identity);
      }
      default:
        return unknown(call, identity, 'no proof has been found yet');
    }
  }

  /** Idempotent requests leave no records, so that nothing proves nothing. */
  private notRun(
    call: IdentityCall,
    identity: string,
  ): ReadonlyArray<effects.Effect> {
    if (call.kind !== 'requestArrived') {
      const detail = 'repeat the submission: it shows if there were records';
      return unknown(call, identity, detail);
    }
    const idempotent = this.desk.isIdempotent(call);
    if (idempotent === undefined) {
      return unknown(call, identity, 'the workload is not configured');
    }
    const failed = idempotent
      ? result.failure('outcomeLost', 'send it again under a new identity')
      : result.failure('homeGone', 'it was not run; use a new identity');
    return callReply.refuse(call.call, failed, identity);
  }

  private offered(
    call: IdentityCall,
    question: recoveries.Question,
    process: string,
    now: clock.Milliseconds,
  ): ReadonlyArray<effects.Effect> {
    const {identity} = question;
    if (process === question.process) {
      return unknown(call, identity, 'the records name no further process');
    }
    if (process !== this.self) return this.route(call, identity, process, now);
    if (this.desk.bury(identity, now)) return this.notRun(call, identity);
    return this.desk.answerHere(call, identity, now);
  }

  private forwardAnswered(
    answered: Extract<event.Event, {kind: 'forwardAnswered'}>,
  ): ReadonlyArray<effects.Effect> {
    const {call} = answered;
    const forwarded = this.forwarded.get(call);
    if (forwarded === undefined) return [];
    this.forwarded.delete(call);
    const {identity} = forwarded;
    const reply = readReply(answered.code, answered.body);
    if (reply.identity !== undefined && reply.identity !== identity) {
      return [
        effects.count('answer_dropped', {reason: 'otherIdentity'}),
        ...unknownFor(call, identity, 'the home answered another request'),
      ];
    }
    return [{kind: 'answerCaller', call, reply}];
  }

  private forwardFailed(call: event.CallNumber): ReadonlyArray<effects.Effect> {
    const forwarded = this.forwarded.get(call);
    if (forwarded === undefined) return [];
    this.forwarded.delete(call);
    const {identity, address} = forwarded;
    this.directory.noteUnreachable(address);
    return unknownFor(call, identity, 'the home gave no answer');
  }

  private expire(now: clock.Milliseconds): ReadonlyArray<effects.Effect> {
    const done: effects.Effect[] = [];
    for (const held of [...this.held.values()]) {
      if (held.until > now) continue;
      this.release(held.call.call);
      const detail = 'not all records of its home could be read yet';
      done.push(...unknown(held.call, held.question.identity, detail));
    }
    return done;
  }

  private release(call: event.CallNumber): void {
    const held = this.held.get(call);
    if (held === undefined) return;
    this.held.delete(call);
    const shared = [...this.held.values()].some(
      other =>
        other.question.identity === held.question.identity &&
        other.question.client === held.question.client,
    );
    if (!shared) this.recovery.drop(held.question);
  }
}

function readReply(code: number, body: string): effects.Reply {
  try {
    const parsed: unknown = JSON.parse(body);
    if (typeof parsed !== 'object' || parsed === null) return {code};
    return {...parsed, code};
  } catch {
    return {code};
  }
}

function recovered(
  call: IdentityCall,
  identity: string,
  ending: {
    readonly result: result.ResultName;
    readonly detail: string;
    readonly answer: string;
  },
): effects.Effect {
  const {code} = result.RESULT_CODES[ending.result];
  const {detail, answer} = ending;
  const reply = {code, detail, identity, state: 'ended', answer};
  return {kind: 'answerCaller', call: call.call, reply};
}

function running(
  call: IdentityCall,
  identity: string,
  worker: string,
): effects.Effect {
  const {code} = result.RESULT_CODES.accepted;
  const reply = {code, identity, state: 'running', worker};
  return {kind: 'answerCaller', call: call.call, reply};
}

function unknown(
  call: IdentityCall,
  identity: string,
  detail: string,
): ReadonlyArray<effects.Effect> {
  return unknownFor(call.call, identity, detail);
}

function unknownFor(
  call: event.CallNumber,
  identity: string,
  detail: string,
): ReadonlyArray<effects.Effect> {
  const failed = result.failure('unknownOutcome', detail);
  return callReply.refuse(call, failed, identity);
}
