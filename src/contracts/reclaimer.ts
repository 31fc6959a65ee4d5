import * as fairShare from './fair_share.js';
import * as lendingReserve from './lending_reserve.js';
import * as placementPolicy from './placement_policy.js';
import * as loanBook from './loan_book.js';
import * as resources from '../machines/resources.js';
import type * as clock from '../machines/clock.js';
import type * as earmark from './earmark.js';
import type * as overloadRelief from './overload_relief.js';
import type * as workload from './workload.js';
import type * as worker from '../machines/worker.js';

/** Time that checkpoints have to free the room they were made for. */
const RECLAIM_MS = 2_000;

/** Takes lent room back for urgent work of teams within their quota. */
export class Reclaimer {
  private readonly loans: loanBook.LoanBook;

  constructor(
    private readonly shares: fairShare.FairShare,
    private readonly earmarks: earmark.EarmarkKeeper,
    private readonly mayPlace: (candidate: worker.Worker) => boolean,
  ) {
    this.loans = new loanBook.LoanBook(shares);
  }

  /** Notes a task that has its room, which can be taken back if it is lent. */
  started(
    loan: Omit<loanBook.Loan, 'worth'>,
    described: workload.Workload,
  ): void {
    if (!fairShare.mayBorrow(described)) return;
    this.loans.add({...loan, worth: described.worth});
  }

  /** Notes the end of a task. */
  ended(task: string): void {
    this.loans.remove(task);
  }

  /**
   * Chooses tasks to checkpoint for each job until one finds none, and keeps
   * the room for the job that it was taken back for.
   */
  reclaimFor(
    jobs: ReadonlyArray<placementPolicy.PendingJob>,
    now: clock.Milliseconds,
  ): ReadonlyArray<overloadRelief.Intervention> {
    const interventions: overloadRelief.Intervention[] = [];
    for (const job of jobs) {
      if (this.earmarks.has(job.request.identity)) continue;
      const choice = this.choose(job);
      if (choice === undefined) break;
      this.claim(job, choice, now);
      interventions.push(...choice.loans.map(checkpoint));
    }
    return interventions;
  }

  /**
   * Chooses long tasks to checkpoint so that the lending reserve is whole
   * again. Tasks that soon end by themselves refill it without that.
   */
  refillReserve(): ReadonlyArray<overloadRelief.Intervention> {
    let missing = this.shares.missingReserve(this.loans.leavingSum);
    if (missing <= 0) return [];
    const chosen: loanBook.Loan[] = [];
    for (const loan of this.loans.leastValuable(this.shares.fairLevel)) {
      if (missing <= 0) break;
      if (loan.expectedRunMs < lendingReserve.LONG_RUN_MS) continue;
      chosen.push(loan);
      missing -= this.shares.fractionOf(loan.size);
    }
    this.loans.call(chosen);
    return chosen.map(checkpoint);
  }

  private choose(
    job: placementPolicy.PendingJob,
  ): loanBook.ReclaimChoice | undefined {
    const {team} = job.request;
    const claims = this.earmarks.countOf(team) + 1;
    const claimed = resources.scale(job.size, claims);
    if (!this.shares.isWithinQuota(team, claimed)) return undefined;
    const attempt = new placementPolicy.Attempt(job);
    return this.loans.choose({
      job,
      level: this.shares.levelWith(team, claimed),
      mayUse: candidate =>
        attempt.allows(candidate) && this.mayPlace(candidate),
    });
  }

  private claim(
    job: placementPolicy.PendingJob,
    choice: loanBook.ReclaimChoice,
    now: clock.Milliseconds,
  ): void {
    this.loans.call(choice.loans);
    this.earmarks.set({
      identity: job.request.identity,
      team: job.request.team,
      size: job.size,
      rooms: new Map([[choice.worker, 1]]),
      until: now + RECLAIM_MS,
    });
  }
}

function checkpoint(loan: loanBook.Loan): overloadRelief.Intervention {
  const {worker: target, task, size} = loan;
  return {
    kind: 'checkpoint',
    reason: 'reclaim',
    worker: target,
    task,
    limit: size,
  };
}
