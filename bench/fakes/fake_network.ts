import type * as randomSource from '../../src/machines/random_source.js';
import type * as virtualTime from './virtual_time.js';

/** Where an end of a message stands. */
export interface Endpoint {
  readonly name: string;
  /** Empty for the platform, which stands in no zone. */
  readonly zone: string;
}

/** Latencies in milliseconds, one way. */
const IN_ZONE_LATENCY_MS = 0.2;
const CROSS_ZONE_LATENCY_MS = 0.5;

/** Time after which a caller gives an answer up. */
const DEFAULT_CALL_TIMEOUT_MS = 2_000;

/** Delivers messages late, or not at all, over links that can be cut. */
export class FakeNetwork {
  private readonly partitions = new Set<string>();
  /** Messages lost per thousand. */
  lossPerThousand = 0;
  /** Answers that come late per thousand, by up to `longestDelayMs`. */
  latePerThousand = 0;
  maxExtraDelayMs = 0;

  constructor(
    private readonly time: virtualTime.VirtualTime,
    private readonly random: randomSource.RandomSource,
  ) {}

  /** Cuts or joins two zones; the empty name is the platform. */
  setPartitioned(left: string, right: string, cut: boolean): void {
    const key = [left, right].sort().join('|');
    if (cut) this.partitions.add(key);
    else this.partitions.delete(key);
  }

  /** Joins everything and loses nothing from now on. */
  heal(): void {
    this.partitions.clear();
    this.lossPerThousand = 0;
    this.latePerThousand = 0;
  }

  /** Delivers a one-way message. */
  send(from: Endpoint, to: Endpoint, deliver: () => void): void {
    const key = [from.zone, to.zone].sort().join('|');
    if (this.partitions.has(key)) return;
    if (this.random.below(1_000) < this.lossPerThousand) return;
    this.time.after(this.latencyMs(from, to), deliver);
  }

  /**
   * Sends a call and its answer; `failed` is called once when no answer came
   * within the deadline, whether or not the call took effect.
   */
  call<Answer>(
    from: Endpoint,
    to: Endpoint,
    serve: (respond: (answer: Answer) => void) => void,
    answered: (answer: Answer) => void,
    failed: () => void,
    deadlineMs = DEFAULT_CALL_TIMEOUT_MS,
  ): void {
    let settled = false;
    this.time.after(deadlineMs, () => {
      if (settled) return;
      settled = true;
      failed();
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

  private latencyMs(from: Endpoint, to: Endpoint): number {
    const base =
      from.zone === to.zone ? IN_ZONE_LATENCY_MS : CROSS_ZONE_LATENCY_MS;
    const late = this.random.below(1_000) < this.latePerThousand;
    const extra = late ? this.random.below(this.maxExtraDelayMs + 1) : 0;
    return base + this.random.below(10) / 10 + extra;
  }
}
