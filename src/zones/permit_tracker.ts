import * as clock from '../machines/clock.js';
import * as invariant from '../contracts/invariant.js';
import * as lease from '../contracts/lease.js';
import * as ownership from './ownership.js';
import type * as effects from '../contracts/effect.js';
import type * as membership from './membership.js';
import type * as vmPresence from './vm_presence.js';
import type * as zoneStream from './zone_stream.js';

/** How long a proof that nobody has claimed a worker lets its owner place. */
export const PERMIT_DURATION_MS = 4_000;

/** How long a confirming member does not claim, whatever the clocks do. */
export const PROMISE_DURATION_MS =
  PERMIT_DURATION_MS * (1 + 2 * clock.MAXIMUM_DRIFT);

/** Wait after a claim: the earlier owner may have read just before it. */
export const CLAIM_WAIT_MS = PERMIT_DURATION_MS * (1 + 2 * clock.MAXIMUM_DRIFT);

/**
 * Wait after a handover: starts that the earlier owner sent before it gave the
 * worker up may still arrive until their leases end.
 */
export const HANDOVER_WAIT_MS =
  lease.START_LEASE_MS * (1 + 2 * clock.MAXIMUM_DRIFT);

/** Where authority comes from. */
export interface PermitTrackerDependencies {
  readonly process: string;
  readonly vm: string;
  readonly zone: string;
  readonly table: ownership.OwnershipTable;
  readonly members: membership.Membership;
  readonly presence: vmPresence.VmPresence;
  readonly stream: zoneStream.ZoneStream;
  /** Lag of the log's reads; it lengthens the wait after a claim. */
  readonly logStalenessMs: clock.Milliseconds;
}

interface EpochObservation {
  readonly owner: string;
  readonly epoch: number;
  readonly observedAt: clock.Milliseconds;
}

/**
 * Until when this process may place on its workers, and what it has promised
 * to other owners.
 */
export class PermitTracker {
  private readonly promiseEnds = new Map<string, clock.Milliseconds>();
  /** When an item's present epoch was first seen. */
  private readonly epochObservations = new Map<string, EpochObservation>();
  /** Epoch through which this process has given an item up. */
  private readonly releasedEpochs = new Map<string, number>();
  private readonly endObservedAt = new Map<string, clock.Milliseconds>();
  private hasLeftValue = false;
  private violations: effects.Effect[] = [];

  constructor(private readonly dependencies: PermitTrackerDependencies) {}

  /** Whether this process has given everything up. */
  get hasLeft(): boolean {
    return this.hasLeftValue;
  }

  /** Whether this process is a member that has neither left nor been claimed. */
  get isActive(): boolean {
    const {table, process} = this.dependencies;
    return !this.hasLeftValue && table.members().has(process);
  }

  /** Notes changes of the table; `permitEnd` is what it was before them. */
  observe(permitEnd: clock.Milliseconds, now: clock.Milliseconds): void {
    const {table, process} = this.dependencies;
    for (const [item, current] of table.ownershipByItem()) {
      const previous = this.epochObservations.get(item);
      if (previous !== undefined && previous.epoch >= current.epoch) continue;
      const {owner, epoch} = current;
      this.epochObservations.set(item, {owner, epoch, observedAt: now});
      if (previous?.owner !== process || owner === process) continue;
      this.checkPermitBeforeSuccession(current, permitEnd, now);
    }
    for (const ended of table.endedMembers().keys()) {
      if (!this.endObservedAt.has(ended)) this.endObservedAt.set(ended, now);
    }
    this.prune();
  }

  /** End of the permit to act as this process; -Infinity without one. */
  processPermitEnd(now: clock.Milliseconds): clock.Milliseconds {
    if (!this.isActive || this.dependencies.stream.hasGap) return -Infinity;
    const provenAt = Math.max(
      this.dependencies.stream.lastTailReadSentAt,
      this.allConfirmedSince(now),
    );
    return provenAt + PERMIT_DURATION_MS;
  }

  /** End of the permit for an item; -Infinity without one. */
  permitEnd(item: string, now: clock.Milliseconds): clock.Milliseconds {
    const current = this.dependencies.table.ownership(item);
    if (current?.owner !== this.dependencies.process) return -Infinity;
    if ((this.releasedEpochs.get(item) ?? 0) >= current.epoch) return -Infinity;
    if (now < this.acquisitionWaitEnd(item, current)) return -Infinity;
    const observation = this.epochObservations.get(item);
    if (
      observation?.epoch !== current.epoch ||
      observation.owner !== current.owner
    ) {
      this.violations.push(...invariant.violation('ownerHasPermit', {item}));
      return -Infinity;
    }
    return this.processPermitEnd(now);
  }

  /** Whether every wait after a claim or handover is over. */
  areWaitsOver(now: clock.Milliseconds): boolean {
    const {table, process} = this.dependencies;
    for (const [item, current] of table.ownershipByItem()) {
      if (current.owner !== process) continue;
      if (now < this.acquisitionWaitEnd(item, current)) return false;
    }
    return true;
  }

  /** Gives items up before the record that says so is sent. */
  release(items: ReadonlyArray<ownership.ItemEpoch>): void {
    for (const released of items) {
      this.releasedEpochs.set(released.item, released.epoch);
    }
  }

  /** Gives everything up for good. */
  leave(): void {
    this.hasLeftValue = true;
  }

  /** Whether a promise to a member is in force. */
  hasPromised(member: string, now: clock.Milliseconds): boolean {
    return now < (this.promiseEnds.get(member) ?? -Infinity);
  }

  /**
   * Promises a member not to claim its items; returns false when this process
   * cannot: it is no member itself, does not count the other as one, or has
   * sent a claim that may still take effect.
   */
  promise(member: string, now: clock.Milliseconds): boolean {
    const {table, stream} = this.dependencies;
    if (!this.isActive || stream.hasGap) return false;
    if (!table.members().has(member)) return false;
    if (this.hasPendingClaim(member)) return false;
    this.promiseEnds.set(member, now + PROMISE_DURATION_MS);
    return true;
  }

  /** Whether a process has ended and its permits with it. */
  permitsHaveExpired(process: string, now: clock.Milliseconds): boolean {
    const endedAt = this.endObservedAt.get(process);
    return endedAt !== undefined && now >= endedAt + this.claimWaitMs();
  }

  /** Takes the invariants found violated since the last call. */
  takeViolations(): ReadonlyArray<effects.Effect> {
    const taken = this.violations;
    if (taken.length > 0) this.violations = [];
    return taken;
  }

  /**
   * Earliest sending of the last confirmations of every other member;
   * -Infinity when one is missing.
   */
  private allConfirmedSince(now: clock.Milliseconds): clock.Milliseconds {
    const {members, presence, vm} = this.dependencies;
    // A VM that the list no longer names may be taken for gone by others.
    if (presence.wasListed(vm) && !presence.isListed(vm)) return -Infinity;
    let earliest = now;
    let hasGoneMember = false;
    for (const member of members.others()) {
      if (members.isVmGone(member)) hasGoneMember = true;
      else {
        const {confirmedSentAt} = members.contact(member.process);
        earliest = Math.min(earliest, confirmedSentAt);
      }
    }
    if (!hasGoneMember) return earliest;
    if (this.hasUnknownVm()) return -Infinity;
    return Math.min(earliest, presence.lastReadSentAt);
  }

  /**
   * Whether an entry VM may host a process that joined after the last record
   * read here. A member that is gone might have accepted it as a successor.
   */
  private hasUnknownVm(): boolean {
    const {table, presence, zone, vm} = this.dependencies;
    const knownVms = new Set([vm]);
    for (const member of table.members().values()) knownVms.add(member.vm);
    return presence.entryVms(zone).some(name => !knownVms.has(name));
  }

  private hasPendingClaim(member: string): boolean {
    const item = ownership.processItem(member);
    return this.dependencies.stream
      .pendingRecords()
      .some(
        record =>
          record.kind === 'claim' &&
          record.items.some(wanted => wanted.item === item),
      );
  }

  private acquisitionWaitEnd(
    item: string,
    current: ownership.Ownership,
  ): clock.Milliseconds {
    const observedAt = this.epochObservations.get(item)?.observedAt ?? Infinity;
    switch (current.acquisition) {
      case 'first':
        return -Infinity;
      case 'handover':
        return observedAt + HANDOVER_WAIT_MS;
      case 'succession':
        return observedAt + this.claimWaitMs();
    }
  }

  private claimWaitMs(): clock.Milliseconds {
    return CLAIM_WAIT_MS + this.dependencies.logStalenessMs;
  }

  /** The permit must end before a claimant that saw the claim now may place. */
  private checkPermitBeforeSuccession(
    current: ownership.Ownership,
    permitEnd: clock.Milliseconds,
    now: clock.Milliseconds,
  ): void {
    if (current.acquisition !== 'succession') return;
    const earliestSuccessorStart =
      now + this.claimWaitMs() / (1 + clock.MAXIMUM_DRIFT);
    if (permitEnd <= earliestSuccessorStart) return;
    this.violations.push(
      ...invariant.violation('permitEndsBeforeSuccession', {
        successor: current.owner,
        excessMs: permitEnd - earliestSuccessorStart,
      }),
    );
  }

  private prune(): void {
    const {table} = this.dependencies;
    for (const item of this.epochObservations.keys()) {
      if (table.ownership(item) !== undefined) continue;
      this.epochObservations.delete(item);
      this.releasedEpochs.delete(item);
    }
    for (const ended of this.endObservedAt.keys()) {
      if (!table.endedMembers().has(ended)) this.endObservedAt.delete(ended);
    }
    for (const member of this.promiseEnds.keys()) {
      if (!table.members().has(member)) this.promiseEnds.delete(member);
    }
  }
}
