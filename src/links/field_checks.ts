import * as either from 'purify-ts/Either';
import * as result from '../result.js';

/** An object sent by a caller, before any check. */
export type RawObject = Readonly<Record<string, unknown>>;

/** A checked value, or the failure with its result code. */
export type Checked<Value> = either.Either<result.Failure, Value>;

/** Maximum characters of an invalid value that an error quotes. */
const MAXIMUM_QUOTED_LENGTH = 60;

/** Returns the failure that names a field, its value and the broken rule. */
export function fieldFailure<Value>(
  field: string,
  value: unknown,
  rule: string,
): Checked<Value> {
  const shown = value === undefined ? 'missing' : quote(value);
  return either.Left(
    result.failure('invalidField', `${field}: ${shown}: ${rule}`),
  );
}

/** Rejects an object with a field that is not in `known`. */
export function rejectUnknownFields(
  raw: RawObject,
  known: ReadonlyArray<string>,
  prefix = '',
): Checked<RawObject> {
  const unknownKey = Object.keys(raw).find(key => !known.includes(key));
  if (unknownKey === undefined) return either.Right(raw);
  return fieldFailure(
    prefix + quoteKey(unknownKey),
    raw[unknownKey],
    `is not a known field; known are ${known.join(', ')}`,
  );
}

/** Checks that a value is a string within the length bounds, inclusive. */
export function checkText(
  field: string,
  value: unknown,
  minimumLength: number,
  maximumLength: number,
): Checked<string> {
  const valid =
    typeof value === 'string' &&
    value.length >= minimumLength &&
    value.length <= maximumLength;
  if (valid) return either.Right(value);
  return fieldFailure(
    field,
    value,
    `must be a string of ${minimumLength} to ${maximumLength} characters`,
  );
}

/** Checks that a value is an integer within the bounds, inclusive. */
export function checkInteger(
  field: string,
  value: unknown,
  minimum: number,
  maximum: number,
): Checked<number> {
  const valid =
    Number.isInteger(value) &&
    (value as number) >= minimum &&
    (value as number) <= maximum;
  if (valid) return either.Right(value as number);
  return fieldFailure(
    field,
    value,
    `must be a whole number from ${minimum} to ${maximum}`,
  );
}

/** Checks that a value is an object, not an array or null. */
export function checkObject(field: string, value: unknown): Checked<RawObject> {
  const valid =
    typeof value === 'object' && value !== null && !Array.isArray(value);
  if (valid) return either.Right(value as RawObject);
  return fieldFailure(field, value, 'must be an object');
}

function quote(value: unknown): string {
  const text = JSON.stringify(value) ?? String(value);
  if (text.length <= MAXIMUM_QUOTED_LENGTH) return text;
  return `${text.slice(0, MAXIMUM_QUOTED_LENGTH)}...`;
}

function quoteKey(key: string): string {
  return /^\w{1,40}$/.test(key) ? key : quote(key);
}
