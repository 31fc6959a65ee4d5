import * as workerSelection from './worker_selection.js';
import type * as remoteWorker from '../machines/remote_worker.js';
import type * as stepInstance from './step_instance.js';

interface RankedWorker {
  readonly worker: remoteWorker.RemoteWorker;
  readonly ticket: string;
  cost: number;
}

/**
 * The workers that can run a task of a step now, with their costs. Each is
 * examined once; after a placement only the selected one is examined again.
 */
export class WorkerRanking {
  private readonly ranked: RankedWorker[] = [];
  private selected: RankedWorker | undefined;

  constructor(
    private readonly step: stepInstance.StepInstance,
    workers: ReadonlyArray<remoteWorker.RemoteWorker>,
    private readonly facts: workerSelection.WorkerFacts,
  ) {
    for (const worker of workers) {
      // Most workers lack a ticket, which is found out faster than their cost.
      const ticket = facts.ticketFor(worker);
      if (ticket === undefined) continue;
      const cost = this.costOf(worker);
      if (cost < Infinity) this.ranked.push({worker, ticket, cost});
    }
  }

  /** Selects the worker with the lowest cost; the first of equal ones. */
  select(): workerSelection.SelectedWorker | undefined {
    this.selected = undefined;
    let lowestCost = Infinity;
    for (const candidate of this.ranked) {
      if (candidate.cost >= lowestCost) continue;
      lowestCost = candidate.cost;
      this.selected = candidate;
    }
    if (this.selected === undefined) return undefined;
    const {worker, ticket} = this.selected;
    return {worker, ticket: ticket === '' ? undefined : ticket};
  }

  /** Examines the selected worker again, after capacity was taken there. */
  update(): void {
    if (this.selected === undefined) return;
    this.selected.cost = this.costOf(this.selected.worker);
  }

  private costOf(worker: remoteWorker.RemoteWorker): number {
    const {definition} = this.step;
    if (!workerSelection.hasFreeCapacity(worker, definition)) return Infinity;
    return workerSelection.costOf(definition, worker, this.facts);
  }
}
