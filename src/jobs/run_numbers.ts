/** Number of run numbers reserved for each term. */
const RUN_NUMBERS_PER_TERM = 64;

/**
 * Returns the lowest run number that a term uses for tasks of earlier terms,
 * which may have had runs that it does not know.
 */
export function firstRunOfTerm(term: number): number {
  return term * RUN_NUMBERS_PER_TERM;
}

/**
 * Returns the term that a run's number tells; undefined for a job that was
 * submitted in the term that started the run.
 */
export function termOfRun(run: number): number | undefined {
  const term = Math.floor(run / RUN_NUMBERS_PER_TERM);
  return term > 0 ? term : undefined;
}
