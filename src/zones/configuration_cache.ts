import type * as cellPeers from './cell_peers.js';
import type * as clock from '../machines/clock.js';
import type * as job from '../jobs/job.js';
import type * as schedulerOptions from '../jobs/scheduler_options.js';

/** Timeout for fetching the configuration from another member. */
const FETCH_TIMEOUT_MS = 600;

/** Dependencies of the configuration cache. */
export interface ConfigurationCacheOptions {
  readonly clock: clock.Clock;
  readonly peers: cellPeers.CellPeers;
  readonly log: schedulerOptions.EventLog;
  /** Called with each newer configuration. */
  readonly onUpdated: (configuration: job.OperatorConfiguration) => void;
}

/**
 * Newest configuration that this member knows. A member that cannot reach the
 * store gets newer versions from other members, or their confirmation that its
 * version is still the newest.
 */
export class ConfigurationCache {
  private current: job.OperatorConfiguration | undefined;
  private confirmedAt: clock.Milliseconds = -Infinity;
  private fetching = false;

  constructor(private readonly options: ConfigurationCacheOptions) {}

  get newest(): job.OperatorConfiguration | undefined {
    return this.current;
  }

  /** Version of the newest configuration; 0 while none is known. */
  get version(): number {
    return this.current?.version ?? 0;
  }

  /** Time since the configuration was last confirmed to be the newest. */
  get ageMs(): number {
    return this.options.clock.now() - this.confirmedAt;
  }

  /** Records a read of the store; undefined if the operator wrote none. */
  recordStoreRead(configuration: job.OperatorConfiguration | undefined): void {
    if (configuration !== undefined) this.adopt(configuration);
    this.confirmedAt = this.options.clock.now();
  }

  /**
   * Compares versions with another member. Fetches its configuration if that is
   * newer, and takes over its confirmation time if the versions are equal.
   */
  compareWithPeer(address: string, reply: cellPeers.PingReply): void {
    if (reply.configurationVersion > this.version) {
      void this.fetch(address);
    } else if (reply.configurationVersion === this.version) {
      const peerConfirmedAt =
        this.options.clock.now() - reply.configurationAgeMs;
      this.confirmedAt = Math.max(this.confirmedAt, peerConfirmedAt);
    }
  }

  private async fetch(address: string): Promise<void> {
    if (this.fetching) return;
    this.fetching = true;
    const outcome = await this.options.peers.fetchConfiguration(
      address,
      FETCH_TIMEOUT_MS,
    );
    this.fetching = false;
    if (outcome.kind === 'answered' && outcome.value !== undefined) {
      this.adopt(outcome.value);
    }
  }

  private adopt(configuration: job.OperatorConfiguration): void {
    if (configuration.version <= (this.current?.version ?? -1)) return;
    const previousAgeMs = this.current && Math.round(this.ageMs);
    this.current = configuration;
    this.options.onUpdated(configuration);
    this.options.log.event('info', 'configurationTaken', {
      version: configuration.version,
      queues: configuration.queues.length,
      previousAgeMs,
    });
  }
}
