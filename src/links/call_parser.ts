import * as either from 'purify-ts/Either';
import * as fieldChecks from './field_checks.js';
import * as jsonBody from './json_body.js';
import * as result from '../result.js';
import type * as event from '../contracts/event.js';
import type * as request from '../contracts/request.js';
import type * as resources from '../machines/resources.js';

/** Longest wait that a caller may ask for, in seconds. */
export const MAX_WAIT_SECONDS = 300;

/** Most identities that one call issues. */
export const MAX_IDENTITIES_PER_CALL = 100;

/** Longest name of a client, team, workload, worker or publication. */
const LONGEST_NAME = 80;

/** Longest identity; the ones that are issued are shorter. */
const LONGEST_IDENTITY = 200;

/** Longest payload; the limit of bodies is lower unless it is raised. */
const LONGEST_PAYLOAD = 67_108_864;

/** Largest quantity of a size. */
const LARGEST_SIZE = 1_000_000_000;

/** A call as it came over HTTP, its body included. */
export interface RawCall {
  readonly method: string;
  /** Path and query. */
  readonly target: string;
  readonly client: string | undefined;
  readonly ifMatch: string | undefined;
  readonly publication: string | undefined;
  readonly body: string;
}

/** How a call is answered: a JSON reply, the raw answer or an event stream. */
export type ResponseFormat = 'reply' | 'rawAnswer' | 'events';

/** A checked call. */
export interface ParsedCall {
  readonly form: ResponseFormat;
  readonly event: event.CallEvent;
}

type Checked<Value> = fieldChecks.Checked<Value>;

/** Checks a call and translates it; changes nothing. */
export function parseCall(
  incoming: RawCall,
  call: event.CallNumber,
): Checked<ParsedCall> {
  const [path, query = ''] = splitTarget(incoming.target);
  const parameters = new URLSearchParams(query);
  const route = `${incoming.method} ${path}`;
  const match = /^(\w+) \/v1\/(requests|explain|configuration)\/(.+)$/.exec(
    route,
  );
  if (match !== null) {
    return readName(match[2], match[3]).chain(name =>
      readNamed(`${match[1]} ${match[2]}`, name, incoming, parameters, call),
    );
  }
  return readUnnamed(route, incoming, parameters, call);
}

/** Checks the JSON body of a submission. */
export function parseSubmission(body: string): Checked<request.Submission> {
  const known = ['team', 'workload', 'payload', 'size', 'startDeadlineMs'];
  return readJson(body)
    .chain(raw => fieldChecks.rejectUnknown(raw, known))
    .chain(raw =>
      fieldChecks
        .checkText('team', raw['team'], 1, LONGEST_NAME)
        .chain(() =>
          fieldChecks.checkText('workload', raw['workload'], 1, LONGEST_NAME),
        )
        .chain(() =>
          fieldChecks.checkText('payload', raw['payload'], 0, LONGEST_PAYLOAD),
        )
        .chain(() => readOptional(raw['size'], readSize))
        .chain(() =>
          readOptional(raw['startDeadlineMs'], value =>
            fieldChecks.checkInteger('startDeadlineMs', value, 0, LARGEST_SIZE),
          ),
        )
        .map(() => raw as unknown as request.Submission),
    );
}

function readNamed(
  route: string,
  name: string,
  incoming: RawCall,
  parameters: URLSearchParams,
  call: event.CallNumber,
): Checked<ParsedCall> {
  const part = /^([^/]+)\/(answer|events)$/.exec(name);
  if (route === 'GET requests' && part !== null) {
    return readFetch(part[1], incoming, parameters, call).map(event => ({
      form: part[2] === 'answer' ? 'rawAnswer' : 'events',
      event,
    }));
  }
  switch (route) {
    case 'PUT requests':
      return readRequest(name, incoming, parameters, call);
    case 'GET requests':
      return readFetch(name, incoming, parameters, call).map(reply);
    case 'DELETE requests':
    case 'GET explain':
      return readOwner(name, incoming, parameters).map(owner =>
        reply({
          kind: route === 'GET explain' ? 'explainArrived' : 'cancelArrived',
          call,
          ...owner,
        }),
      );
    case 'GET configuration':
      return readDocumentName(name).map(document =>
        reply({kind: 'documentFetchArrived', call, document}),
      );
    case 'PUT configuration':
      return readPublication(name, incoming, call);
    default:
      return unknownPath(incoming);
  }
}

function readUnnamed(
  route: string,
  incoming: RawCall,
  parameters: URLSearchParams,
  call: event.CallNumber,
): Checked<ParsedCall> {
  switch (route) {
    case 'POST /v1/identities':
      return readIdentities(incoming, call);
    case 'POST /v1/requests':
      return readRequest(undefined, incoming, parameters, call);
    case 'GET /v1/status':
      return either.Right(reply({kind: 'statusArrived', call}));
    case 'GET /v1/workloads':
      return either.Right(reply({kind: 'workloadsArrived', call}));
    case 'POST /v1/drain':
      return readDrain(incoming, call);
    default:
      return unknownPath(incoming);
  }
}

function readIdentities(
  incoming: RawCall,
  call: event.CallNumber,
): Checked<ParsedCall> {
  // A call without a body asks for one identity.
  const body = incoming.body === '' ? '{"count": 1}' : incoming.body;
  return readClient(incoming).chain(client =>
    readJson(body)
      .chain(raw => fieldChecks.rejectUnknown(raw, ['count']))
      .chain(raw =>
        fieldChecks.checkInteger(
          'count',
          raw['count'],
          1,
          MAX_IDENTITIES_PER_CALL,
        ),
      )
      .map(count => reply({kind: 'identitiesArrived', call, client, count})),
  );
}

function readRequest(
  name: string | undefined,
  incoming: RawCall,
  parameters: URLSearchParams,
  call: event.CallNumber,
): Checked<ParsedCall> {
  return readClient(incoming).chain(client =>
    readOptional(name, readIdentity).chain(identity =>
      readWait(parameters).chain(waitMs =>
        parseSubmission(incoming.body).map(submission =>
          reply({
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

function readFetch(
  name: string,
  incoming: RawCall,
  parameters: URLSearchParams,
  call: event.CallNumber,
): Checked<event.CallEvent> {
  return readOwner(name, incoming, parameters).chain(owner =>
    readWait(parameters).map(waitMs => ({
      kind: 'fetchArrived' as const,
      call,
      ...owner,
      waitMs,
    })),
  );
}

function readOwner(
  name: string,
  incoming: RawCall,
  parameters: URLSearchParams,
): Checked<{readonly client: string; readonly identity: string}> {
  return readClient(incoming).chain(client =>
    readWait(parameters).chain(() =>
      readIdentity(name).map(identity => ({client, identity})),
    ),
  );
}

function readPublication(
  name: string,
  incoming: RawCall,
  call: event.CallNumber,
): Checked<ParsedCall> {
  return readDocumentName(name).chain(document =>
    readBaseVersion(incoming.ifMatch).chain(baseVersion =>
      readHeaderName('x-publication', incoming.publication).map(publication =>
        reply({
          kind: 'publishArrived',
          call,
          document,
          baseVersion,
          content: incoming.body,
          publication,
        }),
      ),
    ),
  );
}

function readDrain(
  incoming: RawCall,
  call: event.CallNumber,
): Checked<ParsedCall> {
  return readJson(incoming.body === '' ? '{}' : incoming.body)
    .chain(raw => fieldChecks.rejectUnknown(raw, ['worker']))
    .chain(raw =>
      readOptional(raw['worker'], value =>
        fieldChecks.checkText('worker', value, 1, LONGEST_NAME),
      ),
    )
    .map(worker =>
      reply({
        kind: 'drainArrived',
        call,
        ...(worker === undefined ? {} : {worker}),
      }),
    );
}

function readClient(incoming: RawCall): Checked<string> {
  return readHeaderName('x-client', incoming.client);
}

function readHeaderName(
  header: string,
  value: string | undefined,
): Checked<string> {
  return fieldChecks.checkText(header, value, 1, LONGEST_NAME);
}

function readBaseVersion(ifMatch: string | undefined): Checked<number> {
  if (ifMatch === undefined) return either.Right(0);
  const match = /^"?(\d{1,15})"?$/.exec(ifMatch);
  if (match !== null) return either.Right(Number(match[1]));
  return fieldChecks.fieldFailure(
    'if-match',
    ifMatch,
    'must be the version of the document, or 0 for a new one',
  );
}

function readWait(parameters: URLSearchParams): Checked<number> {
  const text = parameters.get('wait');
  if (text === null) return either.Right(0);
  const seconds = Number(text);
  const valid = /^\d+(\.\d+)?$/.test(text) && seconds <= MAX_WAIT_SECONDS;
  if (valid) return either.Right(seconds * 1_000);
  return fieldChecks.fieldFailure(
    'wait',
    text,
    `must be a number of seconds from 0 to ${MAX_WAIT_SECONDS}`,
  );
}

function readSize(value: unknown): Checked<resources.Resources> {
  const known = ['processors', 'memory', 'accelerators', 'slots'];
  return fieldChecks
    .checkObject('size', value)
    .chain(raw => fieldChecks.rejectUnknown(raw, known, 'size.'))
    .chain(raw => {
      for (const key of known) {
        const checked = fieldChecks.checkInteger(
          `size.${key}`,
          raw[key],
          0,
          LARGEST_SIZE,
        );
        if (checked.isLeft()) return either.Left(checked.extract());
      }
      return either.Right(raw as unknown as resources.Resources);
    });
}

function readName(field: string, encoded: string): Checked<string> {
  const decoded = either.Either.encase(() => decodeURIComponent(encoded));
  if (decoded.isRight()) return either.Right(decoded.extract());
  return fieldChecks.fieldFailure(
    field,
    encoded,
    'is not valid percent-encoding',
  );
}

function readIdentity(name: string): Checked<string> {
  if (/^[\w.-]+$/.test(name) && name.length <= LONGEST_IDENTITY) {
    return either.Right(name);
  }
  return either.Left(
    result.failure(
      'unknownIdentity',
      `identity: ${JSON.stringify(name.slice(0, 60))}: must be one that was issued`,
    ),
  );
}

function readDocumentName(name: string): Checked<string> {
  if (/^[a-z0-9][a-z0-9/-]{0,99}$/.test(name)) return either.Right(name);
  return fieldChecks.fieldFailure(
    'document',
    name,
    'must be 1 to 100 small letters, digits, hyphens and slashes',
  );
}

function readJson(body: string): Checked<fieldChecks.RawObject> {
  const parsed = jsonBody.parseJsonObject(body);
  if (parsed !== undefined) return either.Right(parsed);
  return either.Left(
    result.failure('invalidBody', 'body: must be a JSON object'),
  );
}

function readOptional<Raw, Value>(
  value: Raw | undefined,
  read: (value: Raw) => Checked<Value>,
): Checked<Value | undefined> {
  return value === undefined ? either.Right(undefined) : read(value);
}

function unknownPath(incoming: RawCall): Checked<ParsedCall> {
  const shown = `${incoming.method} ${incoming.target}`.slice(0, 120);
  return either.Left(
    result.failure('unknownPath', `path: ${shown}: no such call`),
  );
}

function reply(read: event.CallEvent): ParsedCall {
  return {form: 'reply', event: read};
}

function splitTarget(target: string): ReadonlyArray<string> {
  const position = target.indexOf('?');
  if (position < 0) return [target];
  return [target.slice(0, position), target.slice(position + 1)];
}
