import type * as clock from '../machines/clock.js';

/**
 * Which members know the term that this process leads. Once a majority does, an
 * earlier leader finds no majority that doesn't.
 */
export class TermAnnouncement {
  private term = 0;
  private readonly informed = new Set<string>();
  private informedAt: clock.Milliseconds | undefined;

  constructor(private readonly clock: clock.Clock) {}

  /** When a majority of the members knew the term; undefined until then. */
  get majorityInformedAt(): clock.Milliseconds | undefined {
    return this.informedAt;
  }

  /** Starts to announce a term; `peers` are the addresses of all others. */
  beginTerm(term: number, peers: ReadonlyArray<string>): void {
    this.term = term;
    this.informed.clear();
    this.informedAt = undefined;
    this.review(peers);
  }

  /** Records the newest term that a member knows. */
  recordKnownTerm(
    address: string,
    knownTerm: number | undefined,
    peers: ReadonlyArray<string>,
  ): void {
    if (knownTerm === undefined || knownTerm < this.term) return;
    this.informed.add(address);
    this.review(peers);
  }

  private review(peers: ReadonlyArray<string>): void {
    if (this.informedAt !== undefined) return;
    const informedCount = peers.filter(address =>
      this.informed.has(address),
    ).length;
    // Without half of the members, the others are no majority.
    const isEnough = 2 * (informedCount + 1) >= peers.length + 1;
    if (isEnough) this.informedAt = this.clock.now();
  }
}
