import type * as adviceCache from '../jobs/advice_cache.js';
import type * as adviceBalancer from '../jobs/advice_balancer.js';
import type * as cellMember from './cell_member.js';
import type * as cellPeers from './cell_peers.js';
import type * as clock from '../machines/clock.js';

/** A member that was heard within this time can ask for advice. */
const MEMBER_LIVENESS_TIMEOUT_MS = 2_000;

/** The members over whose VMs the advice service is asked. */
export class AdviceRelays {
  private readonly lastContactAt = new Map<string, clock.Milliseconds>();

  constructor(
    private readonly clock: clock.Clock,
    /** Asks from the own VM. */
    private readonly localService: adviceCache.AdviceService,
    private readonly peers: cellPeers.CellPeers,
  ) {}

  /** A ping of the member or its answer to one has arrived. */
  recordContact(address: string): void {
    this.lastContactAt.set(address, this.clock.now());
  }

  /** The living ones of `members`, and this process itself. */
  availableSites(
    members: ReadonlyArray<cellMember.CellMember>,
  ): ReadonlyArray<adviceBalancer.AdviceEndpoint> {
    const now = this.clock.now();
    const alive = members.filter(({address}) => {
      const lastContactAt = this.lastContactAt.get(address) ?? -Infinity;
      return now - lastContactAt < MEMBER_LIVENESS_TIMEOUT_MS;
    });
    return [...alive, {address: undefined}];
  }

  /** Asks over a member; `address` is undefined for this process. */
  ask(
    address: string | undefined,
    step: string,
    workerIds: ReadonlyArray<string>,
    timeoutMs: number,
  ): Promise<adviceCache.AdviceOutcome> {
    return address === undefined
      ? this.localService.ask(step, workerIds, timeoutMs)
      : this.peers.advise(address, step, workerIds, timeoutMs);
  }
}
