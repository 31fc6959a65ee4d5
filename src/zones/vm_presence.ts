import type * as clock from '../machines/clock.js';
import type * as event from '../contracts/event.js';

/**
 * Time after which a VM that the VM list no longer names does not exist any
 * more. The list must lag by less than this.
 */
export const ABSENCE_CONFIRMATION_MS = 15_000;

/**
 * Time after which an absent VM is forgotten. It exceeds the longest log
 * outage, after which members on absent VMs are still to be claimed.
 */
const ABSENT_VM_RETENTION_MS = 24 * 60 * 60 * 1_000;

interface Presence {
  readonly listed: event.ListedVm;
  readonly firstListed: clock.Milliseconds;
  readonly lastListed: clock.Milliseconds;
}

/** What successive readings of the VM list say of each VM. */
export class VmPresence {
  private readonly presences = new Map<string, Presence>();
  /** When a VM was first found missing; it is cleared when it is listed. */
  private readonly missingSince = new Map<string, clock.Milliseconds>();
  private lastReadSentAtValue = -Infinity;
  private lastReadAt = -Infinity;
  private firstReadAt = Infinity;

  /** When the last reading was sent. */
  get lastReadSentAt(): clock.Milliseconds {
    return this.lastReadSentAtValue;
  }

  /** Takes a reading of the list. */
  recordReading(
    reading: Extract<event.Event, {kind: 'vmListRead'}>,
    now: clock.Milliseconds,
  ): void {
    if (reading.sentAt < this.lastReadSentAtValue) return;
    this.lastReadSentAtValue = reading.sentAt;
    this.lastReadAt = now;
    this.firstReadAt = Math.min(this.firstReadAt, now);
    for (const listed of reading.vms) {
      const firstListed = this.presences.get(listed.vm)?.firstListed ?? now;
      this.missingSince.delete(listed.vm);
      this.presences.set(listed.vm, {listed, firstListed, lastListed: now});
    }
    for (const vm of this.presences.keys()) this.recordMissing(vm);
  }

  /** Whether the last reading names a VM. */
  isListed(vm: string): boolean {
    return this.presences.get(vm)?.lastListed === this.lastReadAt;
  }

  /** Whether any reading has named a VM. */
  wasListed(vm: string): boolean {
    return this.presences.has(vm);
  }

  /** The VMs that the last reading names. */
  listed(): ReadonlyArray<event.ListedVm> {
    return [...this.presences.values()]
      .filter(presence => presence.lastListed === this.lastReadAt)
      .map(presence => presence.listed);
  }

  /** Whether a VM that had been listed has been absent for `ABSENCE_MS`. */
  isGone(vm: string): boolean {
    const missingSince = this.missingSince.get(vm);
    return (
      missingSince !== undefined &&
      this.lastReadSentAtValue - missingSince >= ABSENCE_CONFIRMATION_MS
    );
  }

  /**
   * Whether a VM has been absent for `ABSENCE_MS`, counted from the first
   * reading if it was never listed. It holds for VMs that are known to be
   * older than this process.
   */
  isGoneOrNeverListed(vm: string): boolean {
    if (this.presences.has(vm)) return this.isGone(vm);
    return (
      this.lastReadSentAtValue - this.firstReadAt >= ABSENCE_CONFIRMATION_MS
    );
  }

  /** Whether a VM has been listed for `ABSENCE_MS`, so that all readers see it. */
  isEstablished(vm: string): boolean {
    const presence = this.presences.get(vm);
    if (presence === undefined || !this.isListed(vm)) return false;
    return this.lastReadAt - presence.firstListed >= ABSENCE_CONFIRMATION_MS;
  }

  /** Entry VMs of a zone that may still exist. */
  entryVms(zone: string): ReadonlyArray<string> {
    const names: string[] = [];
    for (const [vm, {listed}] of this.presences) {
      if (listed.role !== 'entry' || listed.zone !== zone) continue;
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
