import type * as clock from './clock.js';

/** A worker, and what its answers tell of the term that this process leads. */
export interface Witness {
  readonly id: string;
  readonly zone: string;
  /** When this incarnation first accepted its fencing token of the term. */
  readonly tokenAcceptedAt: clock.Milliseconds | undefined;
  /** When the last call was sent in which it accepted that token. */
  readonly tokenAskedAt: clock.Milliseconds;
  /** Whether tasks may be started there, regardless of capacity. */
  readonly acceptsTasks: boolean;
}

/** The workers that the leader's term knows. */
export interface WitnessSource {
  get(id: string): Witness | undefined;
  all(): ReadonlyArray<Witness>;
}
