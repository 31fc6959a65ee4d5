import type * as remoteWorker from '../../src/machines/remote_worker.js';
import type * as simulatedClock from './simulated_clock.js';
import type * as simulatedMember from './simulated_member.js';
import type * as workerClient from '../../src/machines/worker_client.js';

/** Timeout of a call to a worker on the other side of a partition. */
const CALL_TIMEOUT_MS = 600;

/** Calls to workers from one side of a partition; calls across it are lost. */
export class PartitionedWorkers implements workerClient.WorkerClient {
  constructor(
    private readonly workers: workerClient.WorkerClient,
    private readonly time: simulatedClock.SimulatedClock,
    private readonly isReachable: (
      worker: remoteWorker.RegistryEntry,
      message: simulatedMember.CallMessage,
    ) => boolean,
    /** Handles an answer when the loop of the calling process is free. */
    private readonly runWhenFree: (handle: () => void) => void,
  ) {}

  start: workerClient.WorkerClient['start'] = (worker, ...command) =>
    this.call(worker, () => this.workers.start(worker, ...command));

  stop: workerClient.WorkerClient['stop'] = (worker, ...command) =>
    this.call(worker, () => this.workers.stop(worker, ...command));

  throttle: workerClient.WorkerClient['throttle'] = (worker, ...command) =>
    this.call(worker, () => this.workers.throttle(worker, ...command));

  renewLeases: workerClient.WorkerClient['renewLeases'] = (
    worker,
    ...command
  ) => this.call(worker, () => this.workers.renewLeases(worker, ...command));

  private async call<Outcome>(
    worker: remoteWorker.RegistryEntry,
    send: () => Promise<Outcome>,
  ): Promise<Outcome | {kind: 'unanswered'; detail: string}> {
    const answer = this.isReachable(worker, 'call') ? await send() : undefined;
    const arrives = answer !== undefined && this.isReachable(worker, 'answer');
    if (!arrives) await this.time.delay(CALL_TIMEOUT_MS);
    await new Promise<void>(resolve => this.runWhenFree(resolve));
    return arrives ? answer : {kind: 'unanswered', detail: 'lost'};
  }
}
