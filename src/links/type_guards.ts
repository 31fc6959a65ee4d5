import type * as resources from '../machines/resources.js';

/** Returns whether a value is an object, but not an array or null. */
export function isObject(
  value: unknown,
): value is Readonly<Record<string, unknown>> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/** Returns whether a value is a finite number of at least 0. */
export function isNonNegativeNumber(value: unknown): value is number {
  return typeof value === 'number' && Number.isFinite(value) && value >= 0;
}

/** Returns whether a value is a safe integer of at least 0. */
export function isNonNegativeInteger(value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}

/** Returns whether a value is a string of at least one character. */
export function isNonEmptyString(value: unknown): value is string {
  return typeof value === 'string' && value !== '';
}

/** Returns whether a value is a host and a port that can be called. */
export function isAddress(value: unknown): value is string {
  if (typeof value !== 'string') return false;
  const port = /^[a-z0-9.-]+:([0-9]{1,5})$/i.exec(value)?.[1];
  return Number(port) >= 1 && URL.canParse(`http://${value}`);
}

/** Returns whether a value has a valid quantity of each resource. */
export function isResources(value: unknown): value is resources.Resources {
  return (
    isObject(value) &&
    isNonNegativeNumber(value['processors']) &&
    isNonNegativeNumber(value['memory']) &&
    isNonNegativeNumber(value['accelerators']) &&
    isNonNegativeNumber(value['slots'])
  );
}
