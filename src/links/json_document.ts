import * as purify from 'purify-ts';

/** Encodes a value as UTF-8 JSON. */
export function encode(value: unknown): Uint8Array {
  return Buffer.from(JSON.stringify(value), 'utf8');
}

/** Decodes UTF-8 JSON written by this system; does not check the type. */
export function decode<Value>(bytes: Uint8Array): purify.Maybe<Value> {
  return purify.Either.encase(
    () => JSON.parse(Buffer.from(bytes).toString('utf8')) as Value,
  ).toMaybe();
}
