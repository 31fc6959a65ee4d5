import * as either from 'purify-ts/Either';
import * as result from '../result.js';

/** What a caller sent, before any check. */
export type RawObject = Readonly<Record<string, unknown>>;

/** A checked value or the numbered error. */
export type Checked<Value> = either.Either<result.Failure, Value>;

/** Longest part of a wrong value that an error quotes. */
const QUOTED_LENGTH = 60;

/** Builds the error that names a field, its value and the rule. */
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

/** Refuses an object with a field that is not in `known`. */
export function rejectUnknown(
  raw: RawObject,
  known: ReadonlyArray<string>,
  prefix = '',
): Checked<RawObject> {
  const extra = Object.keys(raw).find(key => !known.includes(key));
  if (extra === undefined) return either.Right(raw);
  return fieldFailure(
    prefix + quoteKey(extra),
    raw[extra],
    `is not a known field; known are ${known.join(', ')}`,
  );
}

/** Checks a string whose length lies between both bounds. */
export function checkText(
  field: string,
  value: unknown,
  shortest: number,
  longest: number,
): Checked<string> {
  const valid =
    typeof value === 'string' &&
    value.length >= shortest &&
    value.length <= longest;
  if (valid) return either.Right(value);
  return fieldFailure(
    field,
    value,
    `must be a string of ${shortest} to ${longest} characters`,
  );
}

/** Checks a whole number that lies between both bounds. */
export function checkInteger(
  field: string,
  value: unknown,
  least: number,
  greatest: number,
): Checked<number> {
  const valid =
    Number.isInteger(value) &&
    (value as number) >= least &&
    (value as number) <= greatest;
  if (valid) return either.Right(value as number);
  return fieldFailure(
    field,
    value,
    `must be a whole number from ${least} to ${greatest}`,
  );
}

/** Checks that a value is an object. */
export function checkObject(field: string, value: unknown): Checked<RawObject> {
  const valid =
    typeof value === 'object' && value !== null && !Array.isArray(value);
  if (valid) return either.Right(value as RawObject);
  return fieldFailure(field, value, 'must be an object');
}

function quote(value: unknown): string {
  const text = JSON.stringify(value) ?? String(value);
  if (text.length <= QUOTED_LENGTH) return text;
  return `${text.slice(0, QUOTED_LENGTH)}...`;
}

function quoteKey(key: string): string {
  return /^\w{1,40}$/.test(key) ? key : quote(key);
}
