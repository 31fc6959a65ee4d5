import type * as cellMember from './cell_member.js';

/**
 * Which members the leaders that may still act have read from the log. Such a
 * member is a grantor: once it knows a later term, none of these leaders hears
 * all members that it knows. Example: leader A has read A, B and C. D and E join
 * while A is cut off with B and C. D leads, then E. D had read E, but A knows
 * neither, so only A, B and C are grantors for both of them. Had A written that
 * it acts without C, only A and B would be.
 */
export class GrantorTable {
  /** Offset at which a process of each address first registered. */
  private readonly registrations = new Map<string, number>();
  private lastLeaderRecord: cellMember.LeaderRecord | undefined;

  /** Applies what a read of the cell's log has brought. */
  applyLog(
    memberOffsets: ReadonlyMap<string, number>,
    leaderRecord: cellMember.LeaderRecord | undefined,
  ): void {
    for (const [address, offset] of memberOffsets) {
      const known = this.registrations.get(address) ?? Infinity;
      this.registrations.set(address, Math.min(known, offset));
    }
    const knownOffset = this.lastLeaderRecord?.offset ?? -1;
    if (leaderRecord !== undefined && leaderRecord.offset > knownOffset) {
      this.lastLeaderRecord = leaderRecord;
    }
  }

  /** Forgets a member that a leader has dropped from the log. */
  forget(address: string): void {
    this.registrations.delete(address);
  }

  /** Returns where a process at an address first registered, if known. */
  firstOffsetOf(address: string): number | undefined {
    return this.registrations.get(address);
  }

  /** Grantors for all leaders of the log so far; undefined if there was none. */
  get grantors(): cellMember.Grantors | undefined {
    return this.lastLeaderRecord;
  }

  /** Returns whether the last leader has read a member's registration. */
  isKnownToLeader(address: string): boolean {
    const {lastLeaderRecord: last} = this;
    return last === undefined || this.isRegisteredBefore(address, last.offset);
  }

  /**
   * Returns whether a member is one of the grantors. A later process at the
   * address of one is, too: it shows that the registered process has ended, so
   * that a leader which knows that one doesn't hear it.
   */
  isGrantor(
    address: string,
    grantors: cellMember.Grantors | undefined,
  ): boolean {
    if (grantors === undefined) return true;
    const {grantorEnd, exempt} = grantors;
    return (
      this.isRegisteredBefore(address, grantorEnd) && !exempt.includes(address)
    );
  }

  private isRegisteredBefore(address: string, end: number): boolean {
    return (this.registrations.get(address) ?? Infinity) < end;
  }
}
