import * as gangPlan from './gang_plan.js';
import * as workerRanking from './worker_ranking.js';
import type * as dispatcher from './dispatcher.js';
import type * as jobTask from './job_task.js';
import type * as remoteWorker from '../machines/remote_worker.js';
import type * as sliceBudget from './slice_budget.js';
import type * as stepInstance from './step_instance.js';
import type * as workerSelection from './worker_selection.js';

/** Answers queries about tasks that start, and receives the starts. */
export interface StartListener {
  /** Returns how many more tasks of a step its organisation's quota allows. */
  remainingQuota(step: stepInstance.StepInstance): number;
  /** Returns the number of a task's next run. */
  nextRun(task: jobTask.JobTask): number;
  /** Receives how many tasks of a step were started and how many still wait. */
  tasksPlaced(
    step: stepInstance.StepInstance,
    count: number,
    waitingCount: number,
  ): void;
}

/** Whether the tasks of a step were started. */
export type StartOutcome =
  | 'started'
  /** No worker can take the remaining tasks now. */
  | 'waiting'
  /** The budget has ended before all tasks were considered. */
  | 'interrupted';

/** Starts the waiting tasks of a step on the workers that fit best. */
export class TaskStarter {
  constructor(
    private readonly dispatcher: dispatcher.Dispatcher,
    private readonly listener: StartListener,
  ) {}

  /** Starts the tasks that fit; those of a gang together or not at all. */
  start(
    step: stepInstance.StepInstance,
    workers: ReadonlyArray<remoteWorker.RemoteWorker>,
    facts: workerSelection.WorkerFacts,
    budget: sliceBudget.SliceBudget,
  ): StartOutcome {
    return step.definition.gang
      ? this.startGang(step, workers, facts, budget)
      : this.startTasks(step, workers, facts, budget);
  }

  /** Starts one task on a worker. */
  startOn(
    task: jobTask.JobTask,
    selected: workerSelection.SelectedWorker,
  ): void {
    this.dispatcher.start(task, selected, this.listener.nextRun(task));
    const {step} = task;
    this.listener.tasksPlaced(step, 1, step.waitingTaskCount);
  }

  private startTasks(
    step: stepInstance.StepInstance,
    workers: ReadonlyArray<remoteWorker.RemoteWorker>,
    facts: workerSelection.WorkerFacts,
    budget: sliceBudget.SliceBudget,
  ): StartOutcome {
    const ranking = new workerRanking.WorkerRanking(step, workers, facts);
    let outcome: StartOutcome = 'started';
    let startedCount = 0;
    let remainingCount = this.listener.remainingQuota(step);
    for (const task of step.tasks) {
      if (!task.waiting) continue;
      if (remainingCount === 0) {
        outcome = 'waiting';
        break;
      }
      const selected = ranking.select();
      if (selected === undefined) {
        outcome = 'waiting';
        break;
      }
      if (startedCount > 0 && budget.isExhausted()) {
        outcome = 'interrupted';
        break;
      }
      this.dispatcher.start(task, selected, this.listener.nextRun(task));
      ranking.update();
      budget.spendOnStarts(1);
      startedCount += 1;
      remainingCount -= 1;
    }
    if (startedCount > 0) {
      this.listener.tasksPlaced(step, startedCount, step.waitingTaskCount);
    }
    return outcome;
  }

  private startGang(
    step: stepInstance.StepInstance,
    workers: ReadonlyArray<remoteWorker.RemoteWorker>,
    facts: workerSelection.WorkerFacts,
    budget: sliceBudget.SliceBudget,
  ): StartOutcome {
    if (!step.hasStartableTasks) return 'waiting';
    const remainingCount = this.listener.remainingQuota(step);
    if (remainingCount < step.tasks.length) return 'waiting';
    const plan = gangPlan.planGang(step, workers, facts);
    if (plan === undefined) return 'waiting';
    const run = Math.max(
      ...step.tasks.map(task => this.listener.nextRun(task)),
    );
    for (const [index, selected] of plan.entries()) {
      this.dispatcher.start(step.tasks[index], selected, run);
    }
    budget.spendOnStarts(plan.length);
    this.listener.tasksPlaced(step, plan.length, 0);
    return 'started';
  }
}
