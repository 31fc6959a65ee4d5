import * as effect from './effect.js';

/** Names of safety rules; each is checked where a fault could break it. */
export type InvariantName =
  /** At most one start per task of a non-idempotent request may have run. */
  | 'startedOnce'
  /** An answer goes only to the client to which the identity belongs. */
  | 'ownAnswer'
  /** A request ends at most once. */
  | 'endedOnce'
  /** Capacity is reserved only for a task that is tracked. */
  | 'reservationHasTask'
  /** The version of a document in force never decreases. */
  | 'versionNeverFalls'
  /** A permit ends before a known successor of its process may place tasks. */
  | 'permitEndsBeforeSuccession'
  /** An owner acts on a worker only under a permit of the current epoch. */
  | 'ownerHasPermit'
  /** Placed and adopted tasks never exceed a worker's capacity. */
  | 'withinCapacity';

/** Returns the effects that report a violation; the caller skips the action. */
export function violation(
  name: InvariantName,
  fields: Readonly<Record<string, string | number | boolean>>,
): ReadonlyArray<effect.Effect> {
  return [
    effect.count('invariant', {name}),
    effect.log('error', 'invariantViolated', {name, ...fields}),
  ];
}
