import * as resources from '../../src/machines/resources.js';
import type * as task from '../../src/contracts/task.js';
import type * as virtualTime from './virtual_time.js';

/** Observer of the starts and ends of tasks on workers. */
export interface TaskRunObserver {
  taskStarted(worker: FakeWorker, start: task.TaskStart): void;
  taskEnded(worker: FakeWorker, start: task.TaskStart): void;
}

interface FakeWorkerTask {
  readonly start: task.TaskStart;
  readonly leaseEnd: number;
  readonly state: task.TaskState;
  readonly answer: string;
}

/** Time for which ended tasks stay in reports. */
const ENDED_RETENTION_MS = 600_000;

/** In-memory worker that enforces leases but not its capacity. */
export class FakeWorker {
  private readonly tasks = new Map<string, FakeWorkerTask>();
  private readonly answerListeners = new Map<string, Array<() => void>>();
  /** Time at which the worker began to leave; Infinity if it does not leave. */
  leavingSinceMs = Infinity;
  failsEverything = false;
  dead = false;

  constructor(
    readonly name: string,
    readonly zone: string,
    private readonly rack: string,
    readonly capacity: resources.Resources,
    private readonly clock: virtualTime.DriftingClock,
    private readonly time: virtualTime.VirtualTime,
    private readonly observer: TaskRunObserver,
  ) {}

  /** Starts a task unless its lease has lapsed. */
  start(start: task.TaskStart, runTimeMs: number): boolean {
    if (start.leaseEnd <= this.clock.now()) return false;
    this.tasks.set(start.task, {
      start,
      leaseEnd: start.leaseEnd,
      state: 'running',
      answer: '',
    });
    this.observer.taskStarted(this, start);
    const failing = this.failsEverything;
    this.time.after(failing ? 1 : runTimeMs, () =>
      this.end(start.task, failing ? 'failed' : 'finished'),
    );
    this.watchLease(start.task);
    return true;
  }

  /** Extends the leases of tasks; never shortens them. */
  renew(names: ReadonlyArray<string>, leaseEnd: number): void {
    for (const name of names) {
      const workerTask = this.tasks.get(name);
      if (workerTask === undefined || workerTask.leaseEnd >= leaseEnd) continue;
      this.tasks.set(name, {...workerTask, leaseEnd});
    }
  }

  /** Ends a running task and notifies the callers that wait for its answer. */
  end(name: string, state: task.TaskState): void {
    const workerTask = this.tasks.get(name);
    if (
      workerTask === undefined ||
      workerTask.state !== 'running' ||
      this.dead
    ) {
      return;
    }
    const answer =
      state === 'finished' ? `done ${workerTask.start.payload}` : '';
    this.tasks.set(name, {...workerTask, state, answer});
    this.observer.taskEnded(this, workerTask.start);
    for (const notify of this.answerListeners.get(name) ?? []) notify();
    this.answerListeners.delete(name);
    this.time.after(ENDED_RETENTION_MS, () => this.tasks.delete(name));
  }

  /** Calls back with the task once it has ended, or undefined if unknown. */
  awaitAnswer(name: string, respond: (ended?: FakeWorkerTask) => void): void {
    const workerTask = this.tasks.get(name);
    if (workerTask?.state !== 'running') {
      respond(workerTask);
      return;
    }
    const listeners = this.answerListeners.get(name) ?? [];
    listeners.push(() => respond(this.tasks.get(name)));
    this.answerListeners.set(name, listeners);
  }

  /** Returns the worker's report of itself and its tasks. */
  report(): task.WorkerReport {
    return {
      worker: this.name,
      workerClock: this.clock.now(),
      capacity: this.capacity,
      rack: this.rack,
      leaving: this.leavingSinceMs < Infinity,
      tasks: [...this.tasks.values()].map(workerTask => ({
        task: workerTask.start.task,
        label: workerTask.start.label,
        state: workerTask.state,
        size: workerTask.start.size,
        usage: workerTask.start.size,
        leaseEnd: workerTask.leaseEnd,
      })),
    };
  }

  /** Ends all tasks without notice, as the loss of the machine does. */
  crash(): void {
    for (const workerTask of this.tasks.values()) {
      if (workerTask.state === 'running') {
        this.observer.taskEnded(this, workerTask.start);
      }
    }
    this.tasks.clear();
    this.dead = true;
  }

  /** Returns the sum of the sizes of the running tasks. */
  reservedCapacity(): resources.Resources {
    let used = resources.NONE;
    for (const workerTask of this.tasks.values()) {
      if (workerTask.state === 'running') {
        used = resources.add(used, workerTask.start.size);
      }
    }
    return used;
  }

  private watchLease(name: string): void {
    const workerTask = this.tasks.get(name);
    if (workerTask === undefined || workerTask.state !== 'running') return;
    const remainingMs = this.clock.until(workerTask.leaseEnd);
    if (remainingMs <= 0) this.end(name, 'lapsed');
    else this.time.after(remainingMs + 0.001, () => this.watchLease(name));
  }
}
