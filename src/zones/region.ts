import * as availabilityZone from './availability_zone.js';
import type * as clock from '../machines/clock.js';
import type * as configuration from '../contracts/configuration.js';
import type * as event from '../contracts/event.js';

/** A region: zones among which traffic is fast and costs nothing. */
export class Region {
  private readonly zones = new Map<string, availabilityZone.AvailabilityZone>();

  constructor(readonly name: string) {}

  /** Returns a zone of the region, which is created when it is new. */
  getOrCreate(zone: string): availabilityZone.AvailabilityZone {
    const existing = this.zones.get(zone);
    if (existing !== undefined) return existing;
    const created = new availabilityZone.AvailabilityZone(zone, this.name);
    this.zones.set(zone, created);
    return created;
  }

  /** Zones of the region by name. */
  all(): ReadonlyArray<availabilityZone.AvailabilityZone> {
    return [...this.zones.values()].sort((first, second) =>
      first.name < second.name ? -1 : 1,
    );
  }
}

/** The regions of the cell as the document `fleet` names them. */
export class RegionMap {
  private readonly regions = new Map<string, Region>();
  private readonly regionOfZone = new Map<string, string>();

  constructor(
    private readonly ownZone: string,
    ownRegion: string,
  ) {
    this.addZone({name: ownZone, region: ownRegion});
  }

  /** This process's own zone. */
  ownAvailabilityZone(): availabilityZone.AvailabilityZone {
    return this.zone(this.ownZone);
  }

  /** Takes the zones of a fleet document. */
  configure(zones: ReadonlyArray<configuration.ZoneDefinition>): void {
    for (const definition of zones) this.addZone(definition);
  }

  /** Takes a summary of any zone; zones that nobody configured stand alone. */
  update(summary: event.ZoneSummary, now: clock.Milliseconds): void {
    this.zone(summary.zone).update(summary, now);
  }

  /** A zone by its name. */
  zone(name: string): availabilityZone.AvailabilityZone {
    const region = this.regionOfZone.get(name) ?? name;
    return this.getOrCreate(region).getOrCreate(name);
  }

  /** All regions, the process's own first. */
  all(): ReadonlyArray<Region> {
    const own = this.ownAvailabilityZone().region;
    return [...this.regions.values()].sort((first, second) => {
      if (first.name === own) return -1;
      if (second.name === own) return 1;
      return first.name < second.name ? -1 : 1;
    });
  }

  private addZone(definition: configuration.ZoneDefinition): void {
    if (this.regionOfZone.has(definition.name)) return;
    this.regionOfZone.set(definition.name, definition.region);
    this.getOrCreate(definition.region).getOrCreate(definition.name);
  }

  private getOrCreate(region: string): Region {
    const existing = this.regions.get(region);
    if (existing !== undefined) return existing;
    const created = new Region(region);
    this.regions.set(region, created);
    return created;
  }
}
