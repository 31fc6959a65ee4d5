import * as timers from 'node:timers/promises';
import * as commandReport from './command_report.js';
import type * as effect from '../contracts/effect.js';
import type * as entryClient from '../links/entry_client.js';

/** Pause before a call is repeated. */
const RETRY_PAUSE_MS = 500;

/** Longest time that one call waits for the end of a request. */
const MAXIMUM_WAIT_SECONDS = 20;

/** Time for a reply beyond the wait that the call asks for. */
const REPLY_ALLOWANCE_MS = 15_000;

/**
 * Repeats a call until its reply is final or the time is over. Only calls
 * that may be repeated are made with it: each carries an identity or changes
 * nothing.
 */
export class RetryingCaller {
  private readonly deadline: number;

  constructor(
    private readonly client: entryClient.EntryClient,
    timeoutSeconds: number,
  ) {
    this.deadline = performance.now() + timeoutSeconds * 1_000;
  }

  /**
   * Returns the final reply, or the last one when the time is over. `unknown`
   * is returned instead of a reply that claims that nothing was done while an
   * earlier try may have taken effect.
   */
  async call(
    build: (waitSeconds: number) => Omit<entryClient.EntryCall, 'timeoutMs'>,
    unknown?: effect.Reply,
  ): Promise<effect.Reply | undefined> {
    let last: effect.Reply | undefined;
    let mayHaveTakenEffect = false;
    for (;;) {
      const answer = await this.client.call(this.buildCall(build));
      const reply = answer.kind === 'reply' ? answer.reply : undefined;
      if (reply !== undefined && isFinal(reply)) return reply;
      last = reply ?? last;
      mayHaveTakenEffect ||= answer.kind === 'lost' || isUnsettled(reply);
      if (performance.now() + RETRY_PAUSE_MS >= this.deadline) {
        const claimsNothingDone = last === undefined || !isUnsettled(last);
        return mayHaveTakenEffect && claimsNothingDone
          ? (unknown ?? last)
          : last;
      }
      if (needsOtherProcess(reply)) this.client.failOver();
      await timers.setTimeout(RETRY_PAUSE_MS);
    }
  }

  private buildCall(
    build: (waitSeconds: number) => Omit<entryClient.EntryCall, 'timeoutMs'>,
  ): entryClient.EntryCall {
    const left = Math.max(0, (this.deadline - performance.now()) / 1_000);
    const wait = Math.floor(Math.min(left, MAXIMUM_WAIT_SECONDS));
    // The last call gets time for its reply even when the time is over.
    return {...build(wait), timeoutMs: wait * 1_000 + REPLY_ALLOWANCE_MS};
  }
}

/** Whether asking again under the same identity cannot change the reply. */
function isFinal(reply: effect.Reply): boolean {
  if (needsOtherProcess(reply)) return false;
  return commandReport.rowOf(reply.code)?.retry !== 'sameIdentity';
}

/** Whether the reply says that something is, or may be, going on. */
function isUnsettled(reply: effect.Reply | undefined): boolean {
  if (reply === undefined) return false;
  const execution = commandReport.rowOf(reply.code)?.execution;
  return execution === 'pending' || execution === 'unknown';
}

/** Whether another entry process may do better. */
function needsOtherProcess(reply: effect.Reply | undefined): boolean {
  if (reply === undefined) return true;
  return Math.floor(reply.code / 1_000) === 3;
}
