import type * as adviceCache from './advice_cache.js';
import type * as clock from '../machines/clock.js';

/** A VM from which the advice service can be asked. */
export interface AdviceEndpoint {
  /** Undefined for this process itself. */
  readonly address: string | undefined;
}

/** Asks over one site. */
export type AskThroughEndpoint = (
  address: string | undefined,
  step: string,
  workerIds: ReadonlyArray<string>,
  timeoutMs: number,
) => Promise<adviceCache.AdviceOutcome>;

/** Calls that take longer are kept off the sites for short ones. */
const SHORT_CALL_LIMIT_MS = 150;

/** One site in so many takes only short calls. */
const ENDPOINTS_PER_RESERVED_ENDPOINT = 4;

/**
 * Work that a site may still have when the next call is sent there: about the
 * time of a call's way there and back, so that the service does not stand idle
 * for this VM between two calls.
 */
const MAXIMUM_QUEUED_MS = 100;

/** How long a site that gave no answer is left out. */
const UNANSWERED_BACKOFF_MS = 2_000;

/** Time beyond the expected answer after which a call is given up. */
const ANSWER_TIMEOUT_MARGIN_MS = 1_200;

interface EndpointLoad {
  /** When the service will have answered all calls that are out. */
  idleAt: clock.Milliseconds;
  callsInFlight: number;
  backoffUntil: clock.Milliseconds;
}

/**
 * Spreads calls for advice over VMs, because the service handles one call at a
 * time for each VM. A short call never waits behind many long ones.
 */
export class AdviceBalancer implements adviceCache.AdviceClient {
  private readonly loads = new Map<string | undefined, EndpointLoad>();

  constructor(
    private readonly endpoints: () => ReadonlyArray<AdviceEndpoint>,
    private readonly askThroughEndpoint: AskThroughEndpoint,
    private readonly clock: clock.Clock,
  ) {}

  accepts(expectedMs: number): boolean {
    return this.leastLoaded(expectedMs) !== undefined;
  }

  async ask(
    step: string,
    workerIds: ReadonlyArray<string>,
    expectedMs: number,
  ): Promise<adviceCache.AdviceOutcome> {
    const endpoint = this.leastLoaded(expectedMs);
    if (endpoint === undefined) return {kind: 'busy'};
    const load = this.load(endpoint.address);
    const now = this.clock.now();
    load.idleAt = Math.max(load.idleAt, now) + expectedMs;
    load.callsInFlight += 1;
    // Calls that are out over the same site are answered first.
    const timeoutMs = load.idleAt - now + ANSWER_TIMEOUT_MARGIN_MS;
    const outcome = await this.askThroughEndpoint(
      endpoint.address,
      step,
      workerIds,
      timeoutMs,
    );
    load.callsInFlight -= 1;
    if (load.callsInFlight === 0) load.idleAt = this.clock.now();
    if (outcome.kind === 'unanswered') {
      load.backoffUntil = this.clock.now() + UNANSWERED_BACKOFF_MS;
    }
    return outcome;
  }

  private leastLoaded(expectedMs: number): AdviceEndpoint | undefined {
    const now = this.clock.now();
    const all = this.endpoints();
    const isShort = expectedMs <= SHORT_CALL_LIMIT_MS;
    const reservedCount = Math.floor(
      all.length / ENDPOINTS_PER_RESERVED_ENDPOINT,
    );
    const usable = isShort ? all : all.slice(reservedCount);
    let best: AdviceEndpoint | undefined;
    let bestStartAt = now + MAXIMUM_QUEUED_MS;
    for (const endpoint of usable) {
      const {idleAt, backoffUntil} = this.load(endpoint.address);
      const startAt = Math.max(idleAt, now);
      if (backoffUntil > now || startAt >= bestStartAt) continue;
      best = endpoint;
      bestStartAt = startAt;
    }
    return best;
  }

  private load(address: string | undefined): EndpointLoad {
    const known = this.loads.get(address);
    if (known !== undefined) return known;
    const opened: EndpointLoad = {
      idleAt: -Infinity,
      callsInFlight: 0,
      backoffUntil: -Infinity,
    };
    this.loads.set(address, opened);
    return opened;
  }
}
