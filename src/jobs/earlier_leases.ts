import * as remoteWorker from '../machines/remote_worker.js';
import type * as clock from '../machines/clock.js';

/**
 * Duration of the leases that a scheduler grants. After a succession the tasks of
 * a lost worker wait for the permission of the leader before and for such a lease,
 * and callers take them for lost after 7 s of calm.
 */
export const LEASE_DURATION_MS = 4_400;

/** How long a leader may act after the time for which its proof was given. */
export const LEADERSHIP_PROOF_LIFETIME_MS = 2_000;

/**
 * How long after its last proof by the cell's log a leader may act on the word
 * of a majority of the members alone.
 */
export const MAJORITY_PROOF_LIMIT_MS = 20_000;

/**
 * How long after its last proof by the cell's log a leader may act on the word
 * of all members. It outlasts an outage of hours, and bounds the wait for a
 * leader whose members are all gone.
 */
export const ALL_MEMBERS_PROOF_LIMIT_MS = 2 * 3_600_000;

/** Largest ratio of two clocks' rates, and an allowance for late timers. */
const CLOCK_RATE_RATIO = 1.03;
const TIMER_MARGIN_MS = 300;

/** Duration of a lease on a clock that runs slow, with late timers. */
const LONGEST_LEASE_MS = LEASE_DURATION_MS * CLOCK_RATE_RATIO + TIMER_MARGIN_MS;

/** Largest difference between the times of day of two VMs. */
const MAXIMUM_CLOCK_SKEW_MS = 5_000;

/** What the witnesses of earlier leaders tell; see `WorkerWitnesses`. */
export interface WitnessKnowledge {
  /** Which of the earlier leaders that may act heed witnesses. */
  readonly heededBy: 'none' | 'some' | 'all';
  /** When a majority of them knew this term; undefined until then. */
  readonly informedAt: clock.Milliseconds | undefined;
}

/** What a new term knows of the leaders before it. */
export interface EarlierTerms {
  /** Latest time at which no later term than this one existed. */
  readonly provedLeaderAt: () => clock.Milliseconds;
  /**
   * When a majority of the members knew this term, so that no earlier leader
   * finds a majority that doesn't; undefined until then.
   */
  readonly majorityInformedAt: () => clock.Milliseconds | undefined;
  /**
   * When a member that all earlier leaders know and need knew this term; undefined until
   * then. They may act for as long as they hear all members that they know.
   */
  readonly grantorInformedAt: () => clock.Milliseconds | undefined;
  /** What the witnesses tell; undefined if no earlier leader heeds any. */
  readonly witnesses?: () => WitnessKnowledge;
}

/**
 * Bound on how long the leases of earlier terms may last on workers that this
 * term can't reach. No task that may run on such a worker is started before.
 *
 * An earlier leader acts on what the cell's log showed before this term's claim,
 * or on the word of the members. Of a majority of these, one knows
 * this term as soon as a majority was told of it; without the log, the word of a
 * majority counts for a limited time only. The word of all members counts until
 * one of them knows this term, or for hours.
 *
 * An earlier leader that heeds witnesses needs a majority of the members and one
 * of the witnesses. Either of them ends its permission, so that members which
 * are gone for good don't prolong it.
 */
export class EarlierLeases {
  constructor(
    private readonly clock: clock.Clock,
    /** When this term began. */
    private readonly beganAt: clock.Milliseconds,
    private readonly earlierTerms: EarlierTerms,
    /** Returns Unix time in milliseconds, as workers tell their starts. */
    private readonly wallClock: () => number = () => clock.now(),
  ) {}

  /** Whether no leader of an earlier term may grant leases any more. */
  get permissionsHaveEnded(): boolean {
    return this.clock.now() >= this.lastPermissionEndsAt;
  }

  /** Whether no lease of an earlier term can last, nor of a later one. */
  get haveExpired(): boolean {
    return this.isOver(this.expireAt);
  }

  /**
   * Returns the same for a worker that this term has not reached. If it has come
   * back under its id, calls that were meant for its last incarnation may have
   * granted it longer leases.
   */
  haveExpiredOn(worker: remoteWorker.RemoteWorker): boolean {
    const foreignUntil = this.foreignLeasesExpireAt(worker);
    return this.isOver(Math.max(this.expireAt, foreignUntil));
  }

  private foreignLeasesExpireAt(
    worker: remoteWorker.RemoteWorker,
  ): clock.Milliseconds {
    const now = this.clock.now();
    switch (worker.foreignLeases(now)) {
      case 'none':
        return -Infinity;
      case 'ending':
        // They were granted before an earlier term stored that it had reached
        // the worker.
        return this.beganAt + remoteWorker.LONGEST_LEASE_MS;
      case 'possible': {
        const ageMs = this.wallClock() - worker.entry.born;
        const bornAt = now - ageMs + MAXIMUM_CLOCK_SKEW_MS;
        return Math.min(
          bornAt + remoteWorker.FOREIGN_LEASE_MS,
          this.lastPermissionEndsAt + remoteWorker.LATE_LEASE_MS,
        );
      }
    }
  }

  private get expireAt(): clock.Milliseconds {
    return this.lastPermissionEndsAt + LONGEST_LEASE_MS;
  }

  private isOver(expireAt: clock.Milliseconds): boolean {
    if (this.clock.now() < expireAt) return false;
    // A later term may have extended them.
    return this.earlierTerms.provedLeaderAt() >= expireAt;
  }

  /** When no leader of an earlier term may grant leases any more. */
  private get lastPermissionEndsAt(): clock.Milliseconds {
    const {heededBy = 'none', informedAt} =
      this.earlierTerms.witnesses?.() ?? {};
    switch (heededBy) {
      case 'none':
        return this.memberPermissionEndsAt;
      case 'some':
        return Math.max(
          this.memberPermissionEndsAt,
          this.witnessedPermissionEndsAt(informedAt),
        );
      case 'all':
        return this.witnessedPermissionEndsAt(informedAt);
    }
  }

  /** When the permission of a leader ends that needs witnesses as well. */
  private witnessedPermissionEndsAt(
    witnessesInformedAt: clock.Milliseconds | undefined,
  ): clock.Milliseconds {
    const majorityInformedAt = this.earlierTerms.majorityInformedAt();
    const informedAt = Math.min(
      witnessesInformedAt ?? Infinity,
      majorityInformedAt ?? Infinity,
    );
    return Math.min(
      informedAt + LEADERSHIP_PROOF_LIFETIME_MS,
      this.beganAt + ALL_MEMBERS_PROOF_LIMIT_MS * CLOCK_RATE_RATIO,
    );
  }

  /** When the permission of a leader ends that needs the members alone. */
  private get memberPermissionEndsAt(): clock.Milliseconds {
    const {grantorInformedAt, majorityInformedAt} = this.earlierTerms;
    const allHeardUntil = Math.min(
      (grantorInformedAt() ?? Infinity) + LEADERSHIP_PROOF_LIFETIME_MS,
      this.beganAt + ALL_MEMBERS_PROOF_LIMIT_MS * CLOCK_RATE_RATIO,
    );
    const majorityHeardUntil = Math.min(
      (majorityInformedAt() ?? Infinity) + LEADERSHIP_PROOF_LIFETIME_MS,
      this.beganAt + MAJORITY_PROOF_LIMIT_MS * CLOCK_RATE_RATIO,
    );
    return Math.max(allHeardUntil, majorityHeardUntil);
  }
}
