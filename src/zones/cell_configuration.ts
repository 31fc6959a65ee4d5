import * as configurationCache from './configuration_cache.js';
import * as configurationFreshness from './configuration_freshness.js';
import type * as cellPeers from './cell_peers.js';
import type * as clock from '../machines/clock.js';
import type * as configurationSource from './configuration_source.js';
import type * as job from '../jobs/job.js';
import type * as jobJournal from '../jobs/job_journal.js';
import type * as schedulerOptions from '../jobs/scheduler_options.js';

/** Dependencies of `CellConfiguration`. */
export interface CellConfigurationOptions {
  readonly clock: clock.Clock;
  readonly timer: jobJournal.DelayTimer;
  readonly log: schedulerOptions.EventLog;
  readonly counters: schedulerOptions.Counters;
  readonly configurationSource: configurationSource.ConfigurationSource;
  /** Time within which a new configuration must be in force. */
  readonly configurationMs: number;
  readonly peers: cellPeers.CellPeers;
  /** Returns the addresses of all other members. */
  readonly peerAddresses: () => ReadonlyArray<string>;
  /** Returns the leader's address; undefined if this member leads. */
  readonly leaderAddress: () => string | undefined;
  /** Called with each newer configuration. */
  readonly onUpdated: (configuration: job.OperatorConfiguration) => void;
}

/**
 * The operator's configuration as this member knows it, from the store and from
 * other members, and how far decisions may rely on it.
 */
export class CellConfiguration {
  private readonly cache: configurationCache.ConfigurationCache;
  private readonly freshness: configurationFreshness.ConfigurationFreshness;
  private inquiryCount = 0;

  constructor(private readonly options: CellConfigurationOptions) {
    this.cache = new configurationCache.ConfigurationCache(options);
    this.freshness = new configurationFreshness.ConfigurationFreshness(
      this.cache,
      {
        ...options,
        source: options.configurationSource,
        peerAddresses: () => this.addressesToAsk(),
      },
    );
  }

  get newest(): job.OperatorConfiguration | undefined {
    return this.cache.newest;
  }

  /** Version of the newest configuration; 0 while none is known. */
  get version(): number {
    return this.cache.version;
  }

  /** Newest version that this member has, or of which it was told. */
  get newestKnownVersion(): number {
    return this.cache.announced?.version ?? this.cache.version;
  }

  /** Time since the configuration was last proven to be the newest. */
  get ageMs(): number {
    return this.cache.ageMs;
  }

  /** Whether the leader may decide by it now; see `ConfigurationFreshness`. */
  get isUsable(): boolean {
    return this.freshness.isUsable;
  }

  /** Follows the configuration in the store. */
  follow(): void {
    this.options.configurationSource.follow((...read) =>
      this.cache.recordStoreRead(...read),
    );
  }

  /** Returns the configuration to decide by; see `ConfigurationFreshness`. */
  basis(waitMs: number): Promise<configurationFreshness.ConfigurationBasis> {
    return this.freshness.basis(waitMs);
  }

  /** Records that another member has a version. */
  announce(version: number, address?: string): void {
    this.cache.announce(version, address);
  }

  /** Records the version in a reply to a ping that was sent at `sentAt`. */
  recordReply(
    address: string,
    reply: cellPeers.PingReply,
    sentAt: clock.Milliseconds,
  ): void {
    const {configurationVersion, configurationAgeMs} = reply;
    this.cache.recordPeer(
      address,
      configurationVersion,
      configurationAgeMs,
      sentAt,
    );
  }

  /** Returns the configuration if it is newer than a version. */
  since(knownVersion: number): cellPeers.MemberConfiguration {
    const {newest, version, ageMs} = this.cache;
    const configuration = version > knownVersion ? newest : undefined;
    return {configuration, version, ageMs};
  }

  /** Asks other sources before the proof becomes too old. */
  review(): void {
    this.freshness.review();
  }

  /** Demands a proof that is not older than now, before a term begins. */
  requireProof(): void {
    this.freshness.requireProof();
  }

  /** Voids all proof, after this VM may have been suspended. */
  voidProof(): void {
    this.cache.voidProof();
    this.freshness.requireProof();
  }

  /** Returns the leader and one other member in turn. */
  private addressesToAsk(): ReadonlyArray<string> {
    const {leaderAddress, peerAddresses} = this.options;
    const addresses = peerAddresses();
    const next = addresses[this.inquiryCount % addresses.length];
    this.inquiryCount += 1;
    return [leaderAddress(), next].filter(address => address !== undefined);
  }
}
