import * as resources from '../src/machines/resources.js';
import type * as clock from '../src/machines/clock.js';
import type * as remoteWorker from '../src/machines/remote_worker.js';
import type * as workerClient from '../src/machines/worker_client.js';

/** How a run goes: its duration and its end. */
export type RunPlan = (order: workerClient.StartCommand) => {
  readonly runtimeMs: number;
  readonly how: 'done' | 'failed';
};

interface Run {
  readonly order: workerClient.StartCommand;
  readonly startedAt: number;
  readonly endsAt: number;
  readonly how: string;
}

/** What a worker noted, for assertions. */
export interface WorkerEvent {
  readonly at: number;
  readonly worker: string;
  readonly kind: 'started' | 'ended';
  readonly task: string;
  readonly run: number;
  readonly how: string;
}

/** One life of a worker that keeps to the platform's rules for workers. */
export class WorkerModel {
  /** No call reaches the worker and no answer leaves it. */
  cut = false;
  /** The life is over; nothing reaches it any more. */
  crashed = false;
  /** Orders arrive, answers are lost. */
  mute = false;
  /** Latest deadline that any call named. */
  deadline = 0;
  highestFence = 0;
  /** Why starts are turned away at present. */
  refuses: workerClient.RejectionReason | undefined;
  private readonly running = new Map<string, Run>();
  private readonly stopped = new Map<string, number>();
  private ended: remoteWorker.ReportedRunEnd[] = [];
  private nextEnd = 1;

  constructor(
    readonly entry: remoteWorker.RegistryEntry,
    private readonly time: clock.Clock,
    private readonly plan: RunPlan,
    private readonly events: WorkerEvent[],
  ) {}

  get runningCount(): number {
    this.expire();
    return this.running.size;
  }

  start(order: workerClient.StartCommand): workerClient.CommandOutcome {
    this.expire();
    if (order.fence < this.highestFence) return this.reject('superseded');
    if (this.refuses !== undefined) return this.reject(this.refuses);
    this.takeFence(order.fence, order.deadlineMs);
    if (order.deadlineMs <= this.time.now()) return this.reject('late');
    const known = this.running.get(order.task);
    if (known?.order.run === order.run) return this.done();
    const highest = this.stopped.get(order.task) ?? 0;
    if (known !== undefined || order.run <= highest) {
      return this.reject('staleRun');
    }
    const {runtimeMs, how} = this.plan(order);
    const endsAt = this.time.now() + runtimeMs;
    const startedAt = this.time.now();
    this.running.set(order.task, {order, startedAt, endsAt, how});
    this.note('started', order.task, order.run, '');
    return this.done();
  }

  stop(name: remoteWorker.RunId, fence: number): workerClient.CommandOutcome {
    this.expire();
    if (fence < this.highestFence) return this.reject('superseded');
    this.takeFence(fence, 0);
    const highest = this.stopped.get(name.task) ?? 0;
    this.stopped.set(name.task, Math.max(highest, name.run));
    if (this.running.get(name.task)?.order.run === name.run) {
      this.end(name.task, 'stopped');
    }
    return this.done();
  }

  hold(order: workerClient.RenewalCommand): workerClient.RenewalOutcome {
    this.expire();
    if (order.fence < this.highestFence) {
      return {kind: 'rejected', reason: 'superseded'};
    }
    this.takeFence(order.fence, order.deadlineMs ?? 0);
    this.ended = this.ended.filter(
      row => row.sequenceNumber > order.storedEndNumber,
    );
    return {
      kind: 'reported',
      report: {
        clockMs: this.time.now(),
        born: this.entry.born,
        running: [...this.running.values()].map(run => this.row(run)),
        ended: this.ended,
      },
    };
  }

  /** Everything that ran is gone, and no call is answered any more. */
  crash(): void {
    for (const [task, {order}] of this.running) {
      this.note('ended', task, order.run, 'lost');
    }
    this.running.clear();
    this.cut = true;
    this.crashed = true;
  }

  get hasEnds(): boolean {
    this.expire();
    return this.ended.length > 0;
  }

  /** Room that is occupied. */
  used(sizeOf: (task: string) => resources.Resources): resources.Resources {
    let used = resources.NONE;
    for (const task of this.running.keys()) {
      used = resources.add(used, sizeOf(task));
    }
    return used;
  }

  private row(run: Run): remoteWorker.ReportedRun {
    const {task, run: number, checkpoint} = run.order;
    const elapsed = this.time.now() - run.startedAt;
    const percent = (100 * elapsed) / (run.endsAt - run.startedAt);
    return {task, run: number, checkpoint, percent, usage: 0};
  }

  private takeFence(fence: number, deadline: number): void {
    this.highestFence = Math.max(this.highestFence, fence);
    this.deadline = Math.max(this.deadline, deadline);
  }

  /** Ends what is over by now: finished work, and all when the lease is. */
  expire(): void {
    const now = this.time.now();
    for (const [task, run] of [...this.running]) {
      if (run.endsAt <= Math.min(now, this.deadline)) this.end(task, run.how);
    }
    if (this.deadline > now) return;
    for (const task of [...this.running.keys()]) this.end(task, 'lapsed');
  }

  private end(task: string, how: string): void {
    const run = this.running.get(task)?.order.run ?? 0;
    this.running.delete(task);
    const highest = this.stopped.get(task) ?? 0;
    this.stopped.set(task, Math.max(highest, run));
    const sequenceNumber = this.nextEnd;
    this.nextEnd += 1;
    this.ended = [
      ...this.ended,
      {sequenceNumber, task, run, how, checkpoint: ''},
    ];
    this.note('ended', task, run, how);
  }

  private note(
    kind: WorkerEvent['kind'],
    task: string,
    run: number,
    how: string,
  ): void {
    const at = this.time.now();
    this.events.push({at, worker: this.entry.id, kind, task, run, how});
  }

  private done(): workerClient.CommandOutcome {
    return {kind: 'done', clockMs: this.time.now()};
  }

  private reject(
    reason: workerClient.RejectionReason,
  ): workerClient.CommandOutcome {
    return {kind: 'rejected', reason, clockMs: this.time.now()};
  }
}
