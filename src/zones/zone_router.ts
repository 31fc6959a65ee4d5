import * as effects from '../contracts/effect.js';
import type * as availabilityZone from './availability_zone.js';
import type * as clock from '../machines/clock.js';
import type * as region from './region.js';
import type * as resources from '../machines/resources.js';

/** Round trip between regions: 20 ms each way. */
export const REGION_ROUND_TRIP_MS = 40;

/** Work that looks for a place. */
export interface RoutableWork {
  readonly size: resources.Resources;
  readonly worth: number;
  /** Zones in which it may run; empty means all. */
  readonly zones: ReadonlyArray<string>;
  /** Wait that it would have in its own zone; Infinity if it cannot run. */
  readonly expectedWaitMs: clock.Milliseconds;
  /** Whether a worker of its own zone could take it now. */
  readonly fitsOwnZone: boolean;
}

/** Why work stays or leaves. */
export type RouteReason =
  | 'ownZone'
  | 'ownZoneFull'
  | 'ownZoneNotAllowed'
  | 'shorterWaitElsewhere'
  | 'noBetterZone';

/** Where work goes. */
export interface Route {
  readonly zone: string;
  readonly distance: availabilityZone.Distance;
  readonly reason: RouteReason;
}

/** Chooses the nearest zone in which work can run. */
export class ZoneRouter {
  constructor(
    private readonly regions: region.RegionMap,
    /** Price of moving one request between regions, in the unit of worth. */
    private readonly crossingCost: number,
  ) {}

  /** Chooses a zone: the own one, then the region, then other regions. */
  route(work: RoutableWork, now: clock.Milliseconds): Route {
    const own = this.regions.ownAvailabilityZone();
    const allowed = allowsZone(work, own.name);
    if (allowed && work.fitsOwnZone) return stayInOwnZone(own, 'ownZone');
    const reason = allowed ? 'ownZoneFull' : 'ownZoneNotAllowed';
    const near = this.best(work, 'ownRegion', now);
    if (near !== undefined) {
      return {zone: near.name, distance: 'ownRegion', reason};
    }
    const far = this.best(work, 'otherRegion', now);
    if (far !== undefined && this.isWorthCrossing(work, far, allowed, now)) {
      return {
        zone: far.name,
        distance: 'otherRegion',
        reason: allowed ? 'shorterWaitElsewhere' : reason,
      };
    }
    return stayInOwnZone(own, 'noBetterZone');
  }

  /** Counts a route that leaves the own zone. */
  count(route: Route): ReadonlyArray<effects.Effect> {
    if (route.distance === 'ownZone') return [];
    const {distance, reason} = route;
    return [effects.count('route_crossing', {distance, reason})];
  }

  /** The zone with room and the shortest wait at a distance. */
  private best(
    work: RoutableWork,
    distance: availabilityZone.Distance,
    now: clock.Milliseconds,
  ): availabilityZone.AvailabilityZone | undefined {
    const own = this.regions.ownAvailabilityZone();
    const [first] = this.regions
      .all()
      .flatMap(known => known.all())
      .filter(zone => zone.distanceFrom(own) === distance)
      .filter(
        zone => allowsZone(work, zone.name) && zone.hasRoom(work.size, now),
      )
      .sort(
        (left, right) => expectedWaitIn(left, now) - expectedWaitIn(right, now),
      );
    return first;
  }

  private isWorthCrossing(
    work: RoutableWork,
    far: availabilityZone.AvailabilityZone,
    allowedHere: boolean,
    now: clock.Milliseconds,
  ): boolean {
    if (work.worth <= this.crossingCost) return false;
    if (!allowedHere) return true;
    return (
      work.expectedWaitMs > expectedWaitIn(far, now) + REGION_ROUND_TRIP_MS
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
