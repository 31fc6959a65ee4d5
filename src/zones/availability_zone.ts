import type * as clock from '../machines/clock.js';
import type * as event from '../contracts/event.js';
import type * as resources from '../machines/resources.js';

/** Age from which a summary says nothing any more: three were missed. */
export const SUMMARY_LIFETIME_MS = 15_000;

/** How far work has to travel. */
export type Distance = 'ownZone' | 'ownRegion' | 'otherRegion';

/** What is known here of an availability zone. */
export class AvailabilityZone {
  private latestSummary: event.ZoneSummary | undefined;
  private summaryReceivedAt = -Infinity;

  constructor(
    readonly name: string,
    readonly region: string,
  ) {}

  /** Takes a newer summary of the zone. */
  update(summary: event.ZoneSummary, now: clock.Milliseconds): void {
    this.latestSummary = summary;
    this.summaryReceivedAt = now;
  }

  /** The last summary; undefined when it is too old to act on. */
  summary(now: clock.Milliseconds): event.ZoneSummary | undefined {
    return now - this.summaryReceivedAt > SUMMARY_LIFETIME_MS
      ? undefined
      : this.latestSummary;
  }

  /** Whether the zone has room for a size, as far as is known. */
  hasRoom(size: resources.Resources, now: clock.Milliseconds): boolean {
    const current = this.summary(now);
    if (current === undefined) return false;
    return (
      current.freeProcessors >= size.processors &&
      current.freeMemory >= size.memory &&
      current.freeAccelerators >= size.accelerators
    );
  }

  /** How far the zone is from another. */
  distanceFrom(other: AvailabilityZone): Distance {
    if (other.name === this.name) return 'ownZone';
    return other.region === this.region ? 'ownRegion' : 'otherRegion';
  }
}
