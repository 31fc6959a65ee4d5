/** Steps after which a queue's own experience counts. */
const MINIMUM_SAMPLES = 8;

/** Estimates below this are noise; the logarithm needs a positive number. */
const MINIMUM_RUNTIME_MS = 10;

/** Sums of a linear regression. */
interface RegressionSums {
  count: number;
  sumX: number;
  sumY: number;
  sumXX: number;
  sumXY: number;
}

/**
 * Predicts how long tasks take from their submitters' estimates and from how
 * long earlier tasks of the queue took. Logarithms are regressed, so that an
 * estimate counts as much as the queue's estimates have proved to be worth.
 */
export class RuntimeModel {
  private readonly queues = new Map<string, RegressionSums>();

  /** A task took `actualMs` where `estimatedMs` was estimated. */
  observe(queue: string, estimatedMs: number, actualMs: number): void {
    const sums = this.queues.get(queue) ?? emptySums();
    this.queues.set(queue, sums);
    const x = logarithm(estimatedMs);
    const y = logarithm(actualMs);
    sums.count += 1;
    sums.sumX += x;
    sums.sumY += y;
    sums.sumXX += x * x;
    sums.sumXY += x * y;
  }

  /** Returns the expected runtime; the estimate while little is known. */
  predict(queue: string, estimatedMs: number): number {
    const sums = this.queues.get(queue);
    if (sums === undefined || sums.count < MINIMUM_SAMPLES) return estimatedMs;
    const meanX = sums.sumX / sums.count;
    const meanY = sums.sumY / sums.count;
    const variance = sums.sumXX / sums.count - meanX * meanX;
    const covariance = sums.sumXY / sums.count - meanX * meanY;
    const slope = variance > 0 ? clampSlope(covariance / variance) : 0;
    return Math.exp(meanY + slope * (logarithm(estimatedMs) - meanX));
  }
}

function emptySums(): RegressionSums {
  return {count: 0, sumX: 0, sumY: 0, sumXX: 0, sumXY: 0};
}

function logarithm(milliseconds: number): number {
  return Math.log(Math.max(milliseconds, MINIMUM_RUNTIME_MS));
}

/** A longer estimate never means a shorter task, nor more than its share. */
function clampSlope(slope: number): number {
  return Math.min(1, Math.max(0, slope));
}
