import * as workerModel from '../../stand_ins/worker_model.js';
import type * as remoteWorker from '../../src/machines/remote_worker.js';
import type * as simulatedClock from './simulated_clock.js';
import type * as workerClient from '../../src/machines/worker_client.js';

/** Time from a call to its arrival, and back. */
const ONE_WAY_MS = 1;

/** Time after which a call without an answer is given up. */
const TIMEOUT_MS = 600;

/** How often a waiting report looks for an end. */
const POLL_MS = 10;

/** Carries calls to fake workers in simulated time. */
export class FakeWorkers implements workerClient.WorkerClient {
  readonly byAddress = new Map<string, workerModel.WorkerModel>();
  readonly events: workerModel.WorkerEvent[] = [];
  /** Delays one order: returns the time after which it arrives. */
  delayOrder: (address: string) => number = () => 0;

  constructor(private readonly time: simulatedClock.SimulatedClock) {}

  /** Adds a worker whose runs go as planned. */
  add(
    entry: remoteWorker.RegistryEntry,
    plan: workerModel.RunPlan,
  ): workerModel.WorkerModel {
    const worker = new workerModel.WorkerModel(
      entry,
      this.time,
      plan,
      this.events,
    );
    this.byAddress.set(entry.address, worker);
    return worker;
  }

  start(
    entry: remoteWorker.RegistryEntry,
    order: workerClient.StartCommand,
  ): Promise<workerClient.CommandOutcome> {
    return this.order(entry, worker => worker.start(order));
  }

  stop(
    entry: remoteWorker.RegistryEntry,
    name: remoteWorker.RunId,
    fence: number,
  ): Promise<workerClient.CommandOutcome> {
    return this.order(entry, worker => worker.stop(name, fence));
  }

  async throttle(): Promise<workerClient.CommandOutcome> {
    return {kind: 'done', clockMs: undefined};
  }

  async renewLeases(
    entry: remoteWorker.RegistryEntry,
    order: workerClient.RenewalCommand,
  ): Promise<workerClient.RenewalOutcome> {
    await this.time.pause(ONE_WAY_MS);
    const worker = this.reachable(entry);
    if (worker === undefined) return this.lose(order.waitMs);
    const answer = worker.renewLease(order);
    if (answer.kind === 'rejected' || worker.hasEndedRuns) {
      await this.time.pause(ONE_WAY_MS);
      return this.answered(entry, worker) ? answer : this.lose(0);
    }
    const until = this.time.now() + order.waitMs;
    while (this.time.now() < until && !worker.hasEndedRuns) {
      await this.time.pause(POLL_MS);
    }
    await this.time.pause(ONE_WAY_MS);
    if (!this.answered(entry, worker)) return this.lose(0);
    return worker.renewLease({...order, deadlineMs: undefined});
  }

  private async order(
    entry: remoteWorker.RegistryEntry,
    obey: (worker: workerModel.WorkerModel) => workerClient.CommandOutcome,
  ): Promise<workerClient.CommandOutcome> {
    const delay = this.delayOrder(entry.address);
    if (delay > 0) {
      this.time.runAt(this.time.now() + delay, () => {
        const late = this.byAddress.get(entry.address);
        if (late?.crashed === false) obey(late);
      });
      return this.lose(0);
    }
    await this.time.pause(ONE_WAY_MS);
    const worker = this.reachable(entry);
    if (worker === undefined) return this.lose(0);
    const outcome = obey(worker);
    await this.time.pause(ONE_WAY_MS);
    return this.answered(entry, worker) ? outcome : this.lose(0);
  }

  private reachable(
    entry: remoteWorker.RegistryEntry,
  ): workerModel.WorkerModel | undefined {
    const worker = this.byAddress.get(entry.address);
    return worker?.partitioned === false ? worker : undefined;
  }

  private answered(
    entry: remoteWorker.RegistryEntry,
    worker: workerModel.WorkerModel,
  ): boolean {
    return this.reachable(entry) === worker && !worker.losesAnswers;
  }

  private async lose(
    waitMs: number,
  ): Promise<{kind: 'unanswered'; detail: string}> {
    await this.time.pause(waitMs + TIMEOUT_MS);
    return {kind: 'unanswered', detail: 'lost'};
  }
}
