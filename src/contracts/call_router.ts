import * as callReply from './call_reply.js';
import * as effect from './effect.js';
import * as result from '../result.js';
import type * as clock from '../machines/clock.js';
import type * as event from './event.js';
import type * as processDirectory from './process_directory.js';
import type * as outcomeRecovery from './outcome_recovery.js';

/** Minimum time for recovery before a call is answered with "unknown". */
const MINIMUM_RECOVERY_WAIT_MS = 5_000;

/** A call that refers to the identity of one request. */
export type IdentityCall = Extract<
  event.CallEvent,
  {
    readonly kind:
      'requestArrived' | 'fetchArrived' | 'cancelArrived' | 'explainArrived';
  }
>;

/** Handles the requests of the local process on behalf of the router. */
export interface LocalRequestHandler {
  /** Answers a call about an identity that this process knows. */
  answerLocally(
    call: IdentityCall,
    identity: string,
    now: clock.Milliseconds,
  ): ReadonlyArray<effect.Effect>;
  /** Blocks an identity from running here; false if it is already known. */
  preventRun(identity: string, now: clock.Milliseconds): boolean;
  /** Returns whether a submission may run twice; undefined if unknown. */
  isIdempotent(call: IdentityCall): boolean | undefined;
}

interface ForwardedCall {
  readonly identity: string;
  readonly address: string;
}

interface CallInRecovery {
  readonly call: IdentityCall;
  readonly query: outcomeRecovery.OutcomeQuery;
  readonly deadline: clock.Milliseconds;
}

/**
 * Forwards calls about identities of other processes to their home. When the
 * home is dead, recovery determines the outcome.
 */
export class CallRouter {
  private readonly callsInRecovery = new Map<
    event.CallNumber,
    CallInRecovery
  >();
  private readonly forwardedCalls = new Map<event.CallNumber, ForwardedCall>();

  constructor(
    private readonly self: string,
    private readonly directory: processDirectory.ProcessDirectory,
    private readonly recovery: outcomeRecovery.OutcomeRecovery,
    private readonly localHandler: LocalRequestHandler,
  ) {}

  /** Forwards a call to its home, or starts recovery if the home is dead. */
  route(
    call: IdentityCall,
    identity: string,
    home: string,
    now: clock.Milliseconds,
  ): ReadonlyArray<effect.Effect> {
    const address = this.directory.address(home);
    if (address !== undefined) {
      const member = {process: home, address};
      return this.forward(call, identity, member, false);
    }
    const relay = this.directory.relayFor(home);
    if (relay !== undefined) return this.forward(call, identity, relay, true);
    if (!this.directory.hasSuccessor(home, now)) {
      const detail = `home process ${home} is unreachable but may be alive`;
      return answerUnknown(call, identity, detail);
    }
    return this.queryRecovery(call, identity, home, now);
  }

  /** Handles answers to forwarded calls; ignores events of other kinds. */
  handle(
    handled: event.Event,
    now: clock.Milliseconds,
  ): ReadonlyArray<effect.Effect> {
    switch (handled.kind) {
      case 'forwardAnswered':
        return this.handleForwardAnswer(handled);
      case 'forwardFailed':
        return this.handleForwardFailure(handled.call);
      case 'callEnded':
        this.forwardedCalls.delete(handled.call);
        this.cancelRecovery(handled.call);
        return [];
      case 'timePassed':
        return this.expireCalls(now);
      default:
        return [];
    }
  }

  /** Answers the calls that wait for this recovery result. */
  handleRecoveryResult(
    recoveryResult: outcomeRecovery.RecoveryResult,
    now: clock.Milliseconds,
  ): ReadonlyArray<effect.Effect> {
    const produced: effect.Effect[] = [];
    for (const waiting of [...this.callsInRecovery.values()]) {
      const {identity, client, process} = waiting.query;
      const isSameQuery =
        identity === recoveryResult.query.identity &&
        client === recoveryResult.query.client &&
        process === recoveryResult.query.process;
      if (!isSameQuery) continue;
      this.callsInRecovery.delete(waiting.call.call);
      produced.push(
        ...this.answerFromFinding(waiting, recoveryResult.finding, now),
      );
    }
    return produced;
  }

  nextDeadline(): clock.Milliseconds {
    let earliest = Infinity;
    for (const waiting of this.callsInRecovery.values()) {
      earliest = Math.min(earliest, waiting.deadline);
    }
    return earliest;
  }

  private forward(
    call: IdentityCall,
    identity: string,
    target: processDirectory.PeerProcess,
    relayed: boolean,
  ): ReadonlyArray<effect.Effect> {
    const {process: peer, address} = target;
    this.forwardedCalls.set(call.call, {identity, address});
    return [
      effect.count('forward', {reason: relayed ? 'otherZone' : 'home'}),
      {kind: 'forwardCall', peer, address, relayed, call: call.call},
    ];
  }

  private queryRecovery(
    call: IdentityCall,
    identity: string,
    process: string,
    now: clock.Milliseconds,
  ): ReadonlyArray<effect.Effect> {
    const query = {identity, client: call.client, process};
    const waitMs = 'waitMs' in call ? call.waitMs : 0;
    const deadline = now + Math.max(waitMs, MINIMUM_RECOVERY_WAIT_MS);
    this.callsInRecovery.set(call.call, {call, query, deadline});
    const output = this.recovery.query(query, now);
    return [
      ...output.effects,
      ...output.results.flatMap(answer =>
        this.handleRecoveryResult(answer, now),
      ),
    ];
  }

  private answerFromFinding(
    waiting: CallInRecovery,
    finding: outcomeRecovery.RecoveryResult['finding'],
    now: clock.Milliseconds,
  ): ReadonlyArray<effect.Effect> {
    const {call, query} = waiting;
    const {identity} = query;
    switch (finding.kind) {
      case 'ended':
        return [answerOutcome(call, identity, finding.outcome)];
      case 'notRun':
        return this.answerNotRun(call, identity);
      case 'running':
        return [answerRunning(call, identity, finding.worker)];
      case 'offered':
        return this.routeToOfferedProcess(call, query, finding.process, now);
      case 'foreign':
        return callReply.refuse(call.call, callReply.unknownIdentity(identity));
      case 'lost': {
        const detail =
          'the remaining records and reports do not show the outcome';
        const lost = result.failure('outcomeLost', detail);
        return callReply.refuse(call.call, lost, identity);
      }
      default:
        return answerUnknown(call, identity, 'the outcome is not proved yet');
    }
  }

  /**
   * Idempotent requests leave no records, so the absence of records proves
   * "not run" only for a non-idempotent request.
   */
  private answerNotRun(
    call: IdentityCall,
    identity: string,
  ): ReadonlyArray<effect.Effect> {
    if (call.kind !== 'requestArrived') {
      const detail =
        'repeat the submission: its workload tells if records were kept';
      return answerUnknown(call, identity, detail);
    }
    const idempotent = this.localHandler.isIdempotent(call);
    if (idempotent === undefined) {
      return answerUnknown(call, identity, 'the workload is not configured');
    }
    const failed = idempotent
      ? result.failure('outcomeLost', 'submit it again with a new identity')
      : result.failure('homeGone', 'it was not run; use a new identity');
    return callReply.refuse(call.call, failed, identity);
  }

  private routeToOfferedProcess(
    call: IdentityCall,
    query: outcomeRecovery.OutcomeQuery,
    process: string,
    now: clock.Milliseconds,
  ): ReadonlyArray<effect.Effect> {
    const {identity} = query;
    if (process === query.process) {
      return answerUnknown(
        call,
        identity,
        `the records of ${process} name no other process`,
      );
    }
    if (process !== this.self) return this.route(call, identity, process, now);
    if (this.localHandler.preventRun(identity, now)) {
      return this.answerNotRun(call, identity);
    }
    return this.localHandler.answerLocally(call, identity, now);
  }

  private handleForwardAnswer(
    answered: Extract<event.Event, {kind: 'forwardAnswered'}>,
  ): ReadonlyArray<effect.Effect> {
    const {call} = answered;
    const forwarded = this.forwardedCalls.get(call);
    if (forwarded === undefined) return [];
    this.forwardedCalls.delete(call);
    const {identity} = forwarded;
    const reply = readReply(answered.code, answered.body);
    if (reply.identity !== undefined && reply.identity !== identity) {
      return [
        effect.count('answer_dropped', {reason: 'otherIdentity'}),
        ...answerUnknownByNumber(
          call,
          identity,
          'the home process answered for another identity',
        ),
      ];
    }
    return [{kind: 'answerCaller', call, reply}];
  }

  private handleForwardFailure(
    call: event.CallNumber,
  ): ReadonlyArray<effect.Effect> {
    const forwarded = this.forwardedCalls.get(call);
    if (forwarded === undefined) return [];
    this.forwardedCalls.delete(call);
    const {identity, address} = forwarded;
    this.directory.markUnreachable(address);
    return answerUnknownByNumber(
      call,
      identity,
      'the home process did not answer',
    );
  }

  private expireCalls(now: clock.Milliseconds): ReadonlyArray<effect.Effect> {
    const produced: effect.Effect[] = [];
    for (const waiting of [...this.callsInRecovery.values()]) {
      if (waiting.deadline > now) continue;
      this.cancelRecovery(waiting.call.call);
      const detail = 'the records of its home process are not all read yet';
      produced.push(
        ...answerUnknown(waiting.call, waiting.query.identity, detail),
      );
    }
    return produced;
  }

  private cancelRecovery(call: event.CallNumber): void {
    const waiting = this.callsInRecovery.get(call);
    if (waiting === undefined) return;
    this.callsInRecovery.delete(call);
    const isShared = [...this.callsInRecovery.values()].some(
      other =>
        other.query.identity === waiting.query.identity &&
        other.query.client === waiting.query.client,
    );
    if (!isShared) this.recovery.cancelQuery(waiting.query);
  }
}

function readReply(code: number, body: string): effect.Reply {
  try {
    const parsed: unknown = JSON.parse(body);
    if (typeof parsed !== 'object' || parsed === null) return {code};
    return {...parsed, code};
  } catch {
    return {code};
  }
}

function answerOutcome(
  call: IdentityCall,
  identity: string,
  outcome: {
    readonly result: result.ResultName;
    readonly detail: string;
    readonly answer: string;
  },
): effect.Effect {
  const {code} = result.RESULT_CODES[outcome.result];
  const {detail, answer} = outcome;
  const reply = {code, detail, identity, state: 'ended', answer};
  return {kind: 'answerCaller', call: call.call, reply};
}

function answerRunning(
  call: IdentityCall,
  identity: string,
  worker: string,
): effect.Effect {
  const {code} = result.RESULT_CODES.accepted;
  const reply = {code, identity, state: 'running', worker};
  return {kind: 'answerCaller', call: call.call, reply};
}

function answerUnknown(
  call: IdentityCall,
  identity: string,
  detail: string,
): ReadonlyArray<effect.Effect> {
  return answerUnknownByNumber(call.call, identity, detail);
}

function answerUnknownByNumber(
  call: event.CallNumber,
  identity: string,
  detail: string,
): ReadonlyArray<effect.Effect> {
  const failed = result.failure('unknownOutcome', detail);
  return callReply.refuse(call, failed, identity);
}
