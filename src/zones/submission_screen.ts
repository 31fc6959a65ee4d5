import type * as cellMember from './cell_member.js';
import type * as cellPeers from './cell_peers.js';
import type * as jobAdmission from '../jobs/job_admission.js';
import type * as jobJournal from '../jobs/job_journal.js';

/** Timeout of one call; jobs without an answer are submitted. */
const CALL_TIMEOUT_MS = 1_000;

/** Shortest interval between two calls of one process. */
const CALL_INTERVAL_MS = 50;

/** Most jobs in one call. */
const MAXIMUM_BATCH_SIZE = 500;

const NO_REFUSAL: jobAdmission.ScreeningOutcome = {refusal: undefined};

interface WaitingJob {
  readonly job: jobAdmission.ScreenedJob;
  readonly resolve: (outcome: jobAdmission.ScreeningOutcome) => void;
}

/**
 * Asks an overloaded leader which jobs it refuses, in one call for all jobs
 * that arrive while the last call waits for its answer. That costs the leader
 * less than the submissions would, and less the slower it answers.
 */
export class SubmissionScreen {
  private waiting: WaitingJob[] = [];
  private calling = false;

  constructor(
    private readonly peers: cellPeers.CellPeers,
    private readonly timer: jobJournal.DelayTimer,
    private readonly leader: () => cellMember.Claim | undefined,
  ) {}

  /** Resolves to the leader's refusal; to none if the leader gave no answer. */
  screen(
    job: jobAdmission.ScreenedJob,
  ): Promise<jobAdmission.ScreeningOutcome> {
    return new Promise(resolve => {
      this.waiting.push({job, resolve});
      if (!this.calling) void this.callLeader();
    });
  }

  private async callLeader(): Promise<void> {
    this.calling = true;
    while (this.waiting.length > 0) {
      // Jobs that arrive in the meantime share the call.
      await this.timer.delay(CALL_INTERVAL_MS);
      const batch = this.waiting.splice(0, MAXIMUM_BATCH_SIZE);
      const outcomes = await this.ask(batch.map(({job}) => job));
      for (const [index, {resolve}] of batch.entries()) {
        resolve(outcomes[index] ?? NO_REFUSAL);
      }
    }
    this.calling = false;
  }

  private async ask(
    jobs: ReadonlyArray<jobAdmission.ScreenedJob>,
  ): Promise<ReadonlyArray<jobAdmission.ScreeningOutcome>> {
    const address = this.leader()?.address;
    if (address === undefined) return [];
    const outcome = await this.peers.screen(address, jobs, CALL_TIMEOUT_MS);
    return outcome.kind === 'answered' ? outcome.value : [];
  }
}
