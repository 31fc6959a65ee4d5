import type * as cellPeers from './cell_peers.js';
import type * as clock from '../machines/clock.js';
import type * as configurationCache from './configuration_cache.js';
import type * as configurationSource from './configuration_source.js';
import type * as job from '../jobs/job.js';
import type * as jobJournal from '../jobs/job_journal.js';
import type * as schedulerOptions from '../jobs/scheduler_options.js';

/** How far a decision may rely on the newest known configuration. */
export type ConfigurationStanding =
  /** Lately proven to be the newest: every decision may rely on it. */
  | 'confirmed'
  /**
   * Nobody who was asked lately could tell whether it is: known queues are
   * served, and no queue is called unknown.
   */
  | 'cutOff'
  /** A member has a newer one, which could not be had: nothing is decided. */
  | 'outdated'
  /** Its last proof is too old, and the sources are being asked. */
  | 'unconfirmed'
  /** None has been read yet. */
  | 'missing';

/** The configuration by which to decide. */
export interface ConfigurationBasis {
  readonly standing: ConfigurationStanding;
  readonly configuration: job.OperatorConfiguration | undefined;
}

/** Dependencies of `ConfigurationFreshness`. */
export interface ConfigurationFreshnessOptions {
  readonly clock: clock.Clock;
  readonly timer: jobJournal.DelayTimer;
  readonly counters: schedulerOptions.Counters;
  readonly source: configurationSource.ConfigurationSource;
  readonly peers: cellPeers.CellPeers;
  /** Returns the members to ask, those that know most first. */
  readonly peerAddresses: () => ReadonlyArray<string>;
  /** Time within which a new configuration must be in force. */
  readonly configurationMs: number;
}

/** Share of `configurationMs` after which a proof is too old to decide by. */
const MAXIMUM_AGE_SHARE = 0.9;

/**
 * Share of `configurationMs` after which the sources are asked. Reads that wait
 * for changes renew the proof well before that.
 */
const INQUIRY_AGE_SHARE = 0.65;

/** Timeout of each call of an inquiry. */
const CALL_TIMEOUT_MS = 500;

/**
 * How long the result of an inquiry holds that nobody could answer, and the
 * shortest time from its end to the next one.
 */
const UNRESOLVED_INQUIRY_LIFETIME_MS = 400;

/**
 * Decides how old the proof of a configuration may be, for every decision that
 * a version can change, and asks the store and other members when it is older.
 */
export class ConfigurationFreshness {
  private inquiry: Promise<void> | undefined;
  private unresolvedAt: clock.Milliseconds = -Infinity;
  private requiredSince: clock.Milliseconds = -Infinity;

  constructor(
    private readonly cache: configurationCache.ConfigurationCache,
    private readonly options: ConfigurationFreshnessOptions,
  ) {}

  get standing(): ConfigurationStanding {
    const {cache} = this;
    const now = this.options.clock.now();
    if (cache.newest === undefined) return 'missing';
    if (this.isConfirmed(now)) return 'confirmed';
    if (now - this.unresolvedAt >= UNRESOLVED_INQUIRY_LIFETIME_MS) {
      return 'unconfirmed';
    }
    const toldAt = cache.announced?.toldAt ?? -Infinity;
    return now - toldAt < this.maximumAgeMs ? 'outdated' : 'cutOff';
  }

  /**
   * Whether the leader may accept jobs and start tasks by the configuration now;
   * asks the sources if not.
   */
  get isUsable(): boolean {
    const {standing} = this;
    if (standing === 'unconfirmed') void this.inquire();
    return standing !== 'unconfirmed' && standing !== 'outdated';
  }

  /** Demands a proof that is not older than now, before a term begins. */
  requireProof(): void {
    this.requiredSince = this.options.clock.now();
    void this.inquire();
  }

  /** Asks the sources before the proof becomes too old; called regularly. */
  review(): void {
    const {cache, options} = this;
    const now = options.clock.now();
    if (cache.newest === undefined && cache.announced === undefined) return;
    const waitsForNext =
      now - this.unresolvedAt < UNRESOLVED_INQUIRY_LIFETIME_MS;
    if (!waitsForNext && !this.isProvenSince(this.inquiryTime(now))) {
      void this.inquire();
    }
  }

  /**
   * Returns the configuration to decide by. If its standing is not known, asks
   * the sources first, for at most `waitMs`.
   */
  async basis(waitMs: number): Promise<ConfigurationBasis> {
    if (this.standing === 'unconfirmed') {
      const startedAt = this.options.clock.now();
      await Promise.race([this.inquire(), this.options.timer.delay(waitMs)]);
      const waitedMs = this.options.clock.now() - startedAt;
      this.options.counters.observe('configuration_inquiry', waitedMs);
    }
    const {standing, cache} = this;
    this.options.counters.count('configuration_decisions', standing);
    return {standing, configuration: cache.newest};
  }

  private get maximumAgeMs(): number {
    return this.options.configurationMs * MAXIMUM_AGE_SHARE;
  }

  private isConfirmed(now: clock.Milliseconds): boolean {
    return this.isProvenSince(now - this.maximumAgeMs);
  }

  /** Returns the time since which a proof needs no inquiry. */
  private inquiryTime(now: clock.Milliseconds): clock.Milliseconds {
    return now - this.options.configurationMs * INQUIRY_AGE_SHARE;
  }

  private isProvenSince(time: clock.Milliseconds): boolean {
    const {announced, confirmedTime} = this.cache;
    return (
      announced === undefined &&
      confirmedTime >= Math.max(time, this.requiredSince)
    );
  }

  /** Asks all sources; resolves once one settles it or all have answered. */
  private inquire(): Promise<void> {
    this.inquiry ??= this.askAll().finally(() => (this.inquiry = undefined));
    return this.inquiry;
  }

  private askAll(): Promise<void> {
    const {source, clock, counters} = this.options;
    const calls: ReadonlyArray<Promise<unknown>> = [
      source.readNow(CALL_TIMEOUT_MS),
      ...this.addressesToAsk().map(address => this.fetchFrom(address)),
    ];
    return new Promise(resolve => {
      let openCount = calls.length;
      const review = (): void => {
        openCount -= 1;
        const now = clock.now();
        const isSettled = this.isProvenSince(this.inquiryTime(now));
        if (!isSettled && openCount > 0) return;
        if (!isSettled) this.unresolvedAt = now;
        counters.count('inquiries', isSettled ? 'settled' : 'unresolved');
        resolve();
      };
      for (const call of calls) void call.then(review);
    });
  }

  private addressesToAsk(): ReadonlyArray<string> {
    const {announced} = this.cache;
    const addresses = new Set(this.options.peerAddresses());
    if (announced?.address !== undefined) addresses.add(announced.address);
    return [...addresses];
  }

  /** Takes over the configuration of a member, or its proof of this one. */
  private async fetchFrom(address: string): Promise<void> {
    const {clock, peers} = this.options;
    const {cache} = this;
    const askedAt = clock.now();
    const outcome = await peers.fetchConfiguration(
      address,
      cache.version,
      CALL_TIMEOUT_MS,
    );
    if (outcome.kind !== 'answered') return;
    const {configuration, version, ageMs} = outcome.value;
    if (configuration !== undefined) {
      cache.takeOver(configuration, ageMs, askedAt);
    } else if (version <= cache.version) {
      cache.recordPeer(address, version, ageMs, askedAt);
    }
  }
}
