/** One measured figure. */
export interface BenchRow {
  readonly name: string;
  readonly figure: number;
  readonly unit: string;
  readonly seed: number;
  /** Empty where no goal is stated. */
  readonly goal: string;
  /** Figure of the plain baseline; empty where there is none. */
  readonly baseline: string;
}
