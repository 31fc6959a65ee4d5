import * as clock from '../machines/clock.js';
import * as invariant from '../contracts/invariant.js';
import * as lease from '../contracts/lease.js';
import * as ownership from './ownership.js';
import type * as effects from '../contracts/effect.js';
import type * as membership from './membership.js';
import type * as vmPresence from './vm_presence.js';
import type * as zoneStream from './zone_stream.js';

/** How long a proof that nobody has claimed a worker lets its owner place. */
export const PERMIT_MS = 4_000;

/** How long a confirming member does not claim, whatever the clocks do. */
export const PROMISE_MS = PERMIT_MS * (1 + 2 * clock.MAXIMUM_DRIFT);

/** Wait after a claim: the earlier owner may have read just before it. */
export const CLAIM_WAIT_MS = PERMIT_MS * (1 + 2 * clock.MAXIMUM_DRIFT);

/**
 * Wait after a handover: starts that the earlier owner sent before it gave the
 * worker up may still arrive until their leases end.
 */
export const HANDOVER_WAIT_MS =
  lease.START_LEASE_MS * (1 + 2 * clock.MAXIMUM_DRIFT);

/** Where authority comes from. */
export interface AuthoritySources {
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

interface Sighting {
  readonly owner: string;
  readonly epoch: number;
  readonly at: clock.Milliseconds;
}

/**
 * Until when this process may place on its workers, and what it has promised
 * to other owners.
 */
export class Authority {
  private readonly promises = new Map<string, clock.Milliseconds>();
  /** When an item's present epoch was first seen. */
  private readonly sightings = new Map<string, Sighting>();
  /** Epoch through which this process has given an item up. */
  private readonly givenUp = new Map<string, number>();
  private readonly endings = new Map<string, clock.Milliseconds>();
  private leftValue = false;
  private violations: effects.Effect[] = [];

  constructor(private readonly sources: AuthoritySources) {}

  /** Whether this process has given everything up. */
  get left(): boolean {
    return this.leftValue;
  }

  /** Whether this process is a member that has neither left nor been claimed. */
  get active(): boolean {
    const {table, process} = this.sources;
    return !this.leftValue && table.members().has(process);
  }

  /** Notes changes of the table; `permitEnd` is what it was before them. */
  observe(permitEnd: clock.Milliseconds, now: clock.Milliseconds): void {
    const {table, process} = this.sources;
    for (const [item, held] of table.all()) {
      const seen = this.sightings.get(item);
      if (seen !== undefined && seen.epoch >= held.epoch) continue;
      const {owner, epoch} = held;
      this.sightings.set(item, {owner, epoch, at: now});
      if (seen?.owner !== process || owner === process) continue;
      this.checkSuccession(held, permitEnd, now);
    }
    for (const ended of table.ended().keys()) {
      if (!this.endings.has(ended)) this.endings.set(ended, now);
    }
    this.forget();
  }

  /** End of the permit to act as this process; -Infinity without one. */
  processPermitEnd(now: clock.Milliseconds): clock.Milliseconds {
    if (!this.active || this.sources.stream.incomplete) return -Infinity;
    const proof = Math.max(this.sources.stream.freshAt, this.confirmedAt(now));
    return proof + PERMIT_MS;
  }

  /** End of the permit for an item; -Infinity without one. */
  permitEnd(item: string, now: clock.Milliseconds): clock.Milliseconds {
    const held = this.sources.table.ownership(item);
    if (held?.owner !== this.sources.process) return -Infinity;
    if ((this.givenUp.get(item) ?? 0) >= held.epoch) return -Infinity;
    if (now < this.waitEnd(item, held)) return -Infinity;
    const seen = this.sightings.get(item);
    if (seen?.epoch !== held.epoch || seen.owner !== held.owner) {
      this.violations.push(...invariant.violation('ownerHasPermit', {item}));
      return -Infinity;
    }
    return this.processPermitEnd(now);
  }

  /** Whether every wait after a claim or handover is over. */
  isSettled(now: clock.Milliseconds): boolean {
    const {table, process} = this.sources;
    for (const [item, held] of table.all()) {
      if (held.owner !== process) continue;
      if (now < this.waitEnd(item, held)) return false;
    }
    return true;
  }

  /** Gives items up before the record that says so is sent. */
  giveUp(items: ReadonlyArray<ownership.ItemEpoch>): void {
    for (const given of items) this.givenUp.set(given.item, given.epoch);
  }

  /** Gives everything up for good. */
  leave(): void {
    this.leftValue = true;
  }

  /** Whether a promise to a member is in force. */
  isPromised(member: string, now: clock.Milliseconds): boolean {
    return now < (this.promises.get(member) ?? -Infinity);
  }

  /**
   * Promises a member not to claim its items; returns false when this process
   * cannot: it is no member itself, does not count the other as one, or has
   * sent a claim that may still take effect.
   */
  promise(member: string, now: clock.Milliseconds): boolean {
    const {table, stream} = this.sources;
    if (!this.active || stream.incomplete) return false;
    if (!table.members().has(member)) return false;
    if (this.isClaiming(member)) return false;
    this.promises.set(member, now + PROMISE_MS);
    return true;
  }

  /** Whether a process has ended and its permits with it. */
  isSucceeded(process: string, now: clock.Milliseconds): boolean {
    const at = this.endings.get(process);
    return at !== undefined && now >= at + this.claimWait();
  }

  /** Takes the invariants found violated since the last call. */
  takeViolations(): ReadonlyArray<effects.Effect> {
    const found = this.violations;
    if (found.length > 0) this.violations = [];
    return found;
  }

  /**
   * Earliest sending of the last confirmations of every other member;
   * -Infinity when one is missing.
   */
  private confirmedAt(now: clock.Milliseconds): clock.Milliseconds {
    const {members, presence, vm} = this.sources;
    // A VM that the list no longer names may be taken for gone by others.
    if (presence.wasListed(vm) && !presence.isListed(vm)) return -Infinity;
    let earliest = now;
    let absent = false;
    for (const member of members.others()) {
      if (members.isGone(member)) absent = true;
      else {
        const {confirmedSentAt} = members.contact(member.process);
        earliest = Math.min(earliest, confirmedSentAt);
      }
    }
    if (!absent) return earliest;
    if (this.hasUnknownVm()) return -Infinity;
    return Math.min(earliest, presence.lastSentAt);
  }

  /**
   * Whether an entry VM may host a process that joined after the last record
   * read here. A member that is gone might have accepted it as a successor.
   */
  private hasUnknownVm(): boolean {
    const {table, presence, zone, vm} = this.sources;
    const known = new Set([vm]);
    for (const member of table.members().values()) known.add(member.vm);
    return presence.entryVms(zone).some(name => !known.has(name));
  }

  private isClaiming(member: string): boolean {
    const item = ownership.processItem(member);
    return this.sources.stream
      .unresolved()
      .some(
        record =>
          record.kind === 'claim' &&
          record.items.some(wanted => wanted.item === item),
      );
  }

  private waitEnd(item: string, held: ownership.Ownership): clock.Milliseconds {
    const seenAt = this.sightings.get(item)?.at ?? Infinity;
    switch (held.acquisition) {
      case 'first':
        return -Infinity;
      case 'handover':
        return seenAt + HANDOVER_WAIT_MS;
      case 'succession':
        return seenAt + this.claimWait();
    }
  }

  private claimWait(): clock.Milliseconds {
    return CLAIM_WAIT_MS + this.sources.logStalenessMs;
  }

  /** The permit must end before a claimant that saw the claim now may place. */
  private checkSuccession(
    held: ownership.Ownership,
    permitEnd: clock.Milliseconds,
    now: clock.Milliseconds,
  ): void {
    if (held.acquisition !== 'succession') return;
    const earliest = now + this.claimWait() / (1 + clock.MAXIMUM_DRIFT);
    if (permitEnd <= earliest) return;
    this.violations.push(
      ...invariant.violation('permitEndsBeforeSuccession', {
        successor: held.owner,
        excessMs: permitEnd - earliest,
      }),
    );
  }

  private forget(): void {
    const {table} = this.sources;
    for (const item of this.sightings.keys()) {
      if (table.ownership(item) !== undefined) continue;
      this.sightings.delete(item);
      this.givenUp.delete(item);
    }
    for (const ended of this.endings.keys()) {
      if (!table.ended().has(ended)) this.endings.delete(ended);
    }
    for (const member of this.promises.keys()) {
      if (!table.members().has(member)) this.promises.delete(member);
    }
  }
}
