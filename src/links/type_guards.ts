import type * as resources from '../machines/resources.js';

/** Tells whether a value is an object with fields. */
export function isObject(
  value: unknown,
): value is Readonly<Record<string, unknown>> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/** Tells whether a value is a number that is finite and not negative. */
export function isNonNegativeNumber(value: unknown): value is number {
  return typeof value === 'number' && Number.isFinite(value) && value >= 0;
}

/** Tells whether a value is a whole number that is not negative. */
export function isNonNegativeInteger(value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}

/** Tells whether a value is a string with at least one character. */
export function isNonEmptyString(value: unknown): value is string {
  return typeof value === 'string' && value !== '';
}

/** Tells whether a value is a quantity in every dimension. */
export function isResources(value: unknown): value is resources.Resources {
  return (
    isObject(value) &&
    isNonNegativeNumber(value['processors']) &&
    isNonNegativeNumber(value['memory']) &&
    isNonNegativeNumber(value['accelerators']) &&
    isNonNegativeNumber(value['slots'])
  );
}
