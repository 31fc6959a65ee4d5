import * as configurationCodec from './configuration_codec.js';
import * as typeGuards from './type_guards.js';
import type * as cellMember from '../zones/cell_member.js';
import type * as job from '../jobs/job.js';
import type * as jobJournal from '../jobs/job_journal.js';
import type * as jobRecord from '../jobs/job_record.js';
import type * as remoteWorker from '../machines/remote_worker.js';

const OUTCOMES: ReadonlySet<unknown> = new Set<
  jobRecord.JobProgress['outcome']
>(['open', 'completed', 'failed', 'cancelled']);

/** Returns whether a value is a member of the cell as it registers itself. */
export function isCellMember(value: unknown): value is cellMember.CellMember {
  return (
    typeGuards.isObject(value) &&
    typeof value['node'] === 'string' &&
    typeof value['incarnation'] === 'string' &&
    typeGuards.isAddress(value['address']) &&
    typeof value['zone'] === 'string' &&
    typeGuards.isNonNegativeNumber(value['processors']) &&
    (value['firstOffset'] === undefined ||
      typeGuards.isNonNegativeInteger(value['firstOffset']))
  );
}

/** Returns whether a value is a leader's progress record. */
export function isLeaderProgress(
  value: unknown,
): value is cellMember.LeaderProgress {
  return (
    typeGuards.isObject(value) &&
    typeGuards.isNonNegativeInteger(value['term']) &&
    typeof value['leading'] === 'boolean' &&
    typeof value['resigning'] === 'boolean' &&
    typeGuards.isNonNegativeInteger(value['takeoverStep']) &&
    typeof value['hearsMajority'] === 'boolean' &&
    (value['grantorEnd'] === undefined ||
      typeGuards.isNonNegativeInteger(value['grantorEnd'])) &&
    (value['exempt'] === undefined || isTextList(value['exempt']))
  );
}

/** Returns whether a value is a job definition that can be scheduled. */
export function isJobDefinition(value: unknown): value is job.JobDefinition {
  return (
    typeGuards.isObject(value) &&
    typeGuards.isNonEmptyString(value['id']) &&
    typeof value['queue'] === 'string' &&
    typeof value['payload'] === 'string' &&
    (value['organisation'] === undefined ||
      typeof value['organisation'] === 'string') &&
    Array.isArray(value['steps']) &&
    value['steps'].every(isStep) &&
    (value['schedule'] === undefined || isSchedule(value['schedule']))
  );
}

/** Record of a job's definition in the journal. */
export interface StoredDefinition extends job.JobDefinition {
  /** Unix time of arrival; earlier versions stored none. */
  readonly arrivedAtUnixMs?: number;
}

/** Returns whether a value is a job's definition as the journal stores it. */
export function isStoredDefinition(value: unknown): value is StoredDefinition {
  if (!isJobDefinition(value)) return false;
  const {arrivedAtUnixMs} = value as StoredDefinition;
  return (
    arrivedAtUnixMs === undefined ||
    typeGuards.isNonNegativeNumber(arrivedAtUnixMs)
  );
}

/** Returns whether a value is the stored progress of a job. */
export function isJobProgress(value: unknown): value is jobRecord.JobProgress {
  return (
    typeGuards.isObject(value) &&
    OUTCOMES.has(value['outcome']) &&
    typeof value['started'] === 'boolean' &&
    Array.isArray(value['steps']) &&
    value['steps'].every(isStepProgress) &&
    (value['doneOccurrences'] === undefined ||
      isRangeList(value['doneOccurrences'])) &&
    (value['unansweredStarts'] === undefined ||
      isUnansweredStartList(value['unansweredStarts'])) &&
    (value['hasMoreUnansweredStarts'] === undefined ||
      typeof value['hasMoreUnansweredStarts'] === 'boolean')
  );
}

/** Returns whether a value is a queue as the journal stores it. */
export function isStoredQueue(value: unknown): value is jobJournal.StoredQueue {
  return (
    typeGuards.isObject(value) &&
    typeGuards.isNonNegativeInteger(value['version']) &&
    configurationCodec.isQueue(value['queue'])
  );
}

/** Returns whether a value is a worker as the journal stores it. */
export function isStoredWorker(
  value: unknown,
): value is jobJournal.StoredWorker {
  if (!typeGuards.isObject(value)) return false;
  const {entry, closedJobs, restarted, reached, listsServices} = value;
  return (
    isRegistryEntry(entry) &&
    (closedJobs === undefined || isTextList(closedJobs)) &&
    (restarted === undefined || typeof restarted === 'boolean') &&
    (reached === undefined || typeof reached === 'boolean') &&
    (listsServices === undefined || typeof listsServices === 'boolean')
  );
}

function isRegistryEntry(value: unknown): value is remoteWorker.RegistryEntry {
  return (
    typeGuards.isObject(value) &&
    typeGuards.isNonEmptyString(value['id']) &&
    typeGuards.isNonNegativeInteger(value['born']) &&
    typeGuards.isAddress(value['address']) &&
    typeof value['service'] === 'string' &&
    typeof value['state'] === 'string' &&
    typeGuards.isResources(value['capacity']) &&
    isTextList(value['labels'])
  );
}

function isStep(value: unknown): boolean {
  return (
    typeGuards.isObject(value) &&
    typeGuards.isNonNegativeInteger(value['count']) &&
    typeGuards.isResources(value['size']) &&
    typeof value['estimatedRuntimeMs'] === 'number' &&
    isIndexList(value['after'])
  );
}

function isSchedule(value: unknown): value is job.Schedule {
  return (
    typeGuards.isObject(value) &&
    typeof value['occurrences'] === 'number' &&
    typeof value['startAtMs'] === 'number' &&
    typeof value['intervalMs'] === 'number'
  );
}

function isStepProgress(value: unknown): value is jobRecord.StepProgress {
  return (
    typeGuards.isObject(value) &&
    typeGuards.isNonNegativeInteger(value['occurrence']) &&
    typeGuards.isNonNegativeInteger(value['position']) &&
    isIndexList(value['done']) &&
    isPairList(value['failed']) &&
    isPairList(value['checkpoints']) &&
    (value['placements'] === undefined || isPairList(value['placements']))
  );
}

/** Returns whether a value is a list of strings. */
export function isTextList(value: unknown): value is ReadonlyArray<string> {
  return Array.isArray(value) && value.every(item => typeof item === 'string');
}

function isIndexList(value: unknown): value is ReadonlyArray<number> {
  return Array.isArray(value) && value.every(typeGuards.isNonNegativeInteger);
}

function isUnansweredStartList(value: unknown): boolean {
  return Array.isArray(value) && value.every(isUnansweredStart);
}

function isUnansweredStart(value: unknown): boolean {
  return (
    typeGuards.isObject(value) &&
    typeGuards.isNonNegativeInteger(value['occurrence']) &&
    typeGuards.isNonNegativeInteger(value['position']) &&
    typeGuards.isNonNegativeInteger(value['index']) &&
    isTextList(value['workers'])
  );
}

function isRangeList(value: unknown): boolean {
  return (
    isPairList(value) && (value as ReadonlyArray<unknown>).every(isIndexList)
  );
}

function isPairList(value: unknown): boolean {
  return (
    Array.isArray(value) &&
    value.every(pair => Array.isArray(pair) && pair.length === 2)
  );
}
