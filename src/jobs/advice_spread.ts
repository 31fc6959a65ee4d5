import type * as adviceBook from './advice_book.js';
import type * as clock from '../machines/clock.js';

/** A VM from which the advice service can be asked. */
export interface AdviceSite {
  /** Undefined for this process itself. */
  readonly address: string | undefined;
}

/** Asks over one site. */
export type AskOver = (
  address: string | undefined,
  step: string,
  workerIds: ReadonlyArray<string>,
  timeoutMs: number,
) => Promise<adviceBook.AdviceOutcome>;

/** Calls that take longer are kept off the sites for short ones. */
const SHORT_CALL_MS = 150;

/** One site in so many takes only short calls. */
const SITES_PER_SHORT_SITE = 4;

/**
 * Work that a site may still have when the next call is sent there: about the
 * time of a call's way there and back, so that the service does not stand idle
 * for this VM between two calls.
 */
const QUEUE_AHEAD_MS = 100;

/** How long a site that gave no answer is left out. */
const SILENT_PAUSE_MS = 2_000;

/** Time beyond the expected answer after which a call is given up. */
const ANSWER_SLACK_MS = 1_200;

interface SiteLoad {
  /** When the service will have answered all calls that are out. */
  freeAt: clock.Milliseconds;
  callsOut: number;
  pausedUntil: clock.Milliseconds;
}

/**
 * Spreads calls for advice over VMs, because the service handles one call at a
 * time for each VM. A short call never waits behind many long ones.
 */
export class AdviceSpread implements adviceBook.AdviceCalls {
  private readonly loads = new Map<string | undefined, SiteLoad>();

  constructor(
    private readonly sites: () => ReadonlyArray<AdviceSite>,
    private readonly askOver: AskOver,
    private readonly clock: clock.Clock,
  ) {}

  accepts(expectedMs: number): boolean {
    return this.leastLoaded(expectedMs) !== undefined;
  }

  async ask(
    step: string,
    workerIds: ReadonlyArray<string>,
    expectedMs: number,
  ): Promise<adviceBook.AdviceOutcome> {
    const site = this.leastLoaded(expectedMs);
    if (site === undefined) return {kind: 'busy'};
    const load = this.load(site.address);
    const now = this.clock.now();
    load.freeAt = Math.max(load.freeAt, now) + expectedMs;
    load.callsOut += 1;
    // Calls that are out over the same site are answered first.
    const patience = load.freeAt - now + ANSWER_SLACK_MS;
    const outcome = await this.askOver(site.address, step, workerIds, patience);
    load.callsOut -= 1;
    if (load.callsOut === 0) load.freeAt = this.clock.now();
    if (outcome.kind === 'unanswered') {
      load.pausedUntil = this.clock.now() + SILENT_PAUSE_MS;
    }
    return outcome;
  }

  private leastLoaded(expectedMs: number): AdviceSite | undefined {
    const now = this.clock.now();
    const all = this.sites();
    const short = expectedMs <= SHORT_CALL_MS;
    const reserved = Math.floor(all.length / SITES_PER_SHORT_SITE);
    const usable = short ? all : all.slice(reserved);
    let best: AdviceSite | undefined;
    let bestStart = now + QUEUE_AHEAD_MS;
    for (const site of usable) {
      const {freeAt, pausedUntil} = this.load(site.address);
      const start = Math.max(freeAt, now);
      if (pausedUntil > now || start >= bestStart) continue;
      best = site;
      bestStart = start;
    }
    return best;
  }

  private load(address: string | undefined): SiteLoad {
    const known = this.loads.get(address);
    if (known !== undefined) return known;
    const opened: SiteLoad = {
      freeAt: -Infinity,
      callsOut: 0,
      pausedUntil: -Infinity,
    };
    this.loads.set(address, opened);
    return opened;
  }
}
