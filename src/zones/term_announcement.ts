import type * as clock from '../machines/clock.js';

/** A member as the announcement of a term counts it. */
export interface InformedMember {
  readonly address: string;
  /** Whether every earlier leader that may still act knows and needs it. */
  readonly isGrantor: boolean;
}

/** A term of this process, and whether this process is a grantor. */
export interface AnnouncedTerm {
  readonly term: number;
  readonly isGrantor: boolean;
}

/**
 * Which members know the term that this process leads. Once a grantor does, no
 * earlier leader hears all members; once a majority does, none finds a majority
 * that doesn't.
 */
export class TermAnnouncement {
  private announced: AnnouncedTerm = {term: 0, isGrantor: true};
  private readonly informed = new Set<string>();
  private firstGrantorAt: clock.Milliseconds | undefined;
  private majorityAt: clock.Milliseconds | undefined;

  constructor(private readonly clock: clock.Clock) {}

  /** When the first grantor knew the term; undefined until then. */
  get grantorInformedAt(): clock.Milliseconds | undefined {
    return this.firstGrantorAt;
  }

  /**
   * When so many grantors knew the term that the other members that an earlier
   * leader may know are no majority of these; undefined until then.
   */
  get majorityInformedAt(): clock.Milliseconds | undefined {
    return this.majorityAt;
  }

  /** Whether both times are known. */
  get isComplete(): boolean {
    return this.firstGrantorAt !== undefined && this.majorityAt !== undefined;
  }

  /** Starts to announce a term; `peers` are all others. */
  beginTerm(
    announced: AnnouncedTerm,
    peers: ReadonlyArray<InformedMember>,
  ): void {
    this.announced = announced;
    this.informed.clear();
    this.firstGrantorAt = undefined;
    this.majorityAt = undefined;
    this.review(peers);
  }

  /** Records the newest term that a member knows. */
  recordKnownTerm(
    address: string,
    knownTerm: number | undefined,
    peers: ReadonlyArray<InformedMember>,
  ): void {
    if (knownTerm === undefined || knownTerm < this.announced.term) return;
    this.informed.add(address);
    this.review(peers);
  }

  private review(peers: ReadonlyArray<InformedMember>): void {
    if (this.isComplete) return;
    const ownCount = this.announced.isGrantor ? 1 : 0;
    let informedGrantorCount = ownCount;
    // An earlier leader may know any of the others, too.
    let possibleCount = ownCount;
    for (const {address, isGrantor} of peers) {
      const isInformed = this.informed.has(address);
      if (isGrantor && isInformed) informedGrantorCount += 1;
      if (isGrantor || !isInformed) possibleCount += 1;
    }
    const now = this.clock.now();
    if (informedGrantorCount > 0) this.firstGrantorAt ??= now;
    // Without half of the members, the others are no majority.
    if (2 * informedGrantorCount >= possibleCount) this.majorityAt ??= now;
  }
}
