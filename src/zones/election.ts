import type * as cellMember from './cell_member.js';
import type * as clock from '../machines/clock.js';

/** What a ping to the scheduler brought. */
export interface Pong {
  readonly incarnation: string;
  readonly leading: boolean;
  readonly resigning: boolean;
  readonly storeSilentMs: number;
}

/** Silence of the scheduler after which it counts as lost. */
const SILENCE_MS = 900;

/** Time that a scheduler has to take over before it is replaced. */
const TAKEOVER_MS = 2_500;

/** Silence of the store at the scheduler after which another one tries. */
const STORE_SILENCE_MS = 1_000;

/** Head start of each rank over the next. */
const RANK_STEP_MS = 200;

/** Ranks from this one on claim at the same time. */
const LAST_RANK = 4;

/**
 * A member with less than this part of the strongest one's processors is weak:
 * it takes seconds to take over and does not keep up after that.
 */
const WEAK_SHARE = 0.5;

/** Time for which weak members leave the claim to the others. */
const WEAK_DELAY_MS = 1_000;

/**
 * Members up to which the times above hold. A scheduler of a larger cell is
 * busy for longer at a time and gets as much more of it: each change of the
 * scheduler stops all starts and makes the next one just as busy.
 */
const USUAL_MEMBERS = 18;

/** Pause between claims of one process. */
const CLAIM_PAUSE_MS = 600;

/**
 * Decides when this process claims to be the scheduler. The log's order makes
 * two schedulers of one term impossible, so that a claim too many costs only a
 * takeover; what counts here is to claim soon after a loss and not without one.
 */
export class Election {
  private readonly members = new Map<string, cellMember.CellMember>();
  private newest: cellMember.Claim | undefined;
  private newestSince: clock.Milliseconds;
  private lastPongAt: clock.Milliseconds;
  /** Since when there is a reason to replace the scheduler. */
  private reasonSince: clock.Milliseconds | undefined;
  private lastClaimAt = -Infinity;
  private pingsInDoubt = 0;
  private storeIsDoubted = false;
  private logEnd = 0;
  /** Where the log ended in the view in which a claim came second. */
  private lostAtEnd: number | undefined;

  constructor(
    private readonly self: cellMember.CellMember,
    now: clock.Milliseconds,
  ) {
    this.newestSince = now;
    this.lastPongAt = now;
  }

  get claim(): cellMember.Claim | undefined {
    return this.newest;
  }

  get leads(): boolean {
    return this.newest?.incarnation === this.self.incarnation;
  }

  /** All other members that are listed. */
  get peers(): ReadonlyArray<cellMember.CellMember> {
    return [...this.members.values()].filter(
      member => member.address !== this.self.address,
    );
  }

  /** The log lists a member; a later entry of the same address replaces it. */
  listMember(member: cellMember.CellMember): void {
    this.members.set(member.address, member);
  }

  /** Takes a claim from the log or a peer; true when it is the newest. */
  takeClaim(claim: cellMember.Claim, now: clock.Milliseconds): boolean {
    if (this.newest !== undefined && claim.term <= this.newest.term) {
      return false;
    }
    this.newest = claim;
    this.newestSince = now;
    this.lastPongAt = now;
    this.reasonSince = undefined;
    return true;
  }

  /** The scheduler answered a ping. */
  takePong(pong: Pong, now: clock.Milliseconds): void {
    this.lastPongAt = now;
    const other = this.reasonIn(pong, now);
    const silent = pong.storeSilentMs > STORE_SILENCE_MS;
    this.storeIsDoubted = silent && !other;
    if (other || silent) this.reasonSince ??= now;
    else this.reasonSince = undefined;
  }

  /** Nothing listens where the scheduler was. */
  takeRefusal(now: clock.Milliseconds): void {
    this.reasonSince ??= now;
  }

  /** Times the usual time that the scheduler has to answer or to take over. */
  get patience(): number {
    return Math.max(1, this.members.size / USUAL_MEMBERS);
  }

  /** Tells whether there is a reason to replace the scheduler. */
  isDoubted(now: clock.Milliseconds): boolean {
    return this.reason(now) !== undefined;
  }

  /** A later claim exists that is not known yet: this one counts no more. */
  disown(): void {
    if (this.leads && this.newest !== undefined) {
      this.newest = {...this.newest, incarnation: ''};
    }
  }

  /** Where the log ended when it was last read. */
  get end(): number {
    return this.logEnd;
  }

  /** The log was read up to `end`. */
  logEndsAt(end: number): void {
    this.logEnd = end;
  }

  /**
   * Another record came before a claim made at `end`: it may be tried again as
   * soon as that record is read.
   */
  claimLost(end: number): void {
    this.lastClaimAt = -Infinity;
    this.lostAtEnd = end;
  }

  /** The scheduler is well but for the store's silence towards it. */
  doubtsOnlyStore(now: clock.Milliseconds): boolean {
    return (
      this.storeIsDoubted && now < this.lastPongAt + SILENCE_MS * this.patience
    );
  }

  /** Position of this process among those that may succeed. */
  get rank(): number {
    const candidates = [...this.members.values()]
      .filter(member => member.incarnation !== this.newest?.incarnation)
      .sort(
        (left, right) =>
          right.processors - left.processors ||
          (left.address < right.address ? -1 : 1),
      );
    const position = candidates.findIndex(
      member => member.address === this.self.address,
    );
    return position < 0 ? candidates.length : position;
  }

  /**
   * Address to ping next: the scheduler's, or while it is in doubt every other
   * time another member's, which may know a later claim.
   */
  nextToPing(now: clock.Milliseconds): string | undefined {
    if (this.leads) return undefined;
    const claimed = this.newest?.address;
    const leader = claimed === this.self.address ? undefined : claimed;
    if (leader !== undefined && !this.isDoubted(now)) return leader;
    const {peers} = this;
    this.pingsInDoubt += 1;
    if (peers.length === 0 || this.pingsInDoubt % 2 === 0) return leader;
    return peers[Math.floor(this.pingsInDoubt / 2) % peers.length].address;
  }

  /** Tells whether to claim now, and notes that it was done. */
  takeTurn(now: clock.Milliseconds): boolean {
    if (this.leads || this.lostAtEnd === this.logEnd) return false;
    const since = this.reason(now);
    if (since === undefined) return false;
    const delay = Math.min(this.rank, LAST_RANK) * RANK_STEP_MS;
    const weakDelay = this.isWeak() ? WEAK_DELAY_MS : 0;
    if (now < since + delay + weakDelay) return false;
    if (now < this.lastClaimAt + CLAIM_PAUSE_MS) return false;
    this.lastClaimAt = now;
    return true;
  }

  private isWeak(): boolean {
    let most = 0;
    for (const {processors} of this.members.values()) {
      most = Math.max(most, processors);
    }
    return this.self.processors < WEAK_SHARE * most;
  }

  /** Since when a new scheduler is needed; undefined while none is. */
  private reason(now: clock.Milliseconds): clock.Milliseconds | undefined {
    if (this.newest === undefined) return this.newestSince;
    // This process was the scheduler before it was started again.
    if (this.newest.address === this.self.address) return this.newestSince;
    if (this.reasonSince !== undefined) return this.reasonSince;
    const silentSince = this.lastPongAt + SILENCE_MS * this.patience;
    return now >= silentSince ? silentSince : undefined;
  }

  private reasonIn(pong: Pong, now: clock.Milliseconds): boolean {
    if (pong.incarnation !== this.newest?.incarnation) return true;
    if (pong.resigning) return true;
    const takeoverMs = TAKEOVER_MS * this.patience;
    return !pong.leading && now - this.newestSince > takeoverMs;
  }
}
