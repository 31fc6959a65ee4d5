import * as roundRobin from './round_robin.js';
import * as runHealth from './run_health.js';
import type * as assignmentIndex from './assignment_index.js';
import type * as clock from '../machines/clock.js';
import type * as dispatcher from './dispatcher.js';
import type * as jobTask from './job_task.js';
import type * as schedulerOptions from './scheduler_options.js';
import type * as workerReliability from '../machines/worker_reliability.js';

/** Most runs that one review looks at. */
const MAXIMUM_RUNS_PER_REVIEW = 500;

/** Stops stalled and slow runs, so that their tasks start elsewhere. */
export class RunReplacer {
  private readonly runs: roundRobin.RoundRobin<jobTask.Assignment>;

  constructor(
    private readonly options: schedulerOptions.SchedulerOptions,
    assignmentIndex: assignmentIndex.AssignmentIndex,
    private readonly reliability: workerReliability.WorkerReliability,
    private readonly dispatcher: dispatcher.Dispatcher,
  ) {
    this.runs = new roundRobin.RoundRobin(() => assignmentIndex.all());
  }

  /** Reviews the next runs in turn. */
  review(now: clock.Milliseconds): void {
    for (const assignment of this.runs.take(MAXIMUM_RUNS_PER_REVIEW)) {
      const fault = runHealth.detectFault(assignment);
      if (fault !== undefined) this.replace(assignment, fault, now);
    }
  }

  private replace(
    assignment: jobTask.Assignment,
    fault: runHealth.RunFault,
    now: clock.Milliseconds,
  ): void {
    this.options.counters.count('runs_replaced', fault);
    this.options.log.event('warn', 'runReplaced', {
      task: assignment.task,
      run: assignment.run,
      worker: assignment.worker.id,
      fault,
      percent: assignment.progressPercent,
      ageMs: Math.round(now - assignment.startedAt),
    });
    assignment.jobTask.replacementCount += 1;
    this.reliability.recordSlowRun(assignment.worker, now);
    this.dispatcher.stop(assignment);
  }
}
