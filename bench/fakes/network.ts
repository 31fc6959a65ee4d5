import type * as randomSource from '../../src/machines/random_source.js';
import type * as timeline from './timeline.js';

/** Where an end of a message stands. */
export interface Place {
  readonly name: string;
  /** Empty for the platform, which stands in no zone. */
  readonly zone: string;
}

/** Latencies in milliseconds, one way. */
const IN_ZONE_MS = 0.2;
const BETWEEN_ZONES_MS = 0.5;

/** Time after which a caller gives an answer up. */
const DEADLINE_MS = 2_000;

/** Delivers messages late, or not at all, over links that can be cut. */
export class FakeNetwork {
  private readonly cuts = new Set<string>();
  /** Messages lost per thousand. */
  lossPerThousand = 0;
  /** Answers that come late per thousand, by up to `longestDelayMs`. */
  latePerThousand = 0;
  longestDelayMs = 0;

  constructor(
    private readonly time: timeline.Timeline,
    private readonly random: randomSource.RandomSource,
  ) {}

  /** Cuts or joins two zones; the empty name is the platform. */
  setCut(left: string, right: string, cut: boolean): void {
    const key = [left, right].sort().join('|');
    if (cut) this.cuts.add(key);
    else this.cuts.delete(key);
  }

  /** Joins everything and loses nothing from now on. */
  heal(): void {
    this.cuts.clear();
    this.lossPerThousand = 0;
    this.latePerThousand = 0;
  }

  /** Delivers a one-way message. */
  send(from: Place, to: Place, deliver: () => void): void {
    const key = [from.zone, to.zone].sort().join('|');
    if (this.cuts.has(key)) return;
    if (this.random.below(1_000) < this.lossPerThousand) return;
    this.time.after(this.delay(from, to), deliver);
  }

  /**
   * Sends a call and its answer; `failed` is called once when no answer came
   * within the deadline, whether or not the call took effect.
   */
  call<Answer>(
    from: Place,
    to: Place,
    serve: (respond: (answer: Answer) => void) => void,
    answered: (answer: Answer) => void,
    failed: () => void,
    deadlineMs = DEADLINE_MS,
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

  private delay(from: Place, to: Place): number {
    const base = from.zone === to.zone ? IN_ZONE_MS : BETWEEN_ZONES_MS;
    const late = this.random.below(1_000) < this.latePerThousand;
    const extra = late ? this.random.below(this.longestDelayMs + 1) : 0;
    return base + this.random.below(10) / 10 + extra;
  }
}
