import type * as adviceCache from './advice_cache.js';
import type * as clock from '../machines/clock.js';

/** A VM through which the advice service can be called. */
export interface AdviceEndpoint {
  /** Undefined for the VM of this process. */
  readonly address: string | undefined;
}

/** Calls the advice service through the VM at `address`. */
export type AskThroughEndpoint = (
  address: string | undefined,
  step: string,
  workerIds: ReadonlyArray<string>,
  timeoutMs: number,
) => Promise<adviceCache.AdviceOutcome>;

/** Calls that take longer are not sent to endpoints reserved for short ones. */
const SHORT_CALL_LIMIT_MS = 150;

/** One of this many endpoints is reserved for short calls. */
const ENDPOINTS_PER_RESERVED_ENDPOINT = 4;

/**
 * Service time that may still be outstanding at an endpoint when the next call
 * is sent there. It is about a round trip, so that the service is not idle for
 * the endpoint's VM between two calls.
 */
const MAXIMUM_QUEUED_MS = 100;

/** How long an endpoint that did not answer is skipped. */
const UNANSWERED_BACKOFF_MS = 2_000;

/** Time after the expected answer at which a call times out. */
const ANSWER_TIMEOUT_MARGIN_MS = 1_200;

interface EndpointLoad {
  /** When the service is expected to have answered all calls in flight. */
  idleAt: clock.Milliseconds;
  callsInFlight: number;
  backoffUntil: clock.Milliseconds;
}

/**
 * Balances calls to the advice service over VMs, because the service handles
 * one call at a time for each VM. Some VMs are reserved for short calls, so
 * that these do not queue behind long ones.
 */
export class AdviceBalancer implements adviceCache.CellAdviceClient {
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
    const load = this.loadOf(endpoint.address);
    const now = this.clock.now();
    load.idleAt = Math.max(load.idleAt, now) + expectedMs;
    load.callsInFlight += 1;
    // Calls already in flight through this endpoint are answered first.
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
      const {idleAt, backoffUntil} = this.loadOf(endpoint.address);
      const startAt = Math.max(idleAt, now);
      if (backoffUntil > now || startAt >= bestStartAt) continue;
      best = endpoint;
      bestStartAt = startAt;
    }
    return best;
  }

  private loadOf(address: string | undefined): EndpointLoad {
    const existing = this.loads.get(address);
    if (existing !== undefined) return existing;
    const created: EndpointLoad = {
      idleAt: -Infinity,
      callsInFlight: 0,
      backoffUntil: -Infinity,
    };
    this.loads.set(address, created);
    return created;
  }
}
