import type * as adviceCache from '../jobs/advice_cache.js';
import type * as adviceBalancer from '../jobs/advice_balancer.js';
import type * as cellMember from './cell_member.js';
import type * as cellPeers from './cell_peers.js';
import type * as clock from '../machines/clock.js';

/** A member counts as alive for this long after its last ping or reply. */
const MEMBER_LIVENESS_TIMEOUT_MS = 2_000;

/** Tracks which cell members can call the advice service for this process. */
export class AdviceEndpoints {
  private readonly lastContactAt = new Map<string, clock.Milliseconds>();

  constructor(
    private readonly clock: clock.Clock,
    /** Calls the advice service from the VM of this process. */
    private readonly localClient: adviceCache.LocalAdviceClient,
    private readonly peers: cellPeers.CellPeers,
  ) {}

  /** Records that a ping from the member, or its reply to one, arrived. */
  recordContact(address: string): void {
    this.lastContactAt.set(address, this.clock.now());
  }

  /** Returns endpoints for the live ones of `members` and for this process. */
  available(
    members: ReadonlyArray<cellMember.CellMember>,
  ): ReadonlyArray<adviceBalancer.AdviceEndpoint> {
    const now = this.clock.now();
    const alive = members.filter(({address}) => {
      const lastContactAt = this.lastContactAt.get(address) ?? -Infinity;
      return now - lastContactAt < MEMBER_LIVENESS_TIMEOUT_MS;
    });
    return [...alive, {address: undefined}];
  }

  /** Calls the advice service through a member, or directly without one. */
  ask(
    address: string | undefined,
    step: string,
    workerIds: ReadonlyArray<string>,
    timeoutMs: number,
  ): Promise<adviceCache.AdviceOutcome> {
    return address === undefined
      ? this.localClient.ask(step, workerIds, timeoutMs)
      : this.peers.advise(address, step, workerIds, timeoutMs);
  }
}
