import * as reviewGapDetector from './review_gap_detector.js';
import type * as clock from '../machines/clock.js';

/** Silence towards the leader after which a member counts as departed. */
const DEPARTED_SILENCE_MS = 10_000;

/** Most members that one record drops, which bounds its size. */
const MAXIMUM_DROPPED_COUNT = 8;

/**
 * Members that have left for good, as far as the leader can tell. It drops them
 * from the cell's log, so that they no longer count among the members of which a
 * majority has to be heard or informed. A member that was only out of reach
 * finds itself dropped when it reads the log, and registers again.
 *
 * The log tells each process whom a leader counts, so a member may be dropped by
 * mistake without harm. While a record that drops a member may be stored unseen,
 * the member counts and its word does not.
 */
export class DepartedMembers {
  /** Since when each member is known to this leader. */
  private readonly knownSince = new Map<string, clock.Milliseconds>();
  private nominated: ReadonlySet<string> = new Set();
  private readonly reviewGaps = new reviewGapDetector.ReviewGapDetector();

  /** Starts anew, with every member given the time to be heard. */
  restart(now: clock.Milliseconds): void {
    this.knownSince.clear();
    this.nominated = new Set();
    this.reviewGaps.restart(now);
  }

  /** Returns whether a record that drops a member may be stored. */
  isNominated(address: string): boolean {
    return this.nominated.has(address);
  }

  /** Returns the members that a record about to be sent drops from the log. */
  review(
    peers: ReadonlyArray<string>,
    heardAt: (address: string) => clock.Milliseconds,
    now: clock.Milliseconds,
  ): ReadonlyArray<string> {
    if (this.reviewGaps.recordReview(now)) this.knownSince.clear();
    this.recordPeers(peers, now);
    const silent = peers.filter(address =>
      this.isSilent(address, heardAt(address), now),
    );
    // Those that are kept have to be a majority, this leader among them.
    const limit = Math.min(Math.floor(peers.length / 2), MAXIMUM_DROPPED_COUNT);
    const kept = peers.filter(address => this.nominated.has(address));
    const added = silent.filter(address => !this.nominated.has(address));
    this.nominated = new Set([...kept, ...added].slice(0, limit));
    return [...this.nominated];
  }

  private recordPeers(
    peers: ReadonlyArray<string>,
    now: clock.Milliseconds,
  ): void {
    const listed = new Set(peers);
    for (const address of this.knownSince.keys()) {
      if (!listed.has(address)) this.knownSince.delete(address);
    }
    for (const address of peers) {
      if (!this.knownSince.has(address)) this.knownSince.set(address, now);
    }
  }

  private isSilent(
    address: string,
    heardAt: clock.Milliseconds,
    now: clock.Milliseconds,
  ): boolean {
    const since = Math.max(heardAt, this.knownSince.get(address) ?? now);
    return now - since >= DEPARTED_SILENCE_MS;
  }
}
