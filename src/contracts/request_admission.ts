import * as either from 'purify-ts/Either';
import * as fairShareCalculator from './fair_share_calculator.js';
import * as resources from '../machines/resources.js';
import * as result from '../result.js';
import type * as clock from '../machines/clock.js';
import type * as configuration from './configuration.js';
import type * as teamQueue from './team_queue.js';
import type * as request from './request.js';
import type * as team from './team.js';

/** Team, queue and fleet definition against which a request is checked. */
export interface AdmissionContext {
  readonly team: team.Team;
  readonly queue: teamQueue.TeamQueue;
  readonly fleet: configuration.FleetDefinition | undefined;
}

type AdmissionCheck = (
  candidate: request.Request,
  context: AdmissionContext,
  now: clock.Milliseconds,
) => result.Failure | undefined;

/** Admission checks in the order of their cost, the cheapest first. */
const CHECKS: ReadonlyArray<AdmissionCheck> = [
  checkQueueLimit,
  checkShapes,
  checkQuota,
  checkDeadline,
];

/** Runs the admission checks; returns the first failure, if any. */
export function checkAdmission(
  candidate: request.Request,
  context: AdmissionContext,
  now: clock.Milliseconds,
): either.Either<result.Failure, null> {
  for (const runCheck of CHECKS) {
    const refusal = runCheck(candidate, context, now);
    if (refusal !== undefined) return either.Left(refusal);
  }
  return either.Right(null);
}

function checkQueueLimit(
  candidate: request.Request,
  context: AdmissionContext,
): result.Failure | undefined {
  const waiting = context.queue.size;
  const limit = context.team.queueLimit;
  if (waiting < limit) return undefined;
  return result.failure(
    'queueFull',
    `team ${candidate.team}: ${waiting} requests wait, queue limit ${limit}`,
  );
}

function checkShapes(
  candidate: request.Request,
  context: AdmissionContext,
): result.Failure | undefined {
  if (context.fleet === undefined) return undefined;
  const constraint = excludingConstraint(candidate, context.fleet);
  if (constraint === undefined) return undefined;
  return result.failure('neverFits', constraint);
}

function checkQuota(
  candidate: request.Request,
  context: AdmissionContext,
): result.Failure | undefined {
  const {quota} = context.team;
  const totalSize = resources.scale(candidate.size, candidate.taskCount);
  const exceeded = resources.exceededDimension(totalSize, quota);
  if (exceeded === undefined) return undefined;
  if (fairShareCalculator.mayBorrow(candidate.workload)) return undefined;
  return result.failure(
    'quotaExceeded',
    `${exceeded}: ${totalSize[exceeded]} for ${candidate.taskCount} tasks ` +
      `exceeds the quota ${quota[exceeded]} of team ${candidate.team}`,
  );
}

function checkDeadline(
  candidate: request.Request,
  context: AdmissionContext,
  now: clock.Milliseconds,
): result.Failure | undefined {
  if (candidate.startBy === Infinity) return undefined;
  const waitMs = context.queue.expectedWaitMs(candidate);
  const remainingMs = candidate.startBy - now;
  if (remainingMs > 0 && waitMs <= remainingMs) return undefined;
  return result.failure(
    'deadlineUnmeetable',
    `startDeadlineMs: ${Math.round(remainingMs)} ms remain, but the expected ` +
      `wait is ${Math.round(waitMs)} ms`,
  );
}

/**
 * Returns the constraint that excludes a request from every configured worker,
 * even an empty one; undefined when at least one worker shape fits.
 */
export function excludingConstraint(
  candidate: request.Request,
  fleet: configuration.FleetDefinition,
): string | undefined {
  const {zones} = candidate.workload;
  const allowed = fleet.workerShapes.filter(
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
      'largest capacity of any configured worker'
    );
  }
  const reasons = shapes.map(shape => {
    const exceeded = resources.exceededDimension(size, shape.capacity);
    return `${exceeded} on one with ${formatCapacity(shape.capacity)}`;
  });
  return `no configured worker offers this size: lacks ${reasons.join('; ')}`;
}

function formatCapacity(capacity: resources.Resources): string {
  return resources.DIMENSIONS.map(
    dimension => `${dimension}=${capacity[dimension]}`,
  ).join(' ');
}
