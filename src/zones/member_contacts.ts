import type * as cellMember from './cell_member.js';
import type * as clock from '../machines/clock.js';

/** When this process last heard each other member of the cell. */
export class MemberContacts {
  private readonly lastContactAt = new Map<string, clock.Milliseconds>();

  constructor(private readonly clock: clock.Clock) {}

  /** Records that a ping from the member, or its reply to one, arrived. */
  recordContact(address: string): void {
    this.lastContactAt.set(address, this.clock.now());
  }

  /** Returns the members that were heard within `windowMs`. */
  heardWithin(
    members: ReadonlyArray<cellMember.CellMember>,
    windowMs: number,
  ): ReadonlyArray<cellMember.CellMember> {
    const now = this.clock.now();
    return members.filter(({address}) => {
      const lastContactAt = this.lastContactAt.get(address) ?? -Infinity;
      return now - lastContactAt < windowMs;
    });
  }

  /** Excludes time in which this process could not read messages. */
  excludeLostTime(lostMs: number): void {
    const now = this.clock.now();
    for (const [address, contactAt] of this.lastContactAt) {
      this.lastContactAt.set(address, Math.min(now, contactAt + lostMs));
    }
  }
}
