import type * as randomSource from '../../src/machines/random_source.js';
import type * as virtualTime from './virtual_time.js';

/** Sender or receiver of messages. */
export interface NetworkEndpoint {
  readonly name: string;
  /** Empty for the platform, which is outside all zones. */
  readonly zone: string;
}

/** One-way latencies, to which up to 0.9 ms of jitter is added. */
const IN_ZONE_LATENCY_MS = 0.2;
const CROSS_ZONE_LATENCY_MS = 0.5;

/** Time after which a caller stops waiting for an answer. */
const DEFAULT_CALL_TIMEOUT_MS = 2_000;

/** Network between simulated endpoints that delays, loses and partitions. */
export class FakeNetwork {
  private readonly partitions = new Set<string>();
  /** Messages lost per thousand. */
  lossPerThousand = 0;
  /** Messages delayed per thousand, by up to `maximumExtraDelayMs`. */
  latePerThousand = 0;
  maximumExtraDelayMs = 0;

  constructor(
    private readonly time: virtualTime.VirtualTime,
    private readonly random: randomSource.RandomSource,
  ) {}

  /** Cuts or restores the link of two zones; '' stands for the platform. */
  setPartitioned(left: string, right: string, partitioned: boolean): void {
    const key = [left, right].sort().join('|');
    if (partitioned) this.partitions.add(key);
    else this.partitions.delete(key);
  }

  /** Restores all links and stops losing and delaying messages. */
  heal(): void {
    this.partitions.clear();
    this.lossPerThousand = 0;
    this.latePerThousand = 0;
  }

  /** Delivers a one-way message unless it is lost or its link is cut. */
  send(from: NetworkEndpoint, to: NetworkEndpoint, deliver: () => void): void {
    const key = [from.zone, to.zone].sort().join('|');
    if (this.partitions.has(key)) return;
    if (this.random.below(1_000) < this.lossPerThousand) return;
    this.time.after(this.latencyMs(from, to), deliver);
  }

  /**
   * Sends a call and its answer. Calls `timedOut` once if no answer arrives in
   * time, whether or not the call took effect.
   */
  call<Answer>(
    from: NetworkEndpoint,
    to: NetworkEndpoint,
    serve: (respond: (answer: Answer) => void) => void,
    answered: (answer: Answer) => void,
    timedOut: () => void,
    timeoutMs = DEFAULT_CALL_TIMEOUT_MS,
  ): void {
    let settled = false;
    this.time.after(timeoutMs, () => {
      if (settled) return;
      settled = true;
      timedOut();
    });
    this.send(from, to, () =>
      serve(answer =>
        this.send(to, from, () => {
          if (settled) return;
          settled = true;
          answered(answer);
        }),
      ),
    );
  }

  private latencyMs(from: NetworkEndpoint, to: NetworkEndpoint): number {
    const baseMs =
      from.zone === to.zone ? IN_ZONE_LATENCY_MS : CROSS_ZONE_LATENCY_MS;
    const late = this.random.below(1_000) < this.latePerThousand;
    const extraMs = late ? this.random.below(this.maximumExtraDelayMs + 1) : 0;
    return baseMs + this.random.below(10) / 10 + extraMs;
  }
}
