import * as purify from 'purify-ts';

/** Encodes a value as UTF-8 JSON. */
export function encode(value: unknown): Uint8Array {
  return Buffer.from(JSON.stringify(value), 'utf8');
}

/** Decodes UTF-8 JSON; returns Nothing unless the value passes the check. */
export function decode<Value>(
  bytes: Uint8Array,
  isValid: (value: unknown) => value is Value,
): purify.Maybe<Value> {
  return parse(bytes).filter(isValid);
}

/** Parses UTF-8 JSON of any type. */
export function parse(bytes: Uint8Array): purify.Maybe<unknown> {
  return purify.Either.encase(
    () => JSON.parse(Buffer.from(bytes).toString('utf8')) as unknown,
  ).toMaybe();
}
