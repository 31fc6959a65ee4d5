import type * as clock from '../machines/clock.js';
import type * as event from '../contracts/event.js';

/**
 * Time after which a VM that the VM list no longer names does not exist any
 * more. The list must lag by less than this.
 */
export const ABSENCE_MS = 15_000;

/**
 * Time after which an absent VM is forgotten. It exceeds the longest log
 * outage, after which members on absent VMs are still to be claimed.
 */
const FORGET_MS = 24 * 60 * 60 * 1_000;

interface Presence {
  readonly listed: event.ListedVm;
  readonly firstListed: clock.Milliseconds;
  readonly lastListed: clock.Milliseconds;
}

/** What successive readings of the VM list say of each VM. */
export class VmPresence {
  private readonly seen = new Map<string, Presence>();
  /** When a VM was first found missing; it is cleared when it is listed. */
  private readonly missingSince = new Map<string, clock.Milliseconds>();
  private readSentAt = -Infinity;
  private readAt = -Infinity;
  private firstReadAt = Infinity;

  /** When the last reading was sent. */
  get lastSentAt(): clock.Milliseconds {
    return this.readSentAt;
  }

  /** Takes a reading of the list. */
  read(
    reading: Extract<event.Event, {kind: 'vmListRead'}>,
    now: clock.Milliseconds,
  ): void {
    if (reading.sentAt < this.readSentAt) return;
    this.readSentAt = reading.sentAt;
    this.readAt = now;
    this.firstReadAt = Math.min(this.firstReadAt, now);
    for (const listed of reading.vms) {
      const firstListed = this.seen.get(listed.vm)?.firstListed ?? now;
      this.missingSince.delete(listed.vm);
      this.seen.set(listed.vm, {listed, firstListed, lastListed: now});
    }
    for (const vm of this.seen.keys()) this.noteMissing(vm);
  }

  /** Whether the last reading names a VM. */
  isListed(vm: string): boolean {
    return this.seen.get(vm)?.lastListed === this.readAt;
  }

  /** Whether any reading has named a VM. */
  wasListed(vm: string): boolean {
    return this.seen.has(vm);
  }

  /** The VMs that the last reading names. */
  listed(): ReadonlyArray<event.ListedVm> {
    return [...this.seen.values()]
      .filter(presence => presence.lastListed === this.readAt)
      .map(presence => presence.listed);
  }

  /** Whether a VM that had been listed has been absent for `ABSENCE_MS`. */
  isGone(vm: string): boolean {
    const since = this.missingSince.get(vm);
    return since !== undefined && this.readSentAt - since >= ABSENCE_MS;
  }

  /**
   * Whether a VM has been absent for `ABSENCE_MS`, counted from the first
   * reading if it was never listed. It holds for VMs that are known to be
   * older than this process.
   */
  isGoneOrOlder(vm: string): boolean {
    if (this.seen.has(vm)) return this.isGone(vm);
    return this.readSentAt - this.firstReadAt >= ABSENCE_MS;
  }

  /** Whether a VM has been listed for `ABSENCE_MS`, so that all readers see it. */
  isEstablished(vm: string): boolean {
    const presence = this.seen.get(vm);
    if (presence === undefined || !this.isListed(vm)) return false;
    return this.readAt - presence.firstListed >= ABSENCE_MS;
  }

  /** Entry VMs of a zone that may still exist. */
  entryVms(zone: string): ReadonlyArray<string> {
    const names: string[] = [];
    for (const [vm, {listed}] of this.seen) {
      if (listed.role !== 'entry' || listed.zone !== zone) continue;
      if (!this.isGone(vm)) names.push(vm);
    }
    return names;
  }

  private noteMissing(vm: string): void {
    if (this.isListed(vm)) return;
    const since = this.missingSince.get(vm) ?? this.readAt;
    this.missingSince.set(vm, since);
    if (this.readAt - since < FORGET_MS) return;
    this.seen.delete(vm);
    this.missingSince.delete(vm);
  }
}
