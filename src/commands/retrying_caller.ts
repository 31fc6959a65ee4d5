import * as timers from 'node:timers/promises';
import * as commandReport from './command_report.js';
import type * as effect from '../contracts/effect.js';
import type * as entryClient from '../links/entry_client.js';

/** Delay before a call is repeated. */
const RETRY_DELAY_MS = 500;

/** Maximum time for which one call waits for the end of a request. */
const MAXIMUM_WAIT_SECONDS = 20;

/** Time allowed for a reply in addition to the wait that the call requests. */
const REPLY_ALLOWANCE_MS = 15_000;

/**
 * Repeats a call until its reply is final or the timeout has passed. Use it
 * only for idempotent calls: each must carry an identity or change nothing.
 */
export class RetryingCaller {
  private readonly deadlineMs: number;

  constructor(
    private readonly client: entryClient.EntryClient,
    timeoutSeconds: number,
  ) {
    this.deadlineMs = performance.now() + timeoutSeconds * 1_000;
  }

  /**
   * Returns the final reply, or the last one at the timeout. Returns
   * `unknownOutcomeReply` instead of a reply that states that nothing was done
   * if an earlier attempt may have taken effect.
   */
  async call(
    build: (waitSeconds: number) => Omit<entryClient.EntryCall, 'timeoutMs'>,
    unknownOutcomeReply?: effect.Reply,
  ): Promise<effect.Reply | undefined> {
    let lastReply: effect.Reply | undefined;
    let mayHaveTakenEffect = false;
    for (;;) {
      const answer = await this.client.call(this.buildCall(build));
      const reply = answer.kind === 'reply' ? answer.reply : undefined;
      if (reply !== undefined && isFinal(reply)) return reply;
      lastReply = reply ?? lastReply;
      mayHaveTakenEffect ||= answer.kind === 'lost' || mayBeInProgress(reply);
      if (performance.now() + RETRY_DELAY_MS >= this.deadlineMs) {
        const claimsNothingDone =
          lastReply === undefined || !mayBeInProgress(lastReply);
        return mayHaveTakenEffect && claimsNothingDone
          ? (unknownOutcomeReply ?? lastReply)
          : lastReply;
      }
      if (needsOtherProcess(reply)) this.client.failOver();
      await timers.setTimeout(RETRY_DELAY_MS);
    }
  }

  private buildCall(
    build: (waitSeconds: number) => Omit<entryClient.EntryCall, 'timeoutMs'>,
  ): entryClient.EntryCall {
    const secondsLeft = Math.max(
      0,
      (this.deadlineMs - performance.now()) / 1_000,
    );
    const waitSeconds = Math.floor(Math.min(secondsLeft, MAXIMUM_WAIT_SECONDS));
    // The last call may wait for its reply beyond the timeout.
    return {
      ...build(waitSeconds),
      timeoutMs: waitSeconds * 1_000 + REPLY_ALLOWANCE_MS,
    };
  }
}

/** Returns whether a repeated call would get the same reply. */
function isFinal(reply: effect.Reply): boolean {
  if (needsOtherProcess(reply)) return false;
  return commandReport.findResultCode(reply.code)?.retry !== 'sameIdentity';
}

/** Returns whether the request is or may be in progress after this reply. */
function mayBeInProgress(reply: effect.Reply | undefined): boolean {
  if (reply === undefined) return false;
  const execution = commandReport.findResultCode(reply.code)?.execution;
  return execution === 'pending' || execution === 'unknown';
}

/** Returns whether this entry process is unavailable and another is needed. */
function needsOtherProcess(reply: effect.Reply | undefined): boolean {
  if (reply === undefined) return true;
  return Math.floor(reply.code / 1_000) === 3;
}
