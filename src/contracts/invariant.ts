import * as effect from './effect.js';

/** Rules that hold at every moment; each is checked where it could break. */
export type InvariantName =
  /** A non-idempotent request has one start a task that may have run. */
  | 'startedOnce'
  /** An answer goes only to the client that owns the identity. */
  | 'ownAnswer'
  /** A request ends once. */
  | 'endedOnce'
  /** Room is reserved only for a task that is followed. */
  | 'reservationHasTask'
  /** The version of a document in force never falls. */
  | 'versionNeverFalls'
  /** A permit ends before a successor that this process knows may place. */
  | 'permitEndsBeforeSuccession'
  /** An owner acts on a worker only under a permit of the present epoch. */
  | 'ownerHasPermit'
  /** Placed and adopted tasks never exceed a worker's capacity. */
  | 'withinCapacity';

/** Reports a broken invariant; the caller leaves out the unsafe action. */
export function violation(
  name: InvariantName,
  fields: Readonly<Record<string, string | number | boolean>>,
): ReadonlyArray<effect.Effect> {
  return [
    effect.count('invariant', {name}),
    effect.log('error', 'invariantViolated', {name, ...fields}),
  ];
}
