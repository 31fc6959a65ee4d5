import type * as cellMember from './cell_member.js';

/**
 * Which members the leaders that may still act have read from the log. Such a
 * member is a witness: once it knows a later term, none of these leaders hears
 * all members that it knows. Example: leader A has read A, B and C. D and E join
 * while A is cut off with B and C. D leads, then E. D had read E, but A knows
 * neither, so only A, B and C are witnesses for both of them.
 */
export class WitnessTable {
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

  /**
   * Members that registered before this offset are witnesses for all leaders of
   * the log so far; undefined if there was none.
   */
  get witnessEnd(): number | undefined {
    return this.lastLeaderRecord?.witnessEnd;
  }

  /** Returns whether the last leader has read a member's registration. */
  isKnownToLeader(address: string): boolean {
    return this.isRegisteredBefore(address, this.lastLeaderRecord?.offset);
  }

  /**
   * Returns whether a process at the address registered before an offset. A
   * later process there shows that the registered one has ended, so that its
   * leader doesn't hear it either.
   */
  isRegisteredBefore(address: string, end: number | undefined): boolean {
    if (end === undefined) return true;
    return (this.registrations.get(address) ?? Infinity) < end;
  }
}
