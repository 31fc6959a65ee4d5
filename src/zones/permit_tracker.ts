import * as clock from '../machines/clock.js';
import * as invariant from '../contracts/invariant.js';
import * as lease from '../contracts/lease.js';
import * as ownership from './ownership.js';
import type * as effect from '../contracts/effect.js';
import type * as membership from './membership.js';
import type * as vmPresence from './vm_presence.js';
import type * as zoneStream from './zone_stream.js';

/**
 * Time for which the owner of an item may place tasks after a proof that no
 * other process has claimed the item.
 */
export const PERMIT_DURATION_MS = 4_000;

/**
 * Time for which a member that confirmed does not claim; covers the permit at
 * the largest clock drift on both sides.
 */
export const PROMISE_DURATION_MS =
  PERMIT_DURATION_MS * (1 + 2 * clock.MAXIMUM_DRIFT);

/**
 * Wait after a claim. The earlier owner may have read the stream just before
 * the claim was appended, so its permit may last this long.
 */
export const CLAIM_WAIT_MS = PERMIT_DURATION_MS * (1 + 2 * clock.MAXIMUM_DRIFT);

/**
 * Wait after a handover. Starts that the earlier owner sent before it released
 * the worker may still arrive until their leases end.
 */
export const HANDOVER_WAIT_MS =
  lease.START_LEASE_MS * (1 + 2 * clock.MAXIMUM_DRIFT);

/** State from which permits are computed. */
export interface PermitTrackerDependencies {
  readonly process: string;
  readonly vm: string;
  readonly zone: string;
  readonly table: ownership.OwnershipTable;
  readonly members: membership.Membership;
  readonly presence: vmPresence.VmPresence;
  readonly stream: zoneStream.ZoneStream;
  /** Lag of the log's reads; added to the wait after a claim. */
  readonly logStalenessMs: clock.Milliseconds;
}

interface EpochObservation {
  readonly owner: string;
  readonly epoch: number;
  readonly observedAt: clock.Milliseconds;
}

/**
 * Computes until when this process may place tasks on its workers, and records
 * its promises to other owners not to claim their items.
 */
export class PermitTracker {
  private readonly promiseEnds = new Map<string, clock.Milliseconds>();
  /** The present epoch of each item and when it was first seen. */
  private readonly epochObservations = new Map<string, EpochObservation>();
  /** Last epoch of each item that this process has released. */
  private readonly releasedEpochs = new Map<string, number>();
  private readonly endObservedAt = new Map<string, clock.Milliseconds>();
  private hasReleasedAllValue = false;
  private violations: effect.Effect[] = [];

  constructor(private readonly dependencies: PermitTrackerDependencies) {}

  /** Whether this process has released all its items for good. */
  get hasReleasedAll(): boolean {
    return this.hasReleasedAllValue;
  }

  /** Whether this process is a member that neither left nor was claimed. */
  get isActive(): boolean {
    const {table, process} = this.dependencies;
    return !this.hasReleasedAllValue && table.members().has(process);
  }

  /**
   * Records the changes of the table. `permitEnd` is the end of the process's
   * permit before the changes.
   */
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

  /** Returns when the process's permit to act ends; -Infinity without one. */
  processPermitEnd(now: clock.Milliseconds): clock.Milliseconds {
    if (!this.isActive || this.dependencies.stream.hasGap) return -Infinity;
    const provenAt = Math.max(
      this.dependencies.stream.lastTailReadSentAt,
      this.allConfirmedSince(now),
    );
    return provenAt + PERMIT_DURATION_MS;
  }

  /** Returns when the permit for an item ends; -Infinity without one. */
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

  /** Returns whether every wait after a claim or handover is over. */
  areWaitsOver(now: clock.Milliseconds): boolean {
    const {table, process} = this.dependencies;
    for (const [item, current] of table.ownershipByItem()) {
      if (current.owner !== process) continue;
      if (now < this.acquisitionWaitEnd(item, current)) return false;
    }
    return true;
  }

  /** Ends the permits for items; called before the transfer record is sent. */
  release(items: ReadonlyArray<ownership.ItemEpoch>): void {
    for (const released of items) {
      this.releasedEpochs.set(released.item, released.epoch);
    }
  }

  /** Ends all permits of this process for good. */
  releaseAll(): void {
    this.hasReleasedAllValue = true;
  }

  /** Returns whether a promise to a member is in force. */
  hasPromised(member: string, now: clock.Milliseconds): boolean {
    return now < (this.promiseEnds.get(member) ?? -Infinity);
  }

  /**
   * Promises a member not to claim its items. Returns false when this process
   * cannot promise: it is not a member, does not know the other as a member,
   * or has sent a claim that may still take effect.
   */
  promise(member: string, now: clock.Milliseconds): boolean {
    const {table, stream} = this.dependencies;
    if (!this.isActive || stream.hasGap) return false;
    if (!table.members().has(member)) return false;
    if (this.hasPendingClaim(member)) return false;
    this.promiseEnds.set(member, now + PROMISE_DURATION_MS);
    return true;
  }

  /**
   * Returns whether a process left or was claimed and its last permit has
   * expired, so that its successor may act.
   */
  hasSuccessor(process: string, now: clock.Milliseconds): boolean {
    const endedAt = this.endObservedAt.get(process);
    return endedAt !== undefined && now >= endedAt + this.claimWaitMs();
  }

  /** Returns the invariant violations found since the last call. */
  takeViolations(): ReadonlyArray<effect.Effect> {
    const taken = this.violations;
    if (taken.length > 0) this.violations = [];
    return taken;
  }

  /**
   * Returns the earliest of the times at which the requests were sent that the
   * other members last confirmed; -Infinity when a confirmation is missing.
   */
  private allConfirmedSince(now: clock.Milliseconds): clock.Milliseconds {
    const {members, presence, vm} = this.dependencies;
    // Other members may count a VM that is missing from the list as gone.
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
   * Returns whether an entry VM may host a process that joined after the last
   * record read here. A gone member may have accepted that process as a
   * successor.
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
          record.items.some(claimed => claimed.item === item),
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

  /**
   * Checks that the permit ends before a claimant that reads its claim now may
   * place tasks.
   */
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
