import type * as clock from './clock.js';

/** Timeout of a worker's answer at first. */
export const USUAL_ANSWER_TIMEOUT_MS = 350;

/** Longest timeout; a lease allows for two such calls in a row. */
const LONGEST_ANSWER_TIMEOUT_MS = 1_500;

/**
 * Calls without an answer before the first one with the longest timeout. Its
 * answer comes in time to renew leases of five seconds.
 */
const FIRST_PATIENT_CALL = 3;

/**
 * Interval of further ones. They are few, because a worker that is back while
 * one is pending is noticed later.
 */
const PATIENT_CALL_INTERVAL = 10;

/** Multiple of the last answer's time that the next one may take. */
const SAFETY_FACTOR = 2;

/**
 * Timeout of a worker's answers to renewals. A worker whose answers take longer
 * than usual is heard by a call with the longest timeout, and from then on in
 * the time that its answers take. Otherwise its leases would not be renewed.
 */
export class AnswerTimeout {
  private timeoutMs = USUAL_ANSWER_TIMEOUT_MS;

  /** Returns the timeout of the next call. */
  next(unansweredCalls: number): clock.Milliseconds {
    const isPatient =
      unansweredCalls === FIRST_PATIENT_CALL ||
      (unansweredCalls > 0 && unansweredCalls % PATIENT_CALL_INTERVAL === 0);
    return isPatient ? LONGEST_ANSWER_TIMEOUT_MS : this.timeoutMs;
  }

  /** Records the time from a call to its answer, which may include a wait. */
  recordAnswer(elapsedMs: number, waitMs: number): void {
    if (elapsedMs <= USUAL_ANSWER_TIMEOUT_MS) {
      this.timeoutMs = USUAL_ANSWER_TIMEOUT_MS;
      return;
    }
    // The worker may have waited, so nothing is known of its slowness.
    if (waitMs > 0) return;
    this.timeoutMs = Math.min(
      LONGEST_ANSWER_TIMEOUT_MS,
      SAFETY_FACTOR * elapsedMs,
    );
  }
}
