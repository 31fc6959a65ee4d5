import * as effect from '../contracts/effect.js';
import type * as availabilityZone from './availability_zone.js';
import type * as clock from '../machines/clock.js';
import type * as region from './region.js';
import type * as resources from '../machines/resources.js';

/** Round trip between regions: 20 ms each way. */
export const REGION_ROUND_TRIP_MS = 40;

/** Properties of a request that decide in which zone it runs. */
export interface RoutableWork {
  readonly size: resources.Resources;
  readonly worth: number;
  /** Zones in which it may run; empty means all. */
  readonly zones: ReadonlyArray<string>;
  /** Expected wait in its own zone; Infinity if it cannot run there. */
  readonly expectedWaitMs: clock.Milliseconds;
  /** Whether a worker of its own zone has free capacity for it now. */
  readonly fitsOwnZone: boolean;
}

/** Reason for the choice of a zone. */
export type RouteReason =
  | 'ownZone'
  | 'ownZoneFull'
  | 'ownZoneNotAllowed'
  | 'shorterWaitElsewhere'
  | 'noBetterZone';

/** The chosen zone and the reason. */
export interface Route {
  readonly zone: string;
  readonly distance: availabilityZone.Distance;
  readonly reason: RouteReason;
}

/** Chooses the nearest zone in which a request can run. */
export class ZoneRouter {
  constructor(
    private readonly regions: region.RegionMap,
    /** Cost of moving one request between regions, in the unit of worth. */
    private readonly crossingCost: number,
  ) {}

  /** Chooses the own zone if possible, then the region, then other regions. */
  route(work: RoutableWork, now: clock.Milliseconds): Route {
    const own = this.regions.ownAvailabilityZone();
    const allowedInOwnZone = allowsZone(work, own.name);
    if (allowedInOwnZone && work.fitsOwnZone) {
      return stayInOwnZone(own, 'ownZone');
    }
    const reason = allowedInOwnZone ? 'ownZoneFull' : 'ownZoneNotAllowed';
    const nearZone = this.bestZone(work, 'ownRegion', now);
    if (nearZone !== undefined) {
      return {zone: nearZone.name, distance: 'ownRegion', reason};
    }
    const farZone = this.bestZone(work, 'otherRegion', now);
    if (
      farZone !== undefined &&
      this.isWorthCrossing(work, farZone, allowedInOwnZone, now)
    ) {
      return {
        zone: farZone.name,
        distance: 'otherRegion',
        reason: allowedInOwnZone ? 'shorterWaitElsewhere' : reason,
      };
    }
    return stayInOwnZone(own, 'noBetterZone');
  }

  /** Returns the effect that counts a route; none for the own zone. */
  countCrossing(route: Route): ReadonlyArray<effect.Effect> {
    if (route.distance === 'ownZone') return [];
    const {distance, reason} = route;
    return [effect.count('route_crossing', {distance, reason})];
  }

  /** Returns the zone at a distance with capacity and the shortest wait. */
  private bestZone(
    work: RoutableWork,
    distance: availabilityZone.Distance,
    now: clock.Milliseconds,
  ): availabilityZone.AvailabilityZone | undefined {
    const own = this.regions.ownAvailabilityZone();
    const [first] = this.regions
      .all()
      .flatMap(region => region.all())
      .filter(zone => zone.distanceFrom(own) === distance)
      .filter(
        zone =>
          allowsZone(work, zone.name) && zone.hasCapacityFor(work.size, now),
      )
      .sort(
        (left, right) => expectedWaitIn(left, now) - expectedWaitIn(right, now),
      );
    return first;
  }

  private isWorthCrossing(
    work: RoutableWork,
    farZone: availabilityZone.AvailabilityZone,
    allowedInOwnZone: boolean,
    now: clock.Milliseconds,
  ): boolean {
    if (work.worth <= this.crossingCost) return false;
    if (!allowedInOwnZone) return true;
    return (
      work.expectedWaitMs > expectedWaitIn(farZone, now) + REGION_ROUND_TRIP_MS
    );
  }
}

function allowsZone(work: RoutableWork, zone: string): boolean {
  return work.zones.length === 0 || work.zones.includes(zone);
}

function stayInOwnZone(
  own: availabilityZone.AvailabilityZone,
  reason: RouteReason,
): Route {
  return {zone: own.name, distance: 'ownZone', reason};
}

function expectedWaitIn(
  zone: availabilityZone.AvailabilityZone,
  now: clock.Milliseconds,
): clock.Milliseconds {
  return zone.summary(now)?.expectedWaitMs ?? Infinity;
}
