import type * as adviceCache from '../jobs/advice_cache.js';
import type * as adviceBalancer from '../jobs/advice_balancer.js';
import type * as cellMember from './cell_member.js';
import type * as cellPeers from './cell_peers.js';
import type * as memberContacts from './member_contacts.js';

/** A member counts as alive for this long after its last ping or reply. */
const MEMBER_LIVENESS_TIMEOUT_MS = 2_000;

/** Chooses the cell members that call the advice service for this process. */
export class AdviceEndpoints {
  constructor(
    private readonly contacts: memberContacts.MemberContacts,
    /** Calls the advice service from the VM of this process. */
    private readonly localClient: adviceCache.LocalAdviceClient,
    private readonly peers: cellPeers.CellPeers,
  ) {}

  /** Returns endpoints for the live ones of `members` and for this process. */
  available(
    members: ReadonlyArray<cellMember.CellMember>,
  ): ReadonlyArray<adviceBalancer.AdviceEndpoint> {
    const alive = this.contacts.heardWithin(
      members,
      MEMBER_LIVENESS_TIMEOUT_MS,
    );
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
