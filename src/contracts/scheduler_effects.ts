import * as effect from './effect.js';
import * as invariant from './invariant.js';
import type * as clock from '../machines/clock.js';
import type * as event from './event.js';
import type * as overloadMitigator from './overload_mitigator.js';
import type * as requestScheduler from './request_scheduler.js';
import type * as worker from '../machines/worker.js';

/** Passes a report to the scheduler; returns the effects that it requires. */
export function handleEvent(
  scheduler: requestScheduler.RequestScheduler,
  handled: event.Event,
  now: clock.Milliseconds,
): ReadonlyArray<effect.Effect> {
  if (handled.kind === 'reportArrived') {
    scheduler.observeReport(handled.report, now);
  }
  return [
    ...interventionEffects(scheduler.takeInterventions()),
    ...violationEffects(scheduler.takeViolations()),
  ];
}

/** Builds the effects that carry out interventions on running tasks. */
export function interventionEffects(
  interventions: ReadonlyArray<overloadMitigator.Intervention>,
): ReadonlyArray<effect.Effect> {
  return interventions.flatMap(item => [
    effect.count('intervention', {kind: item.kind, reason: item.reason}),
    interventionEffect(item),
  ]);
}

/**
 * Builds the effects that report workers whose reservations exceed their
 * capacity. Usage above the reservation and a shrinking capacity are not
 * caused by this process and so do not violate its invariant.
 */
export function violationEffects(
  violations: ReadonlyArray<worker.CapacityViolation>,
): ReadonlyArray<effect.Effect> {
  return violations.flatMap(item => {
    const fields = {
      worker: item.worker,
      cause: item.cause,
      dimension: item.dimension,
      reserved: item.reserved[item.dimension],
      capacity: item.capacity[item.dimension],
    };
    if (item.cause === 'reserve' || item.cause === 'adopt') {
      return invariant.violation('withinCapacity', fields);
    }
    return [
      effect.count('overcommitted', {cause: item.cause}),
      effect.log('warn', 'overcommitted', fields),
    ];
  });
}

function interventionEffect(
  item: overloadMitigator.Intervention,
): effect.Effect {
  const target = {
    worker: item.worker.name,
    address: item.worker.description.address,
    task: item.task,
  };
  switch (item.kind) {
    case 'throttle':
      return {kind: 'throttleTask', ...target, limit: item.limit};
    case 'checkpoint':
      return {kind: 'checkpointTask', ...target};
    case 'stop':
      return {kind: 'stopTask', ...target};
  }
}
