/** Arrivals of one rank; see `step_ordering.ts`. */
export interface RankShare {
  readonly rank: number;
  /** Share of this rank in all recent arrivals, above 0. */
  readonly share: number;
}

/** Number of newest scores kept for each rank. */
const KEPT_SCORES = 128;

/** Factor on the weight of arrivals after each interval. */
const AGING_FACTOR = 0.7;

/** Weight below which a rank counts as not arriving any more. */
const MINIMUM_WEIGHT = 0.05;

interface Arrivals {
  weight: number;
  readonly scores: number[];
  nextIndex: number;
}

/** Scores of the jobs that arrived lately, by their rank. */
export class RecentArrivals {
  private readonly byRank = new Map<number, Arrivals>();

  record(rank: number, score: number): void {
    let arrivals = this.byRank.get(rank);
    if (arrivals === undefined) {
      arrivals = {weight: 0, scores: [], nextIndex: 0};
      this.byRank.set(rank, arrivals);
    }
    arrivals.weight += 1;
    arrivals.scores[arrivals.nextIndex] = score;
    arrivals.nextIndex = (arrivals.nextIndex + 1) % KEPT_SCORES;
  }

  /** Reduces the weight of earlier arrivals; called after each interval. */
  age(): void {
    for (const [rank, arrivals] of this.byRank) {
      arrivals.weight *= AGING_FACTOR;
      if (arrivals.weight < MINIMUM_WEIGHT) this.byRank.delete(rank);
    }
  }

  leastUrgentFirst(): ReadonlyArray<RankShare> {
    let total = 0;
    for (const {weight} of this.byRank.values()) total += weight;
    return [...this.byRank]
      .map(([rank, {weight}]) => ({rank, share: weight / total}))
      .sort((left, right) => right.rank - left.rank);
  }

  /** Returns the score below which a share of a rank's jobs lies. */
  scoreAt(rank: number, share: number): number {
    const scores = this.byRank.get(rank)?.scores ?? [];
    const sorted = [...scores].sort((left, right) => left - right);
    const index = Math.floor(share * sorted.length);
    return sorted[Math.min(index, sorted.length - 1)] ?? -Infinity;
  }
}
