import type * as clock from '../machines/clock.js';
import type * as job from '../jobs/job.js';
import type * as schedulerOptions from '../jobs/scheduler_options.js';

/** Dependencies of the configuration cache. */
export interface ConfigurationCacheOptions {
  readonly clock: clock.Clock;
  readonly log: schedulerOptions.EventLog;
  readonly counters: schedulerOptions.Counters;
  /** Called with each newer configuration. */
  readonly onUpdated: (configuration: job.OperatorConfiguration) => void;
}

/** Newer version of which another member has told. */
export interface AnnouncedVersion {
  readonly version: number;
  /** Address of a member that has it; undefined if not known. */
  readonly address: string | undefined;
  /** When a member last told of it. */
  readonly toldAt: clock.Milliseconds;
}

/**
 * Newest configuration that this member knows, and the time for which it is
 * proven to be the newest of all. That time is when the source was asked, never
 * when its answer was read: an answer may be under way for seconds.
 */
export class ConfigurationCache {
  private current: job.OperatorConfiguration | undefined;
  private confirmedAt: clock.Milliseconds = -Infinity;
  private voidedAt: clock.Milliseconds = -Infinity;
  private announcement: AnnouncedVersion | undefined;
  private announcedSince: clock.Milliseconds | undefined;

  constructor(private readonly options: ConfigurationCacheOptions) {}

  get newest(): job.OperatorConfiguration | undefined {
    return this.current;
  }

  /** Version of the newest configuration; 0 while none is known. */
  get version(): number {
    return this.current?.version ?? 0;
  }

  /** Time since the configuration was last proven to be the newest. */
  get ageMs(): number {
    return this.options.clock.now() - this.confirmedAt;
  }

  /** The latest time for which the configuration is proven to be the newest. */
  get confirmedTime(): clock.Milliseconds {
    return this.confirmedAt;
  }

  /** Newer version that another member has and this one lacks. */
  get announced(): AnnouncedVersion | undefined {
    return this.announcement;
  }

  /** Records an answer of the store; see `ConfigurationReadListener`. */
  recordStoreRead(
    configuration: job.OperatorConfiguration | undefined,
    provenAt: clock.Milliseconds | undefined,
  ): void {
    if (configuration !== undefined) this.adopt(configuration, 'store');
    if (provenAt !== undefined) this.confirm(provenAt);
  }

  /**
   * Records what another member has, in answer to a call made at `askedAt`. The
   * member's own confirmation was `ageMs` old when it answered.
   */
  recordPeer(
    address: string,
    version: number,
    ageMs: number,
    askedAt: clock.Milliseconds,
  ): void {
    if (version > this.version) this.announce(version, address);
    else if (version === this.version) this.confirm(askedAt - ageMs);
  }

  /** Takes over the configuration of another member; see `recordPeer`. */
  takeOver(
    configuration: job.OperatorConfiguration,
    ageMs: number,
    askedAt: clock.Milliseconds,
  ): void {
    this.adopt(configuration, 'member');
    if (configuration.version === this.version) this.confirm(askedAt - ageMs);
  }

  /** Records that another member has a version. */
  announce(version: number, address: string | undefined): void {
    if (version <= this.version || !Number.isSafeInteger(version)) return;
    if (version < (this.announcement?.version ?? 0)) return;
    const toldAt = this.options.clock.now();
    this.announcement = {version, address, toldAt};
    this.announcedSince ??= toldAt;
  }

  /**
   * Voids all proof from before now: the steady clock may have stood still, so
   * that its age is not known. Answers to earlier calls prove nothing either.
   */
  voidProof(): void {
    this.confirmedAt = -Infinity;
    this.voidedAt = this.options.clock.now();
  }

  private confirm(provenAt: clock.Milliseconds): void {
    if (provenAt < this.voidedAt) return;
    this.confirmedAt = Math.max(this.confirmedAt, provenAt);
  }

  private adopt(
    configuration: job.OperatorConfiguration,
    source: 'store' | 'member',
  ): void {
    const {clock, counters, log, onUpdated} = this.options;
    const {version, queues} = configuration;
    if (version <= (this.current?.version ?? -1)) return;
    const previousAgeMs = this.current && Math.round(this.ageMs);
    this.current = configuration;
    if (version >= (this.announcement?.version ?? 0)) {
      const since = this.announcedSince ?? clock.now();
      counters.observe('configuration_announced', clock.now() - since);
      this.announcement = undefined;
      this.announcedSince = undefined;
    }
    onUpdated(configuration);
    log.event('info', 'configurationTaken', {
      version,
      queues: queues.length,
      source,
      previousAgeMs,
    });
  }
}
