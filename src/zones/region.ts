import * as availabilityZone from './availability_zone.js';
import type * as clock from '../machines/clock.js';
import type * as configuration from '../contracts/configuration.js';
import type * as event from '../contracts/event.js';

/** A region: zones between which traffic is fast and free of charge. */
export class Region {
  private readonly zones = new Map<string, availabilityZone.AvailabilityZone>();

  constructor(readonly name: string) {}

  /** Returns a zone of the region; creates it when it is new. */
  getOrCreate(zone: string): availabilityZone.AvailabilityZone {
    const existing = this.zones.get(zone);
    if (existing !== undefined) return existing;
    const created = new availabilityZone.AvailabilityZone(zone, this.name);
    this.zones.set(zone, created);
    return created;
  }

  /** Returns the zones of the region, sorted by name. */
  all(): ReadonlyArray<availabilityZone.AvailabilityZone> {
    return [...this.zones.values()].sort((first, second) =>
      first.name < second.name ? -1 : 1,
    );
  }
}

/** The regions and zones of the cell as listed in the document `fleet`. */
export class RegionMap {
  private readonly regions = new Map<string, Region>();
  private readonly regionOfZone = new Map<string, string>();

  constructor(
    private readonly ownZone: string,
    ownRegion: string,
  ) {
    this.addZone({name: ownZone, region: ownRegion});
  }

  /** Returns the zone of this process. */
  ownAvailabilityZone(): availabilityZone.AvailabilityZone {
    return this.zone(this.ownZone);
  }

  /** Adds the zones of a fleet document. */
  configure(zones: ReadonlyArray<configuration.ZoneDefinition>): void {
    for (const definition of zones) this.addZone(definition);
  }

  /** Stores a summary; a zone that is not configured forms its own region. */
  update(summary: event.ZoneSummary, now: clock.Milliseconds): void {
    this.zone(summary.zone).update(summary, now);
  }

  /** Returns a zone by its name. */
  zone(name: string): availabilityZone.AvailabilityZone {
    const regionName = this.regionOfZone.get(name) ?? name;
    return this.getOrCreate(regionName).getOrCreate(name);
  }

  /** Returns all regions, the one of this process first. */
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
