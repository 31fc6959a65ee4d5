import * as randomSource from '../../src/machines/random_source.js';
import * as simulatedCell from './simulated_cell.js';
import * as simulatedMember from './simulated_member.js';
import type * as configurationFreshness from '../../src/zones/configuration_freshness.js';

/** Duration of a run. */
const RUN_MS = 60_000;

/** Interval of events and decisions. */
const STEP_MS = 50;

/** Time without a fault after which a member is in touch. */
const CONTACT_MS = 4_000;

/** Range of the durations of faults. */
const MINIMUM_FAULT_MS = 200;
const FAULT_RANGE_MS = 6_000;

/** Most idle connections that go silent together. */
const MAXIMUM_IDLE_CONNECTIONS = 7;

/** Result of one simulation. */
export interface RandomConfigurationOutcome {
  readonly violations: ReadonlyArray<string>;
  readonly versionCount: number;
  readonly standings: ReadonlyMap<string, number>;
}

/**
 * Simulates a cell in which the operator changes the configuration while
 * connections go silent, loops are blocked, members are cut off from the store
 * or from each other, and processes end and start. Checks that no decision
 * relies on a version that a later one should have replaced by then.
 */
export class RandomConfiguration {
  private readonly random: randomSource.SeededRandom;
  private readonly violations: string[] = [];
  private readonly standings = new Map<string, number>();
  /** Until when each member is not in touch because of a fault. */
  private readonly faultEnds = new Map<string, number>();
  /** Highest version by which each process has decided. */
  private readonly decidedVersions = new Map<string, number>();
  private version = 1;

  private constructor(
    private readonly cell: simulatedCell.SimulatedCell,
    seed: number,
  ) {
    this.random = new randomSource.SeededRandom(seed);
  }

  /** Runs one seed with a number of members. */
  static async runSeed(
    seed: number,
    memberCount: number,
  ): Promise<RandomConfigurationOutcome> {
    const cell = await simulatedCell.SimulatedCell.start(
      memberCount,
      seed,
      true,
    );
    return new RandomConfiguration(cell, seed).run();
  }

  private async run(): Promise<RandomConfigurationOutcome> {
    const {time} = this.cell;
    const end = time.now() + RUN_MS;
    while (time.now() < end) {
      this.injectEvents();
      for (const member of this.cell.members) this.decide(member);
      await time.advance(STEP_MS);
    }
    const versionCount = this.cell.publishedVersions.length;
    return {
      violations: this.violations,
      versionCount,
      standings: this.standings,
    };
  }

  private chance(oneIn: number): boolean {
    return this.random.below(oneIn) === 0;
  }

  private injectEvents(): void {
    if (this.chance(30)) this.changeConfiguration();
    if (!this.chance(25)) return;
    const index = this.random.below(this.cell.members.length);
    const member = this.cell.members[index];
    const durationMs = MINIMUM_FAULT_MS + this.random.below(FAULT_RANGE_MS);
    switch (this.random.below(6)) {
      case 0:
        // Connections to the store fail for all members at once.
        for (const each of this.cell.members) {
          this.markFaulty(each, 0);
          each.silenceConnections(this.random.below(MAXIMUM_IDLE_CONNECTIONS));
        }
        return;
      case 1:
        this.markFaulty(member, 0);
        member.silenceConnections(this.random.below(MAXIMUM_IDLE_CONNECTIONS));
        return;
      case 2:
        this.markFaulty(member, durationMs);
        member.block(durationMs);
        return;
      case 3:
        this.cut(
          member,
          durationMs,
          reaches => (member.reachesStore = reaches),
        );
        return;
      case 4:
        this.cut(
          member,
          durationMs,
          reaches => (member.reachesPeers = reaches),
        );
        return;
      default:
        member.kill();
        this.markFaulty(this.cell.addMember(index), 0);
    }
  }

  /** Publishes up to four versions in quick succession. */
  private changeConfiguration(): void {
    const {time} = this.cell;
    const count = 1 + this.random.below(4);
    for (let change = 0; change < count; change += 1) {
      time.runAt(time.now() + change * this.random.below(200), () => {
        this.version += 1 + this.random.below(3);
        this.cell.publish(this.version);
      });
    }
  }

  private cut(
    member: simulatedMember.SimulatedMember,
    durationMs: number,
    setReach: (reaches: boolean) => void,
  ): void {
    const {time} = this.cell;
    this.markFaulty(member, durationMs);
    setReach(false);
    time.runAt(time.now() + durationMs, () => setReach(true));
  }

  private markFaulty(
    {self}: simulatedMember.SimulatedMember,
    durationMs: number,
  ): void {
    const until = this.cell.time.now() + durationMs + CONTACT_MS;
    const known = this.faultEnds.get(self.incarnation) ?? 0;
    this.faultEnds.set(self.incarnation, Math.max(known, until));
  }

  private decide(member: simulatedMember.SimulatedMember): void {
    const sentAt = this.cell.time.now();
    member.run(() => {
      void member.node
        .configurationBasis()
        .then(basis => this.check(member, sentAt, basis));
    });
  }

  private check(
    {self, isAlive}: simulatedMember.SimulatedMember,
    sentAt: number,
    {standing, configuration}: configurationFreshness.ConfigurationBasis,
  ): void {
    if (!isAlive) return;
    this.standings.set(standing, (this.standings.get(standing) ?? 0) + 1);
    const at = `${self.incarnation} at ${Math.round(sentAt)} ms (${standing})`;
    const isInTouch = sentAt >= (this.faultEnds.get(self.incarnation) ?? 0);
    if (standing !== 'confirmed' && standing !== 'cutOff') {
      if (isInTouch) this.violations.push(`in touch and undecided: ${at}`);
      return;
    }
    const version = configuration?.version ?? 0;
    const demanded = this.cell.versionAt(
      sentAt - simulatedMember.CONFIGURATION_MS,
    );
    const mustKnow = standing === 'confirmed' || isInTouch;
    if (mustKnow && version < demanded) {
      this.violations.push(`decides by ${version}, not ${demanded}: ${at}`);
    }
    const decided = this.decidedVersions.get(self.incarnation) ?? 0;
    if (version < decided) {
      this.violations.push(`falls from ${decided} to ${version}: ${at}`);
    }
    this.decidedVersions.set(self.incarnation, Math.max(decided, version));
  }
}
