import type * as cellPeers from './cell_peers.js';
import type * as clock from '../machines/clock.js';
import type * as job from '../jobs/job.js';
import type * as schedulerOptions from '../jobs/scheduler_options.js';

/** Time for the answer to a question for the configuration. */
const FETCH_TIMEOUT_MS = 600;

/** What the holder of the configuration works with. */
export interface CellConfigurationOptions {
  readonly clock: clock.Clock;
  readonly peers: cellPeers.CellPeers;
  readonly log: schedulerOptions.EventLog;
  /** Called with each newer configuration. */
  readonly onTaken: (configuration: job.OperatorConfiguration) => void;
}

/**
 * The newest configuration that this member knows. A member that cannot reach
 * the store gets newer ones, and the proof that there is none, from others.
 */
export class CellConfiguration {
  private held: job.OperatorConfiguration | undefined;
  private checkedAt: clock.Milliseconds = -Infinity;
  private fetching = false;

  constructor(private readonly options: CellConfigurationOptions) {}

  get newest(): job.OperatorConfiguration | undefined {
    return this.held;
  }

  /** Version of the newest one; 0 without any. */
  get version(): number {
    return this.held?.version ?? 0;
  }

  /** Time since the configuration was last known to be the newest one. */
  get ageMs(): number {
    return this.options.clock.now() - this.checkedAt;
  }

  /** The store was read; undefined when the operator has written none. */
  read(configuration: job.OperatorConfiguration | undefined): void {
    this.checkedAt = this.options.clock.now();
    if (configuration !== undefined) this.take(configuration);
  }

  /** Compares with what another member holds and fetches what is newer. */
  compare(address: string, other: cellPeers.GreetingAnswer): void {
    if (other.configurationVersion > this.version) {
      void this.fetch(address);
    } else if (other.configurationVersion === this.version) {
      const confirmedAt = this.options.clock.now() - other.configurationAgeMs;
      this.checkedAt = Math.max(this.checkedAt, confirmedAt);
    }
  }

  private async fetch(address: string): Promise<void> {
    if (this.fetching) return;
    this.fetching = true;
    const reached = await this.options.peers.fetchConfiguration(
      address,
      FETCH_TIMEOUT_MS,
    );
    this.fetching = false;
    if (reached.kind === 'answered' && reached.value !== undefined) {
      this.take(reached.value);
    }
  }

  private take(configuration: job.OperatorConfiguration): void {
    if (configuration.version <= (this.held?.version ?? -1)) return;
    this.held = configuration;
    this.options.onTaken(configuration);
    this.options.log.event('info', 'configurationTaken', {
      version: configuration.version,
      queues: configuration.queues.length,
    });
  }
}
