import * as textHash from '../machines/text_hash.js';
import type * as job from './job.js';

/** Processors that one accelerator counts as. */
const PROCESSORS_PER_ACCELERATOR = 8_000;

/** Score of jobs that cost the leader little for the work that they bring. */
const HIGHEST_SCORE = 1_000;

/**
 * Returns the score of a job among those of its priority: the work that one
 * start brings, on a logarithmic scale, because starts are what the leader
 * spends its time on. Jobs of similar work are spread by their id.
 */
export function scoreOf(definition: job.JobDefinition): number {
  const {schedule, steps} = definition;
  if (schedule !== undefined || steps.some(step => step.longRunning)) {
    return HIGHEST_SCORE;
  }
  let taskCount = 0;
  let work = 0;
  for (const step of steps) {
    taskCount += step.count;
    work += step.count * step.estimatedRuntimeMs * processorsOf(step);
  }
  return Math.log2(1 + work / Math.max(taskCount, 1)) + spreadOf(definition.id);
}

/** Returns the estimated time that a job takes if no task waits. */
export function estimatedPathMs({steps}: job.JobDefinition): number {
  const endsMs: number[] = [];
  for (const {after, estimatedRuntimeMs} of steps) {
    const dependencyEndsMs = after.map(position => endsMs[position] ?? 0);
    endsMs.push(Math.max(0, ...dependencyEndsMs) + estimatedRuntimeMs);
  }
  return Math.max(0, ...endsMs);
}

function processorsOf(step: job.Step): number {
  const {processors, accelerators} = step.size;
  return processors + PROCESSORS_PER_ACCELERATOR * accelerators;
}

const HASH_RANGE = 2 ** 32;

/** Returns a number from 0 to 1 that depends only on the id. */
export function spreadOf(id: string): number {
  let hash = textHash.hashOf(id);
  // The last multiplications mix the low bits into the high ones.
  hash = Math.imul(hash ^ (hash >>> 15), textHash.FNV_PRIME);
  return ((hash ^ (hash >>> 13)) >>> 0) / HASH_RANGE;
}
