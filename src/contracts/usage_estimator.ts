import * as resources from '../machines/resources.js';
import type * as clock from '../machines/clock.js';
import type * as task from './task.js';

/** Ended tasks of a workload before learned sizes replace declared ones. */
export const MINIMUM_SAMPLE_COUNT = 5;

/** Standard deviations above the mean that a reservation covers. */
const COVERED_STANDARD_DEVIATIONS = 3;

/** Newest peaks that a reservation never falls below. */
const RECENT_PEAK_COUNT = 20;

/** Weight of the newest run time in the running mean. */
const RUN_TIME_SMOOTHING_FACTOR = 0.1;

/** Only these are measured; slots and accelerators are taken whole. */
const MEASURED_DIMENSIONS = ['processors', 'memory'] as const;

type MeasuredDimension = (typeof MEASURED_DIMENSIONS)[number];

/** Running mean and variance of one dimension's per-task peaks. */
class PeakStatistics {
  private count = 0;
  private mean = 0;
  private squaredDeviationSum = 0;
  private readonly recentPeaks: number[] = [];
  private reservationValue = 0;

  /** Room for a further task: mean plus margin, at least each recent peak. */
  get reservation(): number {
    return this.reservationValue;
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
    this.reservationValue = Math.ceil(
      Math.max(upperEstimate, ...this.recentPeaks),
    );
  }
}

interface WorkloadStatistics {
  readonly peaks: Readonly<Record<MeasuredDimension, PeakStatistics>>;
  sampleCount: number;
  runTimeMs: number;
}

/** Learns what the tasks of each workload use from the workers' reports. */
export class UsageEstimator {
  private readonly workloads = new Map<string, WorkloadStatistics>();
  private readonly peakUsageByTask = new Map<string, resources.Resources>();

  /** Notes a measurement of a running task. */
  recordUsage(report: task.TaskReport): void {
    const known = this.peakUsageByTask.get(report.task) ?? resources.NONE;
    if (resources.fits(report.usage, known)) return;
    this.peakUsageByTask.set(
      report.task,
      resources.maximum(known, report.usage),
    );
  }

  /** Notes the end of a task; one that was never measured teaches nothing. */
  recordEnd(
    taskName: string,
    label: task.TaskLabel,
    ranMs: clock.Milliseconds,
  ): void {
    const peak = this.peakUsageByTask.get(taskName);
    this.peakUsageByTask.delete(taskName);
    if (peak === undefined) return;
    const known = this.statisticsOf(label.team, label.workload);
    for (const dimension of MEASURED_DIMENSIONS) {
      known.peaks[dimension].add(peak[dimension]);
    }
    known.sampleCount += 1;
    const weight = known.sampleCount === 1 ? 1 : RUN_TIME_SMOOTHING_FACTOR;
    known.runTimeMs += weight * (ranMs - known.runTimeMs);
  }

  /** Forgets a task whose measurements tell nothing. */
  forget(taskName: string): void {
    this.peakUsageByTask.delete(taskName);
  }

  /** What a task of a workload is to reserve. */
  reservation(
    team: string,
    workload: string,
    declared: resources.Resources,
  ): resources.Resources {
    const known = this.workloads.get(`${team}/${workload}`);
    if (known === undefined || known.sampleCount < MINIMUM_SAMPLE_COUNT) {
      return declared;
    }
    return {
      ...declared,
      processors: known.peaks.processors.reservation,
      memory: known.peaks.memory.reservation,
    };
  }

  /** Mean run time of a workload; undefined before the first sample. */
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
