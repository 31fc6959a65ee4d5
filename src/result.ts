/** What a result states about the execution of the request. */
export type Execution = 'notRun' | 'ran' | 'unknown' | 'pending';

/** Whether and how the caller may send the request again. */
export type RetryAdvice = 'no' | 'sameIdentity' | 'afterCorrection' | 'later';

/** One row of the table of result codes. */
export interface ResultCode {
  readonly code: number;
  readonly name: string;
  readonly httpStatus: number;
  readonly execution: Execution;
  readonly retry: RetryAdvice;
  readonly meaning: string;
}

function row(
  code: number,
  name: string,
  httpStatus: number,
  execution: Execution,
  retry: RetryAdvice,
  meaning: string,
): ResultCode {
  return {code, name, httpStatus, execution, retry, meaning};
}

/** All result codes; docs/errors.md holds the same table. */
export const RESULT_CODES = {
  ok: row(0, 'ok', 200, 'ran', 'no', 'The request ran and finished.'),
  accepted: row(
    1,
    'accepted',
    202,
    'pending',
    'sameIdentity',
    'The request is queued or running.',
  ),
  invalidBody: row(
    1001,
    'invalidBody',
    400,
    'notRun',
    'afterCorrection',
    'The body is not the JSON object that the call needs.',
  ),
  bodyTooLarge: row(
    1002,
    'bodyTooLarge',
    413,
    'notRun',
    'afterCorrection',
    'The body exceeds the size limit.',
  ),
  bodyTooSlow: row(
    1003,
    'bodyTooSlow',
    408,
    'notRun',
    'later',
    'The body did not arrive within the deadline.',
  ),
  invalidField: row(
    1004,
    'invalidField',
    400,
    'notRun',
    'afterCorrection',
    'A field is missing, unknown or breaks a rule.',
  ),
  unknownTeam: row(
    1005,
    'unknownTeam',
    404,
    'notRun',
    'afterCorrection',
    'No team of this name is configured.',
  ),
  unknownWorkload: row(
    1006,
    'unknownWorkload',
    404,
    'notRun',
    'afterCorrection',
    'The team has no workload of this name.',
  ),
  unknownPath: row(
    1007,
    'unknownPath',
    404,
    'notRun',
    'afterCorrection',
    'The path or method does not exist.',
  ),
  unknownIdentity: row(
    1008,
    'unknownIdentity',
    404,
    'notRun',
    'afterCorrection',
    'The identity is malformed or was never issued to this client.',
  ),
  identityRequired: row(
    1009,
    'identityRequired',
    400,
    'notRun',
    'afterCorrection',
    'A non-idempotent request needs an identity issued beforehand.',
  ),
  identityConflict: row(
    1010,
    'identityConflict',
    409,
    'notRun',
    'no',
    'The identity was used for a different request.',
  ),
  clientNotAllowed: row(
    1011,
    'clientNotAllowed',
    403,
    'notRun',
    'afterCorrection',
    'The client does not belong to the team.',
  ),
  identityRefused: row(
    1012,
    'identityRefused',
    409,
    'notRun',
    'afterCorrection',
    'An earlier call with this identity was refused; use a new identity.',
  ),
  unknownQueue: row(
    1013,
    'unknownQueue',
    404,
    'notRun',
    'afterCorrection',
    'No queue of jobs is configured for this host and path.',
  ),
  unknownJob: row(
    1014,
    'unknownJob',
    410,
    'notRun',
    'no',
    'The queue has no job of this identity, or removed it after its end.',
  ),
  recordTooLarge: row(
    1015,
    'recordTooLarge',
    413,
    'notRun',
    'afterCorrection',
    'The job needs a larger record than the store accepts.',
  ),
  unknownKey: row(
    1016,
    'unknownKey',
    401,
    'notRun',
    'afterCorrection',
    'The call has no key, or one that no organisation holds.',
  ),
  malformedCall: row(
    1020,
    'malformedCall',
    400,
    'notRun',
    'afterCorrection',
    'The bytes received are not an HTTP/1.1 request.',
  ),
  neverFits: row(
    2001,
    'neverFits',
    422,
    'notRun',
    'afterCorrection',
    'No configured worker can hold the request even when empty.',
  ),
  queueFull: row(
    2002,
    'queueFull',
    429,
    'notRun',
    'later',
    "The team's queue is full.",
  ),
  quotaExceeded: row(
    2003,
    'quotaExceeded',
    429,
    'notRun',
    'later',
    "The request exceeds the team's quota.",
  ),
  deadlineUnmeetable: row(
    2004,
    'deadlineUnmeetable',
    422,
    'notRun',
    'later',
    'The request cannot start before its deadline.',
  ),
  deadlinePassed: row(
    2005,
    'deadlinePassed',
    504,
    'notRun',
    'later',
    'The deadline passed before the request was started.',
  ),
  cancelled: row(
    2006,
    'cancelled',
    409,
    'notRun',
    'no',
    'The request was cancelled before it was started.',
  ),
  retryBudgetSpent: row(
    2007,
    'retryBudgetSpent',
    503,
    'notRun',
    'later',
    'The start failed and the retry budget is spent.',
  ),
  tooManyCalls: row(
    2008,
    'tooManyCalls',
    503,
    'notRun',
    'later',
    'This process has reached its limit of open calls.',
  ),
  overloaded: row(
    2009,
    'overloaded',
    503,
    'notRun',
    'later',
    'The scheduler has more work than it can handle in time.',
  ),
  noRoomInTime: row(
    2010,
    'noRoomInTime',
    503,
    'notRun',
    'later',
    'The accepted work leaves no room on the workers to serve the job in time.',
  ),
  noStartInTime: row(
    2011,
    'noStartInTime',
    503,
    'notRun',
    'later',
    'The scheduler has more tasks to start than it can in time for the job.',
  ),
  noConfiguration: row(
    3001,
    'noConfiguration',
    503,
    'notRun',
    'later',
    'This process has no configuration yet, or none that is known to be in force.',
  ),
  noAuthority: row(
    3002,
    'noAuthority',
    503,
    'notRun',
    'later',
    'This process owns no worker at present.',
  ),
  logUnavailable: row(
    3003,
    'logUnavailable',
    503,
    'notRun',
    'later',
    'A record that has to precede the action could not be stored.',
  ),
  draining: row(
    3004,
    'draining',
    503,
    'notRun',
    'later',
    'This process is shutting down; ask another.',
  ),
  homeGone: row(
    3005,
    'homeGone',
    503,
    'notRun',
    'later',
    'The issuing process is gone and ran nothing; use a new identity.',
  ),
  unknownOutcome: row(
    4001,
    'unknownOutcome',
    504,
    'unknown',
    'sameIdentity',
    'It is not known yet whether the request ran; ask again.',
  ),
  outcomeLost: row(
    4002,
    'outcomeLost',
    502,
    'unknown',
    'no',
    'The request may have run; its outcome can no longer be determined.',
  ),
  taskFailed: row(
    5001,
    'taskFailed',
    500,
    'ran',
    'no',
    'The task ran and failed.',
  ),
  taskStopped: row(
    5002,
    'taskStopped',
    500,
    'ran',
    'no',
    'The task was stopped while it ran.',
  ),
  answerLost: row(
    5003,
    'answerLost',
    502,
    'ran',
    'no',
    'The request ran; its answer is no longer stored.',
  ),
  versionConflict: row(
    6001,
    'versionConflict',
    409,
    'notRun',
    'afterCorrection',
    'The document has changed since the base version.',
  ),
  invalidDocument: row(
    6002,
    'invalidDocument',
    422,
    'notRun',
    'afterCorrection',
    'The document breaks a rule.',
  ),
  unknownDocument: row(
    6003,
    'unknownDocument',
    404,
    'notRun',
    'afterCorrection',
    'No document of this name exists.',
  ),
  publicationUnknown: row(
    6004,
    'publicationUnknown',
    504,
    'unknown',
    'sameIdentity',
    'The log does not show yet whether the publication was accepted.',
  ),
} as const satisfies Record<string, ResultCode>;

/** The name of a result code. */
export type ResultName = keyof typeof RESULT_CODES;

/** A result code with the detail that a caller needs to act on it. */
export interface Failure {
  readonly result: ResultName;
  /** Names the field, the value and the rule. */
  readonly detail: string;
}

/** Returns a failure with a detail for the caller. */
export function failure(result: ResultName, detail: string): Failure {
  return {result, detail};
}

/** Returns the table row of a code received from another process, if known. */
export function byCode(
  code: number,
): (ResultCode & {readonly name: ResultName}) | undefined {
  return Object.values(RESULT_CODES).find(known => known.code === code) as
    (ResultCode & {readonly name: ResultName}) | undefined;
}
