import * as reviewGapDetector from './review_gap_detector.js';
import type * as clock from '../machines/clock.js';

/** Age of a member's word at which the leases that wait for it soon lapse. */
const LATE_WORD_MS = 3_000;

/** How long a member stays exempt after its word was last late. */
const EXEMPTION_MS = 60_000;

/** Most members that are exempt at a time, which bounds the leader's record. */
const MAXIMUM_EXEMPT_COUNT = 8;

/**
 * Members without which this leader acts on the word of all others: those that
 * are gone for good or answer late. Each of them might claim, so a member is
 * exempt only once the cell's log says so: its word is no end of this leader for
 * a successor, which looks for one that is not exempt.
 */
export class ExemptMembers {
  private readonly lateAt = new Map<string, clock.Milliseconds>();
  private nominated: ReadonlyArray<string> = [];
  /** Members that are nominated, and exempt by the last stored record. */
  private confirmed: ReadonlySet<string> = new Set();
  private readonly reviewGaps = new reviewGapDetector.ReviewGapDetector();
  /** Members had no chance to give their word before this time. */
  private countsFrom: clock.Milliseconds = -Infinity;

  /** Starts anew, without any exempt member. */
  restart(now: clock.Milliseconds): void {
    this.lateAt.clear();
    this.nominated = [];
    this.confirmed = new Set();
    this.reviewGaps.restart(now);
    this.countsFrom = now;
  }

  /**
   * Nominates members by when each last gave its word. From now on, all others
   * are needed.
   */
  review(
    peers: ReadonlyArray<string>,
    provedAt: (address: string) => clock.Milliseconds,
    now: clock.Milliseconds,
  ): ReadonlyArray<string> {
    if (this.reviewGaps.recordReview(now)) this.countsFrom = now;
    for (const address of peers) {
      const ageMs = now - Math.max(provedAt(address), this.countsFrom);
      if (ageMs > LATE_WORD_MS) this.lateAt.set(address, now);
    }
    const late = peers.filter(
      address => now - (this.lateAt.get(address) ?? -Infinity) < EXEMPTION_MS,
    );
    // The others have to be a majority.
    const isTooMany =
      late.length > MAXIMUM_EXEMPT_COUNT || 2 * late.length > peers.length;
    this.nominated = isTooMany ? [] : late;
    this.confirm(this.confirmed);
    return this.nominated;
  }

  /** Records that the cell's log holds the names of exempt members. */
  recordStored(addresses: ReadonlyArray<string>): void {
    this.confirm(new Set(addresses));
  }

  /** Returns whether this leader acts without a member's word. */
  isExempt(address: string): boolean {
    return this.confirmed.has(address);
  }

  private confirm(stored: ReadonlySet<string>): void {
    this.confirmed = new Set(
      this.nominated.filter(address => stored.has(address)),
    );
  }
}
