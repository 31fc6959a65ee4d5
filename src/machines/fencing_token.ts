/** Number of tokens of one term, which bounds the incarnations of one worker. */
const TOKENS_PER_TERM = 1_000;

/**
 * Returns the fencing token of all commands that a term means for one
 * incarnation of a worker. It rises with each incarnation that the term knows
 * under the worker's id, and over terms. The first call that reaches an
 * incarnation therefore fences all commands that were meant for earlier ones,
 * which may still arrive under the same id and address.
 */
export function fencingTokenOf(term: number, incarnation: number): number {
  return term * TOKENS_PER_TERM + Math.min(incarnation, TOKENS_PER_TERM - 1);
}
