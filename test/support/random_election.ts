import * as simulatedCell from './simulated_cell.js';
import type * as randomSource from '../../src/machines/random_source.js';
import type * as simulatedMember from './simulated_member.js';

/** Smallest and largest number of members. */
const MINIMUM_MEMBERS = 30;
const MAXIMUM_MEMBERS = 44;

/** Number of rounds, each with harmless events and one fault of the leader. */
const ROUND_COUNT = 3;

/** Duration of the events that must not lead to a claim. */
const HARMLESS_PHASE_MS = 3_000;

/** Interval between two harmless events. */
const EVENT_INTERVAL_MS = 150;

/** Time in which the cell must have replaced the leader. */
const REPLACEMENT_PHASE_MS = 3_000;

/** Time without faults in which the cell must converge. */
const RECOVERY_PHASE_MS = 4_000;

/** One of this number of messages is late; one of ten times as many is lost. */
const LATE_MESSAGE_ODDS = 20;
const LOST_MESSAGE_ODDS = 200;
const MAXIMUM_MESSAGE_DELAY_MS = 250;

/** Longest time for which the loop of a process is blocked harmlessly. */
const MAXIMUM_BLOCK_MS = 500;

type Fault = (leader: simulatedMember.SimulatedMember) => void;

/** Faults after which the leader has to be replaced. */
const LEADER_FAULTS: ReadonlyArray<Fault> = [
  leader => leader.kill(),
  leader => leader.block(2_500),
  leader => leader.node.resign(),
  leader => {
    leader.reachesPeers = false;
  },
  leader => {
    leader.reachesStore = false;
  },
  leader => {
    leader.reachesPeers = false;
    leader.reachesStore = false;
  },
];

/**
 * Simulates the elections of a large cell with late and lost messages, members
 * that restart or are slow, and a leader that fails in different ways.
 */
export class RandomElection {
  private readonly violations: string[] = [];
  private cell!: simulatedCell.SimulatedCell;

  constructor(private readonly seed: number) {}

  /** Runs the simulation; returns the violations of its invariants. */
  async run(): Promise<ReadonlyArray<string>> {
    const {seed} = this;
    const range = MAXIMUM_MEMBERS - MINIMUM_MEMBERS + 1;
    const size = MINIMUM_MEMBERS + (seed % range);
    this.cell = await simulatedCell.SimulatedCell.start(size, seed);
    for (let round = 0; round < ROUND_COUNT; round += 1) {
      await this.runHarmlessPhase(round);
      await this.failLeader(round);
    }
    this.checkTerms();
    return this.violations;
  }

  private get random(): randomSource.SeededRandom {
    return this.cell.random;
  }

  private pick<Item>(items: ReadonlyArray<Item>): Item {
    return items[this.random.below(items.length)];
  }

  private async runHarmlessPhase(round: number): Promise<void> {
    const {cell} = this;
    const claimCount = cell.wonClaims.length;
    this.disturbMessages();
    const until = cell.time.now() + HARMLESS_PHASE_MS;
    while (cell.time.now() < until) {
      this.injectHarmlessEvent();
      await cell.time.advance(EVENT_INTERVAL_MS);
    }
    cell.extraDelayMs = () => 0;
    for (const claim of cell.wonClaims.slice(claimCount)) {
      this.violations.push(
        `round ${round}: needless claim by ${claim.node}, ${claim.reason}`,
      );
    }
  }

  private disturbMessages(): void {
    const {random} = this;
    this.cell.extraDelayMs = () => {
      if (random.below(LOST_MESSAGE_ODDS) === 0) return Infinity;
      if (random.below(LATE_MESSAGE_ODDS) > 0) return 0;
      return random.below(MAXIMUM_MESSAGE_DELAY_MS);
    };
  }

  private injectHarmlessEvent(): void {
    const {cell, random} = this;
    const target = this.pick(cell.followers());
    switch (random.below(4)) {
      case 0:
        target.kill();
        cell.addMember(cell.members.indexOf(target));
        return;
      case 1:
        target.block(random.below(4 * MAXIMUM_BLOCK_MS));
        return;
      case 2:
        cell.leader().block(random.below(MAXIMUM_BLOCK_MS));
        return;
      default:
        target.reachesPeers = !target.reachesPeers;
        cell.time.runAt(cell.time.now() + random.below(2_000), () => {
          target.reachesPeers = true;
        });
    }
  }

  private async failLeader(round: number): Promise<void> {
    const {cell} = this;
    const claimCount = cell.wonClaims.length;
    const failed = cell.leader();
    await cell.time.advance(MAXIMUM_BLOCK_MS);
    for (const member of cell.members) member.reachesPeers = true;
    const fault = this.random.below(LEADER_FAULTS.length);
    LEADER_FAULTS[fault](failed);
    await cell.time.advance(REPLACEMENT_PHASE_MS);
    const wonCount = cell.wonClaims.length - claimCount;
    if (wonCount !== 1) {
      this.violations.push(
        `round ${round}: ${wonCount} claims, fault ${fault}`,
      );
    }
    failed.reachesPeers = true;
    failed.reachesStore = true;
    if (!failed.isAlive || failed.node.leader === undefined) {
      cell.addMember(cell.members.indexOf(failed));
    }
    await cell.time.advance(RECOVERY_PHASE_MS);
    if (cell.wonClaims.length !== claimCount + wonCount) {
      this.violations.push(`round ${round}: claim after recovery, ${fault}`);
    }
    if (!cell.hasConverged()) {
      this.violations.push(`round ${round}: not converged, fault ${fault}`);
    }
  }

  private checkTerms(): void {
    for (const [term, leaders] of this.cell.leadersByTerm) {
      if (leaders.size > 1) {
        this.violations.push(`term ${term}: ${[...leaders].join(' and ')}`);
      }
    }
  }
}
