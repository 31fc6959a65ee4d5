import type * as clock from '../machines/clock.js';
import type * as event from '../contracts/event.js';
import type * as resources from '../machines/resources.js';

/** Age at which a summary is ignored; three updates are missed by then. */
export const SUMMARY_LIFETIME_MS = 15_000;

/** Distance between the zone of a request and the zone that runs it. */
export type Distance = 'ownZone' | 'ownRegion' | 'otherRegion';

/** An availability zone with its last summary. */
export class AvailabilityZone {
  private latestSummary: event.ZoneSummary | undefined;
  private summaryReceivedAt = -Infinity;

  constructor(
    readonly name: string,
    readonly region: string,
  ) {}

  /** Stores a newer summary of the zone. */
  update(summary: event.ZoneSummary, now: clock.Milliseconds): void {
    this.latestSummary = summary;
    this.summaryReceivedAt = now;
  }

  /** Returns the last summary; undefined when it is too old. */
  summary(now: clock.Milliseconds): event.ZoneSummary | undefined {
    return now - this.summaryReceivedAt > SUMMARY_LIFETIME_MS
      ? undefined
      : this.latestSummary;
  }

  /** Returns whether the last summary shows enough free capacity. */
  hasCapacityFor(size: resources.Resources, now: clock.Milliseconds): boolean {
    const current = this.summary(now);
    if (current === undefined) return false;
    return (
      current.freeProcessors >= size.processors &&
      current.freeMemory >= size.memory &&
      current.freeAccelerators >= size.accelerators
    );
  }

  /** Returns the distance of the zone from another. */
  distanceFrom(other: AvailabilityZone): Distance {
    if (other.name === this.name) return 'ownZone';
    return other.region === this.region ? 'ownRegion' : 'otherRegion';
  }
}
