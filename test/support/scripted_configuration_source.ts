import type * as clock from '../../src/machines/clock.js';
import type * as configurationSource from '../../src/zones/configuration_source.js';
import type * as job from '../../src/jobs/job.js';

/** Returns a configuration without queues, or with those given. */
export function configurationOf(
  version: number,
  queues: ReadonlyArray<job.Queue> = [],
): job.OperatorConfiguration {
  return {
    version,
    queues,
    bodyBytes: 1_024,
    headerTimeoutMs: 1_000,
    idleTimeoutMs: 1_000,
  };
}

/** Store with a configuration, whose answers a test delays or drops. */
export class ScriptedConfigurationSource
  implements configurationSource.ConfigurationSource
{
  stored: job.OperatorConfiguration | undefined;
  answers = true;
  latencyMs = 1;
  readCount = 0;
  private onRead: configurationSource.ConfigurationReadListener = () => {};

  constructor(
    private readonly time: clock.Clock & {
      delay(milliseconds: number): Promise<void>;
    },
  ) {}

  follow(onRead: configurationSource.ConfigurationReadListener): void {
    this.onRead = onRead;
  }

  /** Delivers an answer of the store that proves its content for a time. */
  deliver(provenAt: clock.Milliseconds = this.time.now()): void {
    this.onRead(this.stored, provenAt);
  }

  async readNow(timeoutMs: number): Promise<boolean> {
    this.readCount += 1;
    const askedAt = this.time.now();
    const {answers, latencyMs, stored} = this;
    await this.time.delay(answers ? latencyMs : timeoutMs);
    if (answers) this.onRead(stored, askedAt);
    return answers;
  }
}
