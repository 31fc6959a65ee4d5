const FNV_OFFSET_BASIS = 0x811c9dc5;

/** Factor of the FNV-1a hash, also for mixing its result further. */
export const FNV_PRIME = 0x01000193;

/** Returns the FNV-1a hash of a text, a whole number below 2 ** 32. */
export function hashOf(text: string): number {
  let hash = FNV_OFFSET_BASIS;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  return hash >>> 0;
}
