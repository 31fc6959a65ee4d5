/** Minimum number of completed steps before a queue's statistics are used. */
const MINIMUM_SAMPLES = 8;

/** Shorter times are noise; also keeps the logarithm's argument positive. */
const MINIMUM_RUNTIME_MS = 10;

/** Running sums of a linear regression. */
interface RegressionSums {
  count: number;
  sumX: number;
  sumY: number;
  sumXX: number;
  sumXY: number;
}

/**
 * Predicts task runtimes with a linear regression of actual on estimated
 * runtimes for each queue. The regression uses logarithms, so that an estimate
 * weighs as much as the queue's estimates have proved to be accurate.
 */
export class RuntimeModel {
  private readonly queues = new Map<string, RegressionSums>();

  /** Records an actual runtime and the estimate for it. */
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

  /** Returns the expected runtime; the estimate while samples are too few. */
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

/**
 * Limits the slope so that a longer estimate neither shortens the prediction
 * nor lengthens it more than in proportion.
 */
function clampSlope(slope: number): number {
  return Math.min(1, Math.max(0, slope));
}
