import type * as clock from '../machines/clock.js';
import type * as jobRecord from './job_record.js';
import type * as stepInstance from './step_instance.js';

/** The steps that are ready to run and not done. */
export class OpenSteps {
  private readonly steps = new Set<stepInstance.StepInstance>();

  [Symbol.iterator](): Iterator<stepInstance.StepInstance> {
    return this.steps.values();
  }

  /**
   * Opens the steps of a job whose dependencies are all done; returns the number
   * of their tasks that wait.
   */
  openReady(record: jobRecord.JobRecord, now: clock.Milliseconds): number {
    let waitingCount = 0;
    for (const step of record.steps) {
      if (step.done || step.readyAt !== undefined) continue;
      if (!record.isReady(step)) continue;
      step.readyAt = now;
      this.steps.add(step);
      waitingCount += step.waitingTaskCount;
    }
    return waitingCount;
  }

  /** Opens a step, for example when a run of an earlier term is found. */
  open(step: stepInstance.StepInstance): void {
    this.steps.add(step);
  }

  close(step: stepInstance.StepInstance): void {
    this.steps.delete(step);
  }
}
