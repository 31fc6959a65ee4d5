import * as either from 'purify-ts/Either';
import * as fieldChecks from './field_checks.js';
import * as jsonBody from './json_body.js';
import * as result from '../result.js';
import type * as event from '../contracts/event.js';
import type * as request from '../contracts/request.js';
import type * as resources from '../machines/resources.js';

/** Longest wait that a caller may ask for, in seconds. */
export const MAXIMUM_WAIT_SECONDS = 300;

/** Largest number of identities that one call may request. */
export const MAXIMUM_IDENTITIES_PER_CALL = 100;

/**
 * Maximum characters of the name of a client, team, workload, worker or
 * publication.
 */
const MAXIMUM_NAME_LENGTH = 80;

/** Maximum characters of an identity; issued identities are shorter. */
const MAXIMUM_IDENTITY_LENGTH = 200;

/** Maximum characters of a payload; the default body limit is lower. */
const MAXIMUM_PAYLOAD_LENGTH = 67_108_864;

/** Largest quantity of a size, and longest start deadline in milliseconds. */
const MAXIMUM_QUANTITY = 1_000_000_000;

/** An HTTP call with its body, before any check. */
export interface RawCall {
  readonly method: string;
  /** Path and query. */
  readonly target: string;
  readonly client: string | undefined;
  readonly ifMatch: string | undefined;
  readonly publication: string | undefined;
  readonly body: string;
}

/** Format of the response: a JSON reply, the raw answer or an event stream. */
export type ResponseFormat = 'reply' | 'rawAnswer' | 'events';

/** A call that passed all checks, as the event to post. */
export interface ParsedCall {
  readonly responseFormat: ResponseFormat;
  readonly event: event.CallEvent;
}

type Checked<Value> = fieldChecks.Checked<Value>;

/** Parses an HTTP call into its event, or returns the first failed check. */
export function parseCall(
  rawCall: RawCall,
  call: event.CallNumber,
): Checked<ParsedCall> {
  const [path, query = ''] = splitTarget(rawCall.target);
  const parameters = new URLSearchParams(query);
  const route = `${rawCall.method} ${path}`;
  const match = /^(\w+) \/v1\/(requests|explain|configuration)\/(.+)$/.exec(
    route,
  );
  if (match !== null) {
    return decodePathName(match[2], match[3]).chain(name =>
      parseResourceCall(
        `${match[1]} ${match[2]}`,
        name,
        rawCall,
        parameters,
        call,
      ),
    );
  }
  return parseCollectionCall(route, rawCall, parameters, call);
}

/** Parses the JSON body of a submission. */
export function parseSubmission(body: string): Checked<request.Submission> {
  const known = ['team', 'workload', 'payload', 'size', 'startDeadlineMs'];
  return parseJsonBody(body)
    .chain(raw => fieldChecks.rejectUnknownFields(raw, known))
    .chain(raw =>
      fieldChecks
        .checkText('team', raw['team'], 1, MAXIMUM_NAME_LENGTH)
        .chain(() =>
          fieldChecks.checkText(
            'workload',
            raw['workload'],
            1,
            MAXIMUM_NAME_LENGTH,
          ),
        )
        .chain(() =>
          fieldChecks.checkText(
            'payload',
            raw['payload'],
            0,
            MAXIMUM_PAYLOAD_LENGTH,
          ),
        )
        .chain(() => parseOptional(raw['size'], parseSize))
        .chain(() =>
          parseOptional(raw['startDeadlineMs'], value =>
            fieldChecks.checkInteger(
              'startDeadlineMs',
              value,
              0,
              MAXIMUM_QUANTITY,
            ),
          ),
        )
        .map(() => raw as unknown as request.Submission),
    );
}

function parseResourceCall(
  route: string,
  name: string,
  rawCall: RawCall,
  parameters: URLSearchParams,
  call: event.CallNumber,
): Checked<ParsedCall> {
  const subresource = /^([^/]+)\/(answer|events)$/.exec(name);
  if (route === 'GET requests' && subresource !== null) {
    return parseFetchCall(subresource[1], rawCall, parameters, call).map(
      event => ({
        responseFormat: subresource[2] === 'answer' ? 'rawAnswer' : 'events',
        event,
      }),
    );
  }
  switch (route) {
    case 'PUT requests':
      return parseRequestCall(name, rawCall, parameters, call);
    case 'GET requests':
      return parseFetchCall(name, rawCall, parameters, call).map(toReplyCall);
    case 'DELETE requests':
    case 'GET explain':
      return parseRequestOwner(name, rawCall, parameters).map(owner =>
        toReplyCall({
          kind: route === 'GET explain' ? 'explainArrived' : 'cancelArrived',
          call,
          ...owner,
        }),
      );
    case 'GET configuration':
      return parseDocumentName(name).map(document =>
        toReplyCall({kind: 'documentFetchArrived', call, document}),
      );
    case 'PUT configuration':
      return parsePublicationCall(name, rawCall, call);
    default:
      return unknownPathFailure(rawCall);
  }
}

function parseCollectionCall(
  route: string,
  rawCall: RawCall,
  parameters: URLSearchParams,
  call: event.CallNumber,
): Checked<ParsedCall> {
  switch (route) {
    case 'POST /v1/identities':
      return parseIdentitiesCall(rawCall, call);
    case 'POST /v1/requests':
      return parseRequestCall(undefined, rawCall, parameters, call);
    case 'GET /v1/status':
      return either.Right(toReplyCall({kind: 'statusArrived', call}));
    case 'GET /v1/workloads':
      return either.Right(toReplyCall({kind: 'workloadsArrived', call}));
    case 'POST /v1/drain':
      return parseDrainCall(rawCall, call);
    default:
      return unknownPathFailure(rawCall);
  }
}

function parseIdentitiesCall(
  rawCall: RawCall,
  call: event.CallNumber,
): Checked<ParsedCall> {
  // A call without a body requests one identity.
  const body = rawCall.body === '' ? '{"count": 1}' : rawCall.body;
  return parseClient(rawCall).chain(client =>
    parseJsonBody(body)
      .chain(raw => fieldChecks.rejectUnknownFields(raw, ['count']))
      .chain(raw =>
        fieldChecks.checkInteger(
          'count',
          raw['count'],
          1,
          MAXIMUM_IDENTITIES_PER_CALL,
        ),
      )
      .map(count =>
        toReplyCall({kind: 'identitiesArrived', call, client, count}),
      ),
  );
}

function parseRequestCall(
  name: string | undefined,
  rawCall: RawCall,
  parameters: URLSearchParams,
  call: event.CallNumber,
): Checked<ParsedCall> {
  return parseClient(rawCall).chain(client =>
    parseOptional(name, parseIdentity).chain(identity =>
      parseWaitMs(parameters).chain(waitMs =>
        parseSubmission(rawCall.body).map(submission =>
          toReplyCall({
            kind: 'requestArrived',
            call,
            client,
            ...(identity === undefined ? {} : {identity}),
            submission,
            waitMs,
          }),
        ),
      ),
    ),
  );
}

function parseFetchCall(
  name: string,
  rawCall: RawCall,
  parameters: URLSearchParams,
  call: event.CallNumber,
): Checked<event.CallEvent> {
  return parseRequestOwner(name, rawCall, parameters).chain(owner =>
    parseWaitMs(parameters).map(waitMs => ({
      kind: 'fetchArrived' as const,
      call,
      ...owner,
      waitMs,
    })),
  );
}

function parseRequestOwner(
  name: string,
  rawCall: RawCall,
  parameters: URLSearchParams,
): Checked<{readonly client: string; readonly identity: string}> {
  return parseClient(rawCall).chain(client =>
    parseWaitMs(parameters).chain(() =>
      parseIdentity(name).map(identity => ({client, identity})),
    ),
  );
}

function parsePublicationCall(
  name: string,
  rawCall: RawCall,
  call: event.CallNumber,
): Checked<ParsedCall> {
  return parseDocumentName(name).chain(document =>
    parseBaseVersion(rawCall.ifMatch).chain(baseVersion =>
      parseNameHeader('x-publication', rawCall.publication).map(publication =>
        toReplyCall({
          kind: 'publishArrived',
          call,
          document,
          baseVersion,
          content: rawCall.body,
          publication,
        }),
      ),
    ),
  );
}

function parseDrainCall(
  rawCall: RawCall,
  call: event.CallNumber,
): Checked<ParsedCall> {
  return parseJsonBody(rawCall.body === '' ? '{}' : rawCall.body)
    .chain(raw => fieldChecks.rejectUnknownFields(raw, ['worker']))
    .chain(raw =>
      parseOptional(raw['worker'], value =>
        fieldChecks.checkText('worker', value, 1, MAXIMUM_NAME_LENGTH),
      ),
    )
    .map(worker =>
      toReplyCall({
        kind: 'drainArrived',
        call,
        ...(worker === undefined ? {} : {worker}),
      }),
    );
}

function parseClient(rawCall: RawCall): Checked<string> {
  return parseNameHeader('x-client', rawCall.client);
}

function parseNameHeader(
  header: string,
  value: string | undefined,
): Checked<string> {
  return fieldChecks.checkText(header, value, 1, MAXIMUM_NAME_LENGTH);
}

function parseBaseVersion(ifMatch: string | undefined): Checked<number> {
  if (ifMatch === undefined) return either.Right(0);
  const match = /^"?(\d{1,15})"?$/.exec(ifMatch);
  if (match !== null) return either.Right(Number(match[1]));
  return fieldChecks.fieldFailure(
    'if-match',
    ifMatch,
    'must be the version of the document, or 0 for a new one',
  );
}

function parseWaitMs(parameters: URLSearchParams): Checked<number> {
  const text = parameters.get('wait');
  if (text === null) return either.Right(0);
  const seconds = Number(text);
  const valid = /^\d+(\.\d+)?$/.test(text) && seconds <= MAXIMUM_WAIT_SECONDS;
  if (valid) return either.Right(seconds * 1_000);
  return fieldChecks.fieldFailure(
    'wait',
    text,
    `must be a number of seconds from 0 to ${MAXIMUM_WAIT_SECONDS}`,
  );
}

function parseSize(value: unknown): Checked<resources.Resources> {
  const known = ['processors', 'memory', 'accelerators', 'slots'];
  return fieldChecks
    .checkObject('size', value)
    .chain(raw => fieldChecks.rejectUnknownFields(raw, known, 'size.'))
    .chain(raw => {
      for (const key of known) {
        const checked = fieldChecks.checkInteger(
          `size.${key}`,
          raw[key],
          0,
          MAXIMUM_QUANTITY,
        );
        if (checked.isLeft()) return either.Left(checked.extract());
      }
      return either.Right(raw as unknown as resources.Resources);
    });
}

function decodePathName(field: string, encoded: string): Checked<string> {
  const decoded = either.Either.encase(() => decodeURIComponent(encoded));
  if (decoded.isRight()) return either.Right(decoded.extract());
  return fieldChecks.fieldFailure(
    field,
    encoded,
    'is not valid percent-encoding',
  );
}

function parseIdentity(name: string): Checked<string> {
  if (/^[\w.-]+$/.test(name) && name.length <= MAXIMUM_IDENTITY_LENGTH) {
    return either.Right(name);
  }
  return either.Left(
    result.failure(
      'unknownIdentity',
      `identity: ${JSON.stringify(name.slice(0, 60))}: must be an identity issued by POST /v1/identities`,
    ),
  );
}

function parseDocumentName(name: string): Checked<string> {
  if (/^[a-z0-9][a-z0-9/-]{0,99}$/.test(name)) return either.Right(name);
  return fieldChecks.fieldFailure(
    'document',
    name,
    'must be 1 to 100 lower-case letters, digits, hyphens and slashes',
  );
}

function parseJsonBody(body: string): Checked<fieldChecks.RawObject> {
  const parsed = jsonBody.parseJsonObject(body);
  if (parsed !== undefined) return either.Right(parsed);
  return either.Left(
    result.failure('invalidBody', 'body: must be a JSON object'),
  );
}

function parseOptional<Raw, Value>(
  value: Raw | undefined,
  parse: (value: Raw) => Checked<Value>,
): Checked<Value | undefined> {
  return value === undefined ? either.Right(undefined) : parse(value);
}

function unknownPathFailure(rawCall: RawCall): Checked<ParsedCall> {
  const shown = `${rawCall.method} ${rawCall.target}`.slice(0, 120);
  return either.Left(
    result.failure('unknownPath', `path: ${shown}: no such call`),
  );
}

function toReplyCall(callEvent: event.CallEvent): ParsedCall {
  return {responseFormat: 'reply', event: callEvent};
}

function splitTarget(target: string): ReadonlyArray<string> {
  const position = target.indexOf('?');
  if (position < 0) return [target];
  return [target.slice(0, position), target.slice(position + 1)];
}
