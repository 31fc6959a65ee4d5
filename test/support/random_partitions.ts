import * as randomSource from '../../src/machines/random_source.js';
import * as runAudit from './run_audit.js';
import * as workingCell from './working_cell.js';
import type * as simulatedCell from './simulated_cell.js';

const ROUND_COUNT = 3;

/** Range of the duration of a partition. */
const MINIMUM_PARTITION_MS = 1_000;
const PARTITION_RANGE_MS = 14_000;

/** One of this number of partitions lasts longer than any wait. */
const LONG_PARTITION_ODDS = 6;
const LONG_PARTITION_MS = 32_000;

/** Longest time for which a process is paused. */
const MAXIMUM_PAUSE_MS = 6_000;

/** Range of the time without a partition. */
const CALM_RANGE_MS = 6_000;

/** Time without faults in which all accepted jobs have to end. */
const RECOVERY_MS = 40_000;

/** Range of the duration of a run. */
const MINIMUM_RUN_MS = 400;
const RUN_RANGE_MS = 5_000;

/** Jobs within one run's duration: half of what four workers can carry. */
const JOBS_PER_RUN_TIME = 4;

/** Result of one simulation. */
export interface PartitionOutcome {
  readonly violations: ReadonlyArray<string>;
  readonly acceptedCount: number;
}

/**
 * Simulates a cell that takes jobs while members and workers are divided at
 * random, the store answers one side, both or none, and processes are paused
 * or killed.
 */
export class RandomPartitions {
  private readonly random: randomSource.SeededRandom;
  private cell!: simulatedCell.SimulatedCell;
  private jobIntervalMs = 0;
  private readonly accepted: Array<ReadonlySet<string>> = [];

  constructor(private readonly seed: number) {
    this.random = new randomSource.SeededRandom(seed);
  }

  /** Runs the simulation to its end. */
  async run(): Promise<PartitionOutcome> {
    const runTimeMs = MINIMUM_RUN_MS + this.random.below(RUN_RANGE_MS);
    this.jobIntervalMs = runTimeMs / JOBS_PER_RUN_TIME;
    this.cell = await workingCell.startCell(this.seed, runTimeMs);
    for (let round = 0; round < ROUND_COUNT; round += 1) {
      await this.submitFor(500 + this.random.below(CALM_RANGE_MS));
      this.divide();
      this.disturbProcess();
      await this.submitFor(this.partitionDuration());
      this.cell.heal();
    }
    await this.cell.time.advance(RECOVERY_MS);
    const ids = new Set(this.accepted.flatMap(set => [...set]));
    return {
      violations: [
        ...runAudit.findRepeatedRuns(this.cell.workers),
        ...runAudit.findUnfinished(this.cell.workers, ids),
      ],
      acceptedCount: ids.size,
    };
  }

  private async submitFor(durationMs: number): Promise<void> {
    const {cell, jobIntervalMs} = this;
    this.accepted.push(
      await workingCell.submitJobs(cell, durationMs, jobIntervalMs),
    );
  }

  private partitionDuration(): number {
    if (this.random.below(LONG_PARTITION_ODDS) === 0) return LONG_PARTITION_MS;
    return MINIMUM_PARTITION_MS + this.random.below(PARTITION_RANGE_MS);
  }

  private divide(): void {
    const {cell, random} = this;
    const byZone = random.below(2) === 0;
    const {zone} = cell.leader().self;
    const members = cell.members.filter(({self}) =>
      byZone ? self.zone === zone : random.below(2) === 0,
    );
    const workers = cell.workerEntries.filter(() => random.below(2) === 0);
    const addresses = [
      ...members.map(({self}) => self.address),
      ...workers.map(({address}) => address),
    ];
    const sides = [
      {main: true, cutOff: false},
      {main: true, cutOff: false},
      {main: true, cutOff: true},
      {main: false, cutOff: false},
    ];
    cell.partition(addresses, sides[random.below(sides.length)]);
  }

  /** Pauses the leader or restarts a member, now and then. */
  private disturbProcess(): void {
    const {cell, random} = this;
    const index = random.below(cell.members.length);
    switch (random.below(4)) {
      case 0:
        cell.leader().block(random.below(MAXIMUM_PAUSE_MS));
        return;
      case 1:
        cell.members[index].kill();
        cell.addMember(index);
        return;
      default:
    }
  }
}
