import type * as clock from '../machines/clock.js';
import type * as event from '../contracts/event.js';

/**
 * Time after which a VM that the VM list no longer names counts as gone. The
 * list must lag by less than this.
 */
export const ABSENCE_CONFIRMATION_MS = 15_000;

/**
 * Time for which an absent VM is remembered. It exceeds the longest log outage,
 * after which members on absent VMs still have to be claimed.
 */
const ABSENT_VM_RETENTION_MS = 24 * 60 * 60 * 1_000;

interface Presence {
  readonly listedVm: event.ListedVm;
  readonly firstListedAt: clock.Milliseconds;
  readonly lastListedAt: clock.Milliseconds;
}

/** Tracks the presence of each VM over successive readings of the VM list. */
export class VmPresence {
  private readonly presences = new Map<string, Presence>();
  /** When a VM was first found missing; cleared when it is listed again. */
  private readonly missingSince = new Map<string, clock.Milliseconds>();
  private lastReadSentAtValue = -Infinity;
  private lastReadAt = -Infinity;
  private firstReadAt = Infinity;

  /** When the request for the last reading was sent. */
  get lastReadSentAt(): clock.Milliseconds {
    return this.lastReadSentAtValue;
  }

  /** Records a reading of the list; ignores one older than the last. */
  recordReading(
    reading: Extract<event.Event, {kind: 'vmListRead'}>,
    now: clock.Milliseconds,
  ): void {
    if (reading.sentAt < this.lastReadSentAtValue) return;
    this.lastReadSentAtValue = reading.sentAt;
    this.lastReadAt = now;
    this.firstReadAt = Math.min(this.firstReadAt, now);
    for (const listedVm of reading.vms) {
      const firstListedAt =
        this.presences.get(listedVm.vm)?.firstListedAt ?? now;
      this.missingSince.delete(listedVm.vm);
      this.presences.set(listedVm.vm, {
        listedVm,
        firstListedAt,
        lastListedAt: now,
      });
    }
    for (const vm of this.presences.keys()) this.recordMissing(vm);
  }

  /** Returns whether the last reading names a VM. */
  isListed(vm: string): boolean {
    return this.presences.get(vm)?.lastListedAt === this.lastReadAt;
  }

  /** Returns whether any reading has named a VM. */
  wasListed(vm: string): boolean {
    return this.presences.has(vm);
  }

  /** Returns the VMs that the last reading names. */
  listed(): ReadonlyArray<event.ListedVm> {
    return [...this.presences.values()]
      .filter(presence => presence.lastListedAt === this.lastReadAt)
      .map(presence => presence.listedVm);
  }

  /**
   * Returns whether a VM that was once listed has been absent for
   * `ABSENCE_CONFIRMATION_MS`.
   */
  isGone(vm: string): boolean {
    const missingSince = this.missingSince.get(vm);
    return (
      missingSince !== undefined &&
      this.lastReadSentAtValue - missingSince >= ABSENCE_CONFIRMATION_MS
    );
  }

  /**
   * Returns whether a VM has been absent for `ABSENCE_CONFIRMATION_MS`, counted
   * from the first reading if it was never listed. Valid only for VMs that are
   * older than this process.
   */
  isGoneOrNeverListed(vm: string): boolean {
    if (this.presences.has(vm)) return this.isGone(vm);
    return (
      this.lastReadSentAtValue - this.firstReadAt >= ABSENCE_CONFIRMATION_MS
    );
  }

  /**
   * Returns whether a VM has been listed for `ABSENCE_CONFIRMATION_MS`, so that
   * all readers see it.
   */
  isEstablished(vm: string): boolean {
    const presence = this.presences.get(vm);
    if (presence === undefined || !this.isListed(vm)) return false;
    return this.lastReadAt - presence.firstListedAt >= ABSENCE_CONFIRMATION_MS;
  }

  /** Returns the entry VMs of a zone that are not known to be gone. */
  entryVms(zone: string): ReadonlyArray<string> {
    const names: string[] = [];
    for (const [vm, {listedVm}] of this.presences) {
      if (listedVm.role !== 'entry' || listedVm.zone !== zone) continue;
      if (!this.isGone(vm)) names.push(vm);
    }
    return names;
  }

  private recordMissing(vm: string): void {
    if (this.isListed(vm)) return;
    const missingSince = this.missingSince.get(vm) ?? this.lastReadAt;
    this.missingSince.set(vm, missingSince);
    if (this.lastReadAt - missingSince < ABSENT_VM_RETENTION_MS) return;
    this.presences.delete(vm);
    this.missingSince.delete(vm);
  }
}
