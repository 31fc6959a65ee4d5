import * as resources from '../machines/resources.js';
import type * as clock from '../machines/clock.js';
import type * as task from './task.js';

/** Ended tasks of a workload before learned sizes replace declared ones. */
export const SAMPLES_NEEDED = 5;

/** Standard deviations above the mean that a reservation covers. */
const DEVIATIONS = 3;

/** Newest peaks that a reservation never falls below. */
const RECENT_PEAKS = 20;

/** Weight of the newest run time in the running mean. */
const RUN_TIME_WEIGHT = 0.1;

/** Only these are measured; slots and accelerators are taken whole. */
const MEASURED = ['processors', 'memory'] as const;

type Measured = (typeof MEASURED)[number];

/** Running mean and variance of one dimension's per-task peaks. */
class PeakStatistics {
  private count = 0;
  private mean = 0;
  private squares = 0;
  private readonly recent: number[] = [];
  private reservationValue = 0;

  /** Room for a further task: mean plus margin, at least each recent peak. */
  get reservation(): number {
    return this.reservationValue;
  }

  add(peak: number): void {
    this.count += 1;
    const difference = peak - this.mean;
    this.mean += difference / this.count;
    this.squares += difference * (peak - this.mean);
    this.recent.push(peak);
    if (this.recent.length > RECENT_PEAKS) this.recent.shift();
    const deviation = Math.sqrt(this.squares / Math.max(1, this.count - 1));
    const margin = this.mean + DEVIATIONS * deviation;
    this.reservationValue = Math.ceil(Math.max(margin, ...this.recent));
  }
}

interface WorkloadStatistics {
  readonly peaks: Readonly<Record<Measured, PeakStatistics>>;
  samples: number;
  runTimeMs: number;
}

/** Learns what the tasks of each workload use from the workers' reports. */
export class UsageEstimator {
  private readonly workloads = new Map<string, WorkloadStatistics>();
  private readonly running = new Map<string, resources.Resources>();

  /** Notes a measurement of a running task. */
  observe(report: task.TaskReport): void {
    const known = this.running.get(report.task) ?? resources.NONE;
    if (resources.fits(report.usage, known)) return;
    this.running.set(report.task, resources.maximum(known, report.usage));
  }

  /** Notes the end of a task; one that was never measured teaches nothing. */
  ended(
    taskName: string,
    label: task.TaskLabel,
    ranMs: clock.Milliseconds,
  ): void {
    const peak = this.running.get(taskName);
    this.running.delete(taskName);
    if (peak === undefined) return;
    const known = this.statisticsOf(label.team, label.workload);
    for (const dimension of MEASURED) {
      known.peaks[dimension].add(peak[dimension]);
    }
    known.samples += 1;
    const weight = known.samples === 1 ? 1 : RUN_TIME_WEIGHT;
    known.runTimeMs += weight * (ranMs - known.runTimeMs);
  }

  /** Forgets a task whose measurements tell nothing. */
  forget(taskName: string): void {
    this.running.delete(taskName);
  }

  /** What a task of a workload is to reserve. */
  reservation(
    team: string,
    workload: string,
    declared: resources.Resources,
  ): resources.Resources {
    const known = this.workloads.get(`${team}/${workload}`);
    if (known === undefined || known.samples < SAMPLES_NEEDED) return declared;
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
    const known = this.workloads.get(key);
    if (known !== undefined) return known;
    const created: WorkloadStatistics = {
      peaks: {processors: new PeakStatistics(), memory: new PeakStatistics()},
      samples: 0,
      runTimeMs: 0,
    };
    this.workloads.set(key, created);
    return created;
  }
}
