import type * as clock from '../machines/clock.js';
import type * as job from '../jobs/job.js';

/**
 * Receives each answer of the store. `configuration` is undefined if the answer
 * has no new version. No later version was in the store at the time `provenAt`;
 * undefined if the answer proves that for no time.
 */
export type ConfigurationReadListener = (
  configuration: job.OperatorConfiguration | undefined,
  provenAt: clock.Milliseconds | undefined,
) => void;

/** The operator's configuration in the platform's store. */
export interface ConfigurationSource {
  /** Calls `onRead` with each answer of the store from now on. */
  follow(onRead: ConfigurationReadListener): void;
  /**
   * Reads at once, whatever became of earlier reads. Resolves, after `onRead`,
   * to whether the store answered in time.
   */
  readNow(timeoutMs: number): Promise<boolean>;
}
