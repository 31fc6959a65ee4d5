import * as either from 'purify-ts/Either';
import * as fairShare from './fair_share.js';
import * as resources from '../machines/resources.js';
import * as result from '../result.js';
import type * as clock from '../machines/clock.js';
import type * as configuration from './configuration.js';
import type * as queue from './queue.js';
import type * as request from './request.js';
import type * as team from './team.js';

/** What admission knows of the team of a request. */
export interface AdmissionView {
  readonly team: team.Team;
  readonly queue: queue.TeamQueue;
  readonly fleet: configuration.FleetDefinition | undefined;
}

type Check = (
  candidate: request.Request,
  view: AdmissionView,
  now: clock.Milliseconds,
) => result.Failure | undefined;

/** The cheapest checks come first. */
const CHECKS: ReadonlyArray<Check> = [
  checkQueueLimit,
  checkShapes,
  checkQuota,
  checkDeadline,
];

/** Refuses a request that should not wait, with the reason. */
export function check(
  candidate: request.Request,
  view: AdmissionView,
  now: clock.Milliseconds,
): either.Either<result.Failure, null> {
  for (const refuse of CHECKS) {
    const refusal = refuse(candidate, view, now);
    if (refusal !== undefined) return either.Left(refusal);
  }
  return either.Right(null);
}

function checkQueueLimit(
  candidate: request.Request,
  view: AdmissionView,
): result.Failure | undefined {
  const waiting = view.queue.size;
  const limit = view.team.queueLimit;
  if (waiting < limit) return undefined;
  return result.failure(
    'queueFull',
    `team ${candidate.team}: ${waiting} requests wait, the limit is ${limit}`,
  );
}

function checkShapes(
  candidate: request.Request,
  view: AdmissionView,
): result.Failure | undefined {
  if (view.fleet === undefined) return undefined;
  const constraint = excludingConstraint(candidate, view.fleet);
  if (constraint === undefined) return undefined;
  return result.failure('neverFits', constraint);
}

function checkQuota(
  candidate: request.Request,
  view: AdmissionView,
): result.Failure | undefined {
  const {quota} = view.team;
  const whole = resources.scale(candidate.size, candidate.taskCount);
  const exceeded = resources.exceededDimension(whole, quota);
  if (exceeded === undefined) return undefined;
  if (fairShare.mayBorrow(candidate.workload)) return undefined;
  return result.failure(
    'quotaExceeded',
    `${exceeded}: ${whole[exceeded]} for ${candidate.taskCount} tasks ` +
      `exceeds the quota ${quota[exceeded]} of team ${candidate.team}`,
  );
}

function checkDeadline(
  candidate: request.Request,
  view: AdmissionView,
  now: clock.Milliseconds,
): result.Failure | undefined {
  if (candidate.startBy === Infinity) return undefined;
  const wait = view.queue.expectedWait(candidate);
  const remaining = candidate.startBy - now;
  if (remaining > 0 && wait <= remaining) return undefined;
  return result.failure(
    'deadlineUnmeetable',
    `startDeadlineMs: ${Math.round(remaining)} ms remain and the expected ` +
      `wait is ${Math.round(wait)} ms`,
  );
}

/**
 * Names the constraint that keeps a request off every configured worker, even
 * an empty one; undefined when a worker can hold it.
 */
export function excludingConstraint(
  candidate: request.Request,
  plan: configuration.FleetDefinition,
): string | undefined {
  const {zones} = candidate.workload;
  const allowed = plan.workerShapes.filter(
    shape =>
      zones.length === 0 || shape.zones.some(zone => zones.includes(zone)),
  );
  if (allowed.length === 0) {
    return `zones: no worker is configured in ${zones.join(', ') || 'any zone'}`;
  }
  if (allowed.some(shape => resources.fits(candidate.size, shape.capacity))) {
    return undefined;
  }
  return excludingDimension(candidate.size, allowed);
}

function excludingDimension(
  size: resources.Resources,
  shapes: ReadonlyArray<configuration.WorkerShape>,
): string {
  const largest = shapes.reduce(
    (maximum, shape) => resources.maximum(maximum, shape.capacity),
    resources.NONE,
  );
  const dimension = resources.exceededDimension(size, largest);
  if (dimension !== undefined) {
    return (
      `${dimension}: ${size[dimension]} exceeds ${largest[dimension]}, the ` +
      'most of any configured worker'
    );
  }
  const reasons = shapes.map(shape => {
    const lacking = resources.exceededDimension(size, shape.capacity);
    return `${lacking} on one with ${describe(shape.capacity)}`;
  });
  return `no configured worker offers all at once: lacks ${reasons.join('; ')}`;
}

function describe(capacity: resources.Resources): string {
  return resources.DIMENSIONS.map(
    dimension => `${dimension}=${capacity[dimension]}`,
  ).join(' ');
}
