import * as randomSource from '../../src/machines/random_source.js';
import * as runAudit from './run_audit.js';
import * as workingCell from './working_cell.js';
import type * as simulatedCell from './simulated_cell.js';
import type * as simulatedMember from './simulated_member.js';

const ROUND_COUNT = 2;

/** Most cuts that follow one another in a round, without a pause. */
const MAXIMUM_CUTS = 4;

/** Range of the duration of a cut. */
const MINIMUM_CUT_MS = 800;
const CUT_RANGE_MS = 11_000;

/** One of this number of cuts lasts longer than any wait. */
const LONG_CUT_ODDS = 8;
const LONG_CUT_MS = 30_000;

/** Longest time for which a process is paused or its VM is suspended. */
const MAXIMUM_PAUSE_MS = 6_000;

/** Range of the time between two rounds. */
const CALM_RANGE_MS = 4_000;

/** Time without faults in which all accepted jobs have to end. */
const RECOVERY_MS = 40_000;

/** Range of the duration of a run. */
const MINIMUM_RUN_MS = 400;
const RUN_RANGE_MS = 8_000;

/** Jobs within one run's duration: half of what four workers can carry. */
const JOBS_PER_RUN_TIME = 4;

/** Range of the number of members at the start. */
const MINIMUM_MEMBER_COUNT = 3;
const MEMBER_RANGE = 7;

/** Most members that join, and that are gone for good. */
const MAXIMUM_JOINED_COUNT = 4;
const MAXIMUM_GONE_COUNT = 2;

/** Half of the largest difference between the rates of two clocks. */
const LARGEST_DRIFT = 0.01;

/** Result of one simulation. */
export interface MovingCutsOutcome {
  readonly violations: ReadonlyArray<string>;
  readonly acceptedCount: number;
  readonly claimCount: number;
}

/**
 * Simulates a cell that takes jobs while one cut follows another: of one zone,
 * two zones, the leader, a random part or all members, in one direction or both.
 * Members join, restart, stand still and leave inside the cuts, and no two
 * clocks have the same rate.
 */
export class RandomMovingCuts {
  private readonly random: randomSource.SeededRandom;
  private cell!: simulatedCell.SimulatedCell;
  private jobIntervalMs = 0;
  private joinedCount = 0;
  private goneCount = 0;
  private readonly accepted: Array<ReadonlySet<string>> = [];

  constructor(private readonly seed: number) {
    this.random = new randomSource.SeededRandom(seed);
  }

  /** Runs the simulation to its end. */
  async run(): Promise<MovingCutsOutcome> {
    const {random, seed} = this;
    const runTimeMs = MINIMUM_RUN_MS + random.below(RUN_RANGE_MS);
    this.jobIntervalMs = runTimeMs / JOBS_PER_RUN_TIME;
    this.cell = await workingCell.startCell(
      seed,
      runTimeMs,
      MINIMUM_MEMBER_COUNT + random.below(MEMBER_RANGE),
      () => 1 + LARGEST_DRIFT * (random.below(2_001) / 1_000 - 1),
    );
    for (let round = 0; round < ROUND_COUNT; round += 1) {
      await this.submitFor(300 + random.below(CALM_RANGE_MS));
      const cutCount = 1 + random.below(MAXIMUM_CUTS);
      for (let cut = 0; cut < cutCount; cut += 1) await this.cutOnce();
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
      claimCount: this.cell.wonClaims.length,
    };
  }

  private async submitFor(durationMs: number): Promise<void> {
    const {cell, jobIntervalMs} = this;
    this.accepted.push(
      await workingCell.submitJobs(cell, durationMs, jobIntervalMs),
    );
  }

  /** Moves the cut, disturbs a process, and another one within the cut. */
  private async cutOnce(): Promise<void> {
    const {random} = this;
    const isLong = random.below(LONG_CUT_ODDS) === 0;
    const durationMs = isLong
      ? LONG_CUT_MS
      : MINIMUM_CUT_MS + random.below(CUT_RANGE_MS);
    const untilDisturbanceMs = random.below(durationMs);
    this.moveCut();
    this.disturbProcess();
    await this.submitFor(untilDisturbanceMs);
    this.disturbProcess();
    await this.submitFor(durationMs - untilDisturbanceMs);
  }

  private moveCut(): void {
    const {cell, random} = this;
    const workers = cell.workerEntries.filter(() => random.below(2) === 0);
    const addresses = [
      ...this.membersToCutOff().map(({self}) => self.address),
      ...workers.map(({address}) => address),
    ];
    const sides: ReadonlyArray<simulatedCell.StoreSides> = [
      {main: true, cutOff: false},
      {main: true, cutOff: false},
      {main: true, cutOff: false},
      {main: true, cutOff: true},
      {main: false, cutOff: true},
      {main: false, cutOff: false},
    ];
    const lost: ReadonlyArray<simulatedCell.LostMessages> = [
      'all',
      'all',
      'all',
      'fromCutOff',
      'toCutOff',
    ];
    cell.partition(
      addresses,
      sides[random.below(sides.length)],
      lost[random.below(lost.length)],
    );
  }

  private membersToCutOff(): ReadonlyArray<simulatedMember.SimulatedMember> {
    const {cell, random} = this;
    const leader = cell.leader();
    const {zone} = leader.self;
    const other = `zone${random.below(3)}`;
    switch (random.below(6)) {
      case 0:
        return cell.members.filter(({self}) => self.zone === zone);
      case 1:
        return cell.members.filter(({self}) =>
          [zone, other].includes(self.zone),
        );
      case 2:
        return [leader];
      case 3:
        return cell.members.filter(() => random.below(2) === 0);
      case 4:
        return [...cell.members];
      default:
        return cell.members.filter(({self}) => self.zone === other);
    }
  }

  private disturbProcess(): void {
    const {cell, random} = this;
    const index = random.below(cell.members.length);
    switch (random.below(8)) {
      case 0:
        cell.leader().block(random.below(MAXIMUM_PAUSE_MS));
        return;
      case 1:
        cell.leader().suspend(random.below(MAXIMUM_PAUSE_MS));
        return;
      case 2:
        this.restart(index);
        return;
      case 3:
        this.restart(cell.members.indexOf(cell.leader()));
        return;
      case 4:
        if (this.joinedCount === MAXIMUM_JOINED_COUNT) return;
        this.joinedCount += 1;
        cell.addMember(cell.members.length);
        return;
      case 5:
        if (this.goneCount === MAXIMUM_GONE_COUNT) return;
        this.goneCount += 1;
        cell.members[index].kill();
        return;
      default:
    }
  }

  private restart(index: number): void {
    this.cell.members[index].kill();
    this.cell.addMember(index);
  }
}
