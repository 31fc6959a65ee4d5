import * as membership from './membership.js';
import * as textHash from '../machines/text_hash.js';
import type * as permitTracker from './permit_tracker.js';
import type * as clock from '../machines/clock.js';
import type * as ownership from './ownership.js';
import type * as vmPresence from './vm_presence.js';

/** Delay per rank of a claimant, so that claims do not conflict. */
const CLAIM_RANK_DELAY_MS = 1_500;

/** Age after which a member's confirmation is too old to rely on. */
const CONFIRMATION_VALIDITY_MS = 3_000;

/** State from which the policy decides. */
export interface SuccessionDependencies {
  readonly process: string;
  readonly vm: string;
  readonly table: ownership.OwnershipTable;
  readonly members: membership.Membership;
  readonly presence: vmPresence.VmPresence;
  readonly permits: permitTracker.PermitTracker;
}

/** Decides which members' items this process may claim, and when. */
export class SuccessionPolicy {
  constructor(private readonly dependencies: SuccessionDependencies) {}

  /** Returns the members whose items this process has to claim now. */
  claimableMembers(now: clock.Milliseconds): ReadonlyArray<string> {
    const {members} = this.dependencies;
    return members
      .others()
      .filter(member => this.mayClaim(member, now))
      .filter(member => this.isTurn(member.process, now))
      .map(member => member.process);
  }

  /** Returns whether a member is silent and no promise or rule protects it. */
  private mayClaim(
    member: ownership.JoinedMember,
    now: clock.Milliseconds,
  ): boolean {
    const {members, permits} = this.dependencies;
    if (!members.isSilent(member.process, now)) return false;
    if (permits.hasPromised(member.process, now)) return false;
    return (
      members.knowsSelf(member.process) ||
      this.isKnownThroughLog(member.process, now) ||
      this.isProvenAbsent(member) ||
      members.isReplaced(member)
    );
  }

  /**
   * Returns whether the silent member needs the confirmation of this process,
   * or of a live member that knows this process and would report it to the
   * silent member.
   * An owner has read every record up to the one that made it owner.
   */
  private isKnownThroughLog(
    silentMember: string,
    now: clock.Milliseconds,
  ): boolean {
    const {table, members, process} = this.dependencies;
    let lastReadOffset = Infinity;
    for (const {item} of table.itemsOf(silentMember)) {
      lastReadOffset = Math.min(
        lastReadOffset,
        table.ownership(item)?.offset ?? -1,
      );
    }
    for (const member of table.members().values()) {
      if (member.process === silentMember || member.joined > lastReadOffset) {
        continue;
      }
      if (member.process === process) return true;
      const {confirmedAt} = members.contact(member.process);
      if (now - confirmedAt <= CONFIRMATION_VALIDITY_MS) return true;
    }
    return false;
  }

  /** Returns whether the VM is gone and this process is visible to others. */
  private isProvenAbsent(member: ownership.JoinedMember): boolean {
    const {members, presence, vm} = this.dependencies;
    return members.isVmGone(member) && presence.isEstablished(vm);
  }

  /**
   * Returns whether it is this process's turn to claim. The live members take
   * turns in an order that depends on the silent member.
   */
  private isTurn(silentMember: string, now: clock.Milliseconds): boolean {
    const {members, process} = this.dependencies;
    const order = [...members.liveMembers(now)].sort(
      // The hash spreads successors evenly over members.
      (first, second) =>
        textHash.hashOf(`${silentMember} ${first}`) -
        textHash.hashOf(`${silentMember} ${second}`),
    );
    const rank = Math.max(0, order.indexOf(process));
    const silenceMs = now - members.contact(silentMember).lastMessageAt;
    return (
      silenceMs > rank * CLAIM_RANK_DELAY_MS + membership.CLAIMABLE_SILENCE_MS
    );
  }
}
