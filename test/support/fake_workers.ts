import * as workerModel from '../../stand_ins/worker_model.js';
import type * as remoteWorker from '../../src/machines/remote_worker.js';
import type * as simulatedClock from './simulated_clock.js';
import type * as workerClient from '../../src/machines/worker_client.js';

/** Network delay of each direction. */
const ONE_WAY_DELAY_MS = 1;

/** Timeout of a call without an answer. */
const CALL_TIMEOUT_MS = 600;

/** Interval at which a waiting report checks for ended runs. */
const POLL_INTERVAL_MS = 10;

/** Delivers calls to fake workers in simulated time. */
export class FakeWorkers implements workerClient.WorkerClient {
  readonly byAddress = new Map<string, workerModel.WorkerModel>();
  readonly events: workerModel.RunEvent[] = [];
  readonly acknowledgedEnds: workerModel.AcknowledgedEnd[] = [];
  /** Returns the delay of a command; the answer of a delayed one is lost. */
  commandDelayMs: (address: string) => number = () => 0;

  constructor(private readonly time: simulatedClock.SimulatedClock) {}

  /** Adds a worker whose runs follow `plan` and whose clock began then. */
  add(
    entry: remoteWorker.RegistryEntry,
    plan: workerModel.RunPlan,
    clockStartMs = 0,
  ): workerModel.WorkerModel {
    const worker = new workerModel.WorkerModel(
      entry,
      this.time,
      plan,
      this.events,
      this.acknowledgedEnds,
      clockStartMs,
    );
    this.byAddress.set(entry.address, worker);
    return worker;
  }

  async start(
    entry: remoteWorker.RegistryEntry,
    command: workerClient.StartCommand,
    maySend?: () => boolean,
  ): Promise<workerClient.CommandOutcome> {
    if (maySend?.() === false) {
      return {kind: 'unanswered', detail: 'withdrawn', notSent: true};
    }
    const sentAtMs = this.time.now();
    return this.deliver(entry, worker => worker.start(command, sentAtMs));
  }

  stop(
    entry: remoteWorker.RegistryEntry,
    runId: remoteWorker.RunId,
    fencingToken: number,
  ): Promise<workerClient.CommandOutcome> {
    return this.deliver(entry, worker => worker.stop(runId, fencingToken));
  }

  /** Limits a run; tests replace it to see the limits. */
  throttle: workerClient.WorkerClient['throttle'] = async () => ({
    kind: 'done',
    clockMs: undefined,
  });

  /** Delivers a limit to its worker, like any other command. */
  deliverThrottle: workerClient.WorkerClient['throttle'] = (
    entry,
    runId,
    percent,
    fencingToken,
  ) =>
    this.deliver(entry, worker =>
      worker.throttle(runId, percent, fencingToken),
    );

  async renewLeases(
    entry: remoteWorker.RegistryEntry,
    command: workerClient.RenewalCommand,
    conditions?: workerClient.RenewalConditions,
  ): Promise<workerClient.RenewalOutcome> {
    if (conditions?.maySend?.() === false) {
      return {kind: 'unanswered', detail: 'withdrawn'};
    }
    await this.time.delay(ONE_WAY_DELAY_MS);
    const worker = this.reachable(entry);
    if (worker === undefined) return this.timeOut(command.waitMs);
    const outcome = worker.renewLeases(command);
    if (outcome.kind === 'rejected' || worker.hasEndedRuns) {
      await this.time.delay(ONE_WAY_DELAY_MS);
      return this.canAnswer(entry, worker) ? outcome : this.timeOut(0);
    }
    const untilMs = this.time.now() + command.waitMs;
    while (this.time.now() < untilMs && !worker.hasEndedRuns) {
      await this.time.delay(POLL_INTERVAL_MS);
    }
    await this.time.delay(ONE_WAY_DELAY_MS);
    if (!this.canAnswer(entry, worker)) return this.timeOut(0);
    return worker.renewLeases({...command, deadlineMs: undefined});
  }

  private async deliver(
    entry: remoteWorker.RegistryEntry,
    handle: (worker: workerModel.WorkerModel) => workerClient.CommandOutcome,
  ): Promise<workerClient.CommandOutcome> {
    const delayMs = this.commandDelayMs(entry.address);
    if (delayMs > 0) {
      this.time.runAt(this.time.now() + delayMs, () => {
        const late = this.byAddress.get(entry.address);
        if (late?.crashed === false) handle(late);
      });
      return this.timeOut(0);
    }
    await this.time.delay(ONE_WAY_DELAY_MS);
    const worker = this.reachable(entry);
    if (worker === undefined) return this.timeOut(0);
    const outcome = handle(worker);
    await this.time.delay(ONE_WAY_DELAY_MS);
    return this.canAnswer(entry, worker) ? outcome : this.timeOut(0);
  }

  private reachable(
    entry: remoteWorker.RegistryEntry,
  ): workerModel.WorkerModel | undefined {
    const worker = this.byAddress.get(entry.address);
    return worker?.partitioned === false ? worker : undefined;
  }

  private canAnswer(
    entry: remoteWorker.RegistryEntry,
    worker: workerModel.WorkerModel,
  ): boolean {
    return this.reachable(entry) === worker && !worker.losesAnswers;
  }

  private async timeOut(
    waitMs: number,
  ): Promise<{kind: 'unanswered'; detail: string}> {
    await this.time.delay(waitMs + CALL_TIMEOUT_MS);
    return {kind: 'unanswered', detail: 'lost'};
  }
}
