/** One measured figure, as the results file stores it. */
export interface BenchRow {
  readonly name: string;
  readonly figure: number;
  readonly unit: string;
  readonly seed: number;
  /** Empty if there is no goal. */
  readonly goal: string;
  /** Figure of the baseline scheduler; empty if there is none. */
  readonly baseline: string;
}
