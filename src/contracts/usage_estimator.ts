import * as resources from '../machines/resources.js';
import type * as clock from '../machines/clock.js';
import type * as task from './task.js';

/** Finished tasks of a workload before learned sizes replace declared ones. */
export const MINIMUM_SAMPLE_COUNT = 5;

/** Standard deviations above the mean that a reservation covers. */
const COVERED_STANDARD_DEVIATIONS = 3;

/** Number of newest peaks that a reservation never falls below. */
const RECENT_PEAK_COUNT = 20;

/** Weight of the newest run time in the moving average. */
const RUN_TIME_SMOOTHING_FACTOR = 0.1;

/** Dimensions that are measured; slots and accelerators are reserved whole. */
const MEASURED_DIMENSIONS = ['processors', 'memory'] as const;

type MeasuredDimension = (typeof MEASURED_DIMENSIONS)[number];

/** Running mean and variance of the per-task peak usage of one dimension. */
class PeakStatistics {
  private count = 0;
  private mean = 0;
  private squaredDeviationSum = 0;
  private readonly recentPeaks: number[] = [];
  private reservationSizeValue = 0;

  /** Size for a further task: mean plus margin, at least each recent peak. */
  get reservationSize(): number {
    return this.reservationSizeValue;
  }

  add(peak: number): void {
    this.count += 1;
    const difference = peak - this.mean;
    this.mean += difference / this.count;
    this.squaredDeviationSum += difference * (peak - this.mean);
    this.recentPeaks.push(peak);
    if (this.recentPeaks.length > RECENT_PEAK_COUNT) this.recentPeaks.shift();
    const deviation = Math.sqrt(
      this.squaredDeviationSum / Math.max(1, this.count - 1),
    );
    const upperEstimate = this.mean + COVERED_STANDARD_DEVIATIONS * deviation;
    this.reservationSizeValue = Math.ceil(
      Math.max(upperEstimate, ...this.recentPeaks),
    );
  }
}

interface WorkloadStatistics {
  readonly peaks: Readonly<Record<MeasuredDimension, PeakStatistics>>;
  sampleCount: number;
  runTimeMs: number;
}

/** Estimates the size and run time of each workload from its finished tasks. */
export class UsageEstimator {
  private readonly workloads = new Map<string, WorkloadStatistics>();
  private readonly peakUsageByTask = new Map<string, resources.Resources>();

  /** Records the measured usage of a running task. */
  recordUsage(report: task.TaskReport): void {
    const peakUsage = this.peakUsageByTask.get(report.task) ?? resources.NONE;
    if (resources.fits(report.usage, peakUsage)) return;
    this.peakUsageByTask.set(
      report.task,
      resources.maximum(peakUsage, report.usage),
    );
  }

  /** Records that a task finished; ignores a task that was never measured. */
  recordEnd(
    taskName: string,
    label: task.TaskLabel,
    runTimeMs: clock.Milliseconds,
  ): void {
    const peakUsage = this.peakUsageByTask.get(taskName);
    this.peakUsageByTask.delete(taskName);
    if (peakUsage === undefined) return;
    const statistics = this.statisticsOf(label.team, label.workload);
    for (const dimension of MEASURED_DIMENSIONS) {
      statistics.peaks[dimension].add(peakUsage[dimension]);
    }
    statistics.sampleCount += 1;
    const weight = statistics.sampleCount === 1 ? 1 : RUN_TIME_SMOOTHING_FACTOR;
    statistics.runTimeMs += weight * (runTimeMs - statistics.runTimeMs);
  }

  /** Discards the measurements of a task that did not finish. */
  discard(taskName: string): void {
    this.peakUsageByTask.delete(taskName);
  }

  /** Returns the size that a task of a workload reserves. */
  reservationSize(
    team: string,
    workload: string,
    declared: resources.Resources,
  ): resources.Resources {
    const statistics = this.workloads.get(`${team}/${workload}`);
    if (
      statistics === undefined ||
      statistics.sampleCount < MINIMUM_SAMPLE_COUNT
    ) {
      return declared;
    }
    return {
      ...declared,
      processors: statistics.peaks.processors.reservationSize,
      memory: statistics.peaks.memory.reservationSize,
    };
  }

  /** Returns the mean run time; undefined before the first sample. */
  runTimeMs(team: string, workload: string): clock.Milliseconds | undefined {
    return this.workloads.get(`${team}/${workload}`)?.runTimeMs;
  }

  private statisticsOf(team: string, workload: string): WorkloadStatistics {
    const key = `${team}/${workload}`;
    const existing = this.workloads.get(key);
    if (existing !== undefined) return existing;
    const created: WorkloadStatistics = {
      peaks: {processors: new PeakStatistics(), memory: new PeakStatistics()},
      sampleCount: 0,
      runTimeMs: 0,
    };
    this.workloads.set(key, created);
    return created;
  }
}
