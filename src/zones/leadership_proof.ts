import * as earlierLeases from '../jobs/earlier_leases.js';
import type * as clock from '../machines/clock.js';
import type * as workerWitnesses from './worker_witnesses.js';

/** What allows a leader to act. */
export type ProofBasis =
  /** The cell's log, by a record stored or a read. */
  | 'store'
  /** All members that it knows. */
  | 'allMembers'
  /** A majority of the members, for a limited time without the store. */
  | 'majority'
  | 'none';

/**
 * Proof that no later term existed at a recent time, so that this process may
 * lead. Times are those at which the source was asked, on this process's clock,
 * so that an answer which waited to be read proves nothing newer.
 */
export class LeadershipProof {
  private storeProvedAt: clock.Milliseconds = -Infinity;
  private readonly memberProvedAt = new Map<string, clock.Milliseconds>();
  private acceptedFrom: clock.Milliseconds = -Infinity;

  /** Discards the proofs of an earlier term of this process. */
  beginTerm(): void {
    this.storeProvedAt = -Infinity;
    this.memberProvedAt.clear();
  }

  /** Records that the cell's log held no later claim at `provedAt`. */
  proveByStore(provedAt: clock.Milliseconds): void {
    if (provedAt < this.acceptedFrom) return;
    this.storeProvedAt = Math.max(this.storeProvedAt, provedAt);
  }

  /** Records that a member knew no later term at `provedAt`. */
  proveByMember(address: string, provedAt: clock.Milliseconds): void {
    if (provedAt < this.acceptedFrom) return;
    const known = this.memberProvedAt.get(address) ?? -Infinity;
    this.memberProvedAt.set(address, Math.max(known, provedAt));
  }

  /** Voids all proofs that were given for times before `time`. */
  voidBefore(time: clock.Milliseconds): void {
    this.acceptedFrom = time;
    this.beginTerm();
  }

  /** Latest time at which the cell's log is known to have held no later claim. */
  get provedByStoreAt(): clock.Milliseconds {
    return this.storeProvedAt;
  }

  /**
   * Returns the latest time at which neither the cell's log nor any of the
   * members, given the addresses of all others, knew a later term. A member that
   * has joined since this process last read the log may have claimed.
   */
  provedAt(peers: ReadonlyArray<string>): clock.Milliseconds {
    let provedByAll = peers.length === 0 ? -Infinity : Infinity;
    for (const address of peers) {
      provedByAll = Math.min(provedByAll, this.provedByMemberAt(address));
    }
    return Math.max(this.storeProvedAt, provedByAll);
  }

  /** Returns whether the cell's log alone allows this process to act. */
  isProvedByStore(now: clock.Milliseconds): boolean {
    return isRecent(this.storeProvedAt, now);
  }

  /**
   * Returns what allows this process to grant leases and start tasks. A
   * successor waits until the last such permission has ended. Without the log, a
   * leader that heeds witnesses needs their word, too; then a majority of the
   * members counts as long as all of them would.
   */
  basis(
    peers: ReadonlyArray<string>,
    now: clock.Milliseconds,
    witnessWord: workerWitnesses.WitnessWord = 'unnamed',
  ): ProofBasis {
    if (this.isProvedByStore(now)) return 'store';
    if (witnessWord === 'noQuorum') return 'none';
    const withoutStoreMs = now - this.storeProvedAt;
    const mayRelyOnAll =
      withoutStoreMs < earlierLeases.ALL_MEMBERS_PROOF_LIMIT_MS;
    if (mayRelyOnAll && isRecent(this.provedAt(peers), now)) {
      return 'allMembers';
    }
    const isBounded =
      witnessWord === 'quorum'
        ? mayRelyOnAll
        : withoutStoreMs < earlierLeases.MAJORITY_PROOF_LIMIT_MS;
    return isBounded && this.hasMajority(peers, now) ? 'majority' : 'none';
  }

  /** When the word of a witness has to have been asked for, to count at `now`. */
  witnessLimits(now: clock.Milliseconds): workerWitnesses.WitnessLimits {
    const expiredAt = now - earlierLeases.LEADERSHIP_PROOF_LIFETIME_MS;
    return {
      provedByStoreAt: this.storeProvedAt,
      askedAfter: Math.max(expiredAt, this.acceptedFrom),
    };
  }

  private hasMajority(
    peers: ReadonlyArray<string>,
    now: clock.Milliseconds,
  ): boolean {
    const provedBy = peers.filter(address =>
      isRecent(this.provedByMemberAt(address), now),
    );
    // A leader alone has nobody who would know of a successor.
    const hasGrantor = provedBy.length > 0;
    return hasGrantor && 2 * (provedBy.length + 1) > peers.length + 1;
  }

  /** Returns the latest time at which a member knew no later term. */
  provedByMemberAt(address: string): clock.Milliseconds {
    return this.memberProvedAt.get(address) ?? -Infinity;
  }
}

function isRecent(
  provedAt: clock.Milliseconds,
  now: clock.Milliseconds,
): boolean {
  return now - provedAt < earlierLeases.LEADERSHIP_PROOF_LIFETIME_MS;
}
