import * as resources from '../machines/resources.js';
import type * as clock from '../machines/clock.js';
import type * as fairShare from './fair_share.js';
import type * as placementPolicy from './placement_policy.js';
import type * as worker from '../machines/worker.js';

/** Loans that one search looks at; bounds the cost of a turn. */
const LOANS_EXAMINED = 16;

/** A running task that can be checkpointed to take its room back. */
export interface Loan {
  readonly task: string;
  readonly team: string;
  readonly worth: number;
  readonly size: resources.Resources;
  readonly worker: worker.Worker;
  readonly expectedRunMs: clock.Milliseconds;
}

/** The tasks to checkpoint so that a request fits onto a worker. */
export interface ReclaimChoice {
  readonly worker: worker.Worker;
  readonly loans: ReadonlyArray<Loan>;
}

interface Need {
  readonly job: placementPolicy.PendingJob;
  /** Level of the claiming team with the room that it claims. */
  readonly level: number;
  mayUse(candidate: worker.Worker): boolean;
}

/** Running tasks whose room other teams may take back. */
export class LoanBook {
  private readonly loans = new Map<string, Loan>();
  private readonly byWorker = new Map<worker.Worker, Set<Loan>>();
  private readonly byTeam = new Map<string, Map<number, Set<Loan>>>();
  private readonly leaving = new Map<string, resources.Resources>();
  private readonly called = new Set<Loan>();
  private leavingSumValue = resources.NONE;

  constructor(private readonly shares: fairShare.FairShare) {}

  /** Notes a task that may be checkpointed. */
  add(loan: Loan): void {
    this.loans.set(loan.task, loan);
    const onWorker = this.byWorker.get(loan.worker) ?? new Set();
    this.byWorker.set(loan.worker, onWorker.add(loan));
    const worths = this.byTeam.get(loan.team) ?? new Map<number, Set<Loan>>();
    this.byTeam.set(loan.team, worths);
    worths.set(loan.worth, (worths.get(loan.worth) ?? new Set()).add(loan));
  }

  /** Forgets a task that ended; does nothing when it is unknown. */
  remove(task: string): void {
    const loan = this.loans.get(task);
    if (loan === undefined) return;
    this.loans.delete(task);
    deleteFrom(this.byWorker, loan.worker, loan);
    const worths = this.byTeam.get(loan.team);
    if (worths !== undefined) {
      deleteFrom(worths, loan.worth, loan);
      if (worths.size === 0) this.byTeam.delete(loan.team);
    }
    if (!this.called.delete(loan)) return;
    const left = resources.subtract(this.leavingOf(loan.team), loan.size);
    this.leaving.set(loan.team, left);
    this.leavingSumValue = resources.subtract(this.leavingSumValue, loan.size);
  }

  /** Marks loans whose tasks are being checkpointed. */
  call(loans: ReadonlyArray<Loan>): void {
    for (const loan of loans) {
      this.called.add(loan);
      const sum = resources.add(this.leavingOf(loan.team), loan.size);
      this.leaving.set(loan.team, sum);
      this.leavingSumValue = resources.add(this.leavingSumValue, loan.size);
    }
  }

  /** Room that tasks being checkpointed are about to give back. */
  get leavingSum(): resources.Resources {
    return this.leavingSumValue;
  }

  /**
   * Returns the least valuable loans of teams that keep more than `level`
   * without them, in order of their worth.
   */
  leastValuable(level: number): ReadonlyArray<Loan> {
    const found: Loan[] = [];
    for (const [team, worths] of this.byTeam) {
      const after = this.shares.levelWith(team, this.lostBy(team));
      if (after > level) found.push(...this.cheapestOf(worths));
    }
    found.sort((left, right) => left.worth - right.worth);
    return found.slice(0, LOANS_EXAMINED);
  }

  /** Chooses the least valuable tasks whose end makes room for one task. */
  choose(need: Need): ReclaimChoice | undefined {
    let best: ReclaimChoice | undefined;
    let bestWorth = Infinity;
    for (const loan of this.candidates(need)) {
      const choice = this.choiceOn(loan.worker, need);
      if (choice === undefined) continue;
      const worth = choice.loans.reduce((sum, item) => sum + item.worth, 0);
      if (worth >= bestWorth) continue;
      best = choice;
      bestWorth = worth;
    }
    return best;
  }

  private candidates(need: Need): ReadonlyArray<Loan> {
    const found: Loan[] = [];
    for (const [team, worths] of this.byTeam) {
      if (!this.lendsTo(team, need)) continue;
      found.push(...this.cheapestOf(worths));
    }
    found.sort((left, right) => left.worth - right.worth);
    return found.slice(0, LOANS_EXAMINED);
  }

  private cheapestOf(worths: ReadonlyMap<number, Set<Loan>>): Loan[] {
    const found: Loan[] = [];
    const ascending = [...worths.keys()].sort((left, right) => left - right);
    for (const worth of ascending) {
      for (const loan of worths.get(worth) ?? []) {
        if (!this.called.has(loan)) found.push(loan);
        if (found.length >= LOANS_EXAMINED) return found;
      }
    }
    return found;
  }

  private choiceOn(
    target: worker.Worker,
    need: Need,
  ): ReclaimChoice | undefined {
    if (!target.ready || !need.mayUse(target)) return undefined;
    const onWorker = [...(this.byWorker.get(target) ?? [])]
      .filter(loan => !this.called.has(loan) && this.lendsTo(loan.team, need))
      .sort((left, right) => left.worth - right.worth);
    const loans: Loan[] = [];
    let room = target.available;
    for (const loan of onWorker) {
      if (resources.fits(need.job.size, room)) break;
      loans.push(loan);
      room = resources.add(room, loan.size);
    }
    if (!resources.fits(need.job.size, room)) return undefined;
    return {worker: target, loans};
  }

  /** A team gives room back only while it keeps more than the claimant gets. */
  private lendsTo(team: string, need: Need): boolean {
    if (team === need.job.request.team) return false;
    const lost = this.leavingOf(team);
    if (!this.shares.lends(team, lost)) return false;
    return this.shares.levelWith(team, this.lostBy(team)) > need.level;
  }

  private lostBy(team: string): resources.Resources {
    return resources.subtract(resources.NONE, this.leavingOf(team));
  }

  private leavingOf(team: string): resources.Resources {
    return this.leaving.get(team) ?? resources.NONE;
  }
}

function deleteFrom<Key>(
  sets: Map<Key, Set<Loan>>,
  key: Key,
  loan: Loan,
): void {
  const members = sets.get(key);
  members?.delete(loan);
  if (members?.size === 0) sets.delete(key);
}
