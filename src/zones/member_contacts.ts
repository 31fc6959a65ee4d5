import type * as cellMember from './cell_member.js';
import type * as clock from '../machines/clock.js';

/**
 * The leader hears a member that it had contact with within this time: one
 * interval of its pings and a half.
 */
const CONTACT_WINDOW_MS = 1_200;

/** When this process last heard each other member of the cell. */
export class MemberContacts {
  private readonly lastContactAt = new Map<string, clock.Milliseconds>();
  /** Until when this process, a new leader, counts as heard by all. */
  private assumedUntil: clock.Milliseconds = -Infinity;

  constructor(private readonly clock: clock.Clock) {}

  /** Records that a ping from the member, or its reply to one, arrived. */
  recordContact(address: string): void {
    this.lastContactAt.set(address, this.clock.now());
  }

  /** Returns when a member was last heard; -Infinity if it never was. */
  lastContactAtOf(address: string): clock.Milliseconds {
    return this.lastContactAt.get(address) ?? -Infinity;
  }

  /** Returns the members that were heard within `windowMs`. */
  heardWithin(
    members: ReadonlyArray<cellMember.CellMember>,
    windowMs: number,
  ): ReadonlyArray<cellMember.CellMember> {
    const now = this.clock.now();
    return members.filter(({address}) => {
      return now - this.lastContactAtOf(address) < windowMs;
    });
  }

  /** Gives a new leader the time to hear the members. */
  beginTerm(): void {
    this.assumedUntil = this.clock.now() + CONTACT_WINDOW_MS;
  }

  /** Returns whether this process and the peers it hears are a majority. */
  hearsMajority(peers: ReadonlyArray<cellMember.CellMember>): boolean {
    if (this.clock.now() < this.assumedUntil) return true;
    const heard = this.heardWithin(peers, CONTACT_WINDOW_MS);
    return 2 * (heard.length + 1) > peers.length + 1;
  }

  /** Excludes time in which this process could not read messages. */
  excludeLostTime(lostMs: number): void {
    const now = this.clock.now();
    this.assumedUntil += lostMs;
    for (const [address, contactAt] of this.lastContactAt) {
      this.lastContactAt.set(address, Math.min(now, contactAt + lostMs));
    }
  }
}
