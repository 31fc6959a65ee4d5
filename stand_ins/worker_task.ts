import * as jsonBody from '../src/links/json_body.js';
import * as resources from '../src/machines/resources.js';
import type * as task from '../src/contracts/task.js';

/** Instructions to a stand-in worker in the payload of a task. */
export interface TaskPayload {
  readonly runTimeMs?: number;
  readonly answer?: string;
  /** Number of characters of a generated answer, for large answers. */
  readonly answerLength?: number;
  /** Actual usage; may exceed the declared size. */
  readonly usage?: resources.Resources;
  /** The task fails when its run time has passed. */
  readonly fails?: boolean;
}

/** Settings with which a stand-in worker runs a task. */
export interface TaskSettings {
  /** Default run time, for tasks whose payload sets none. */
  readonly runTimeMs: number;
  /** Time until reports include the usage of a task. */
  readonly usageLagMs: number;
  /** Every task fails immediately. */
  readonly failsEverything: boolean;
}

/** One task on a stand-in worker. */
export class WorkerTask {
  private readonly payload: TaskPayload;
  private readonly timer: NodeJS.Timeout;
  private readonly startedAtMs = performance.now();
  private readonly answerListeners: Array<(answer: unknown) => void> = [];
  private currentState: task.TaskState = 'running';
  private answer = '';
  private leaseEnd: number;
  private limit: resources.Resources;
  private endedAtMs = 0;

  constructor(
    private readonly start: task.TaskStart,
    private readonly settings: TaskSettings,
  ) {
    this.payload = readPayload(start.payload);
    this.leaseEnd = start.leaseEnd;
    this.limit = start.size;
    const failing = settings.failsEverything || this.payload.fails === true;
    this.timer = setTimeout(
      () => this.end(failing ? 'failed' : 'finished', this.result()),
      settings.failsEverything
        ? 0
        : (this.payload.runTimeMs ?? settings.runTimeMs),
    );
  }

  /** Current state, which changes once: from `running` to a final state. */
  get state(): task.TaskState {
    return this.currentState;
  }

  /** Size that the start reserved. */
  get size(): resources.Resources {
    return this.start.size;
  }

  /** End of the task on the clock of the process; 0 while it runs. */
  get endedAt(): number {
    return this.endedAtMs;
  }

  /** Returns the current usage: the actual need, throttled to the limit. */
  usage(): resources.Resources {
    if (this.currentState !== 'running') return resources.NONE;
    const need = this.payload.usage ?? this.start.size;
    return {
      // Throttling slows a task down but does not reclaim its memory.
      processors: Math.min(need.processors, this.limit.processors),
      memory: need.memory,
      accelerators: need.accelerators,
      slots: need.slots,
    };
  }

  /** Sets the usage to which the task is throttled. */
  throttle(limit: resources.Resources): void {
    this.limit = limit;
  }

  /** Extends the lease; never shortens it. */
  renew(leaseEnd: number): void {
    this.leaseEnd = Math.max(this.leaseEnd, leaseEnd);
  }

  /** Ends the task if its lease has lapsed on the worker's clock. */
  endIfLeaseLapsed(workerClock: number): void {
    if (this.leaseEnd <= workerClock) this.end('lapsed', '');
  }

  /** Ends the task and sends its answer to the waiting callers. */
  end(state: task.TaskState, answer: string): void {
    if (this.currentState !== 'running') return;
    clearTimeout(this.timer);
    this.currentState = state;
    this.answer = answer;
    this.endedAtMs = performance.now();
    for (const send of this.answerListeners) send(this.answerBody());
    this.answerListeners.length = 0;
  }

  /** Calls `send` with the answer once the task has ended. */
  whenEnded(send: (answer: unknown) => void): void {
    if (this.currentState === 'running') this.answerListeners.push(send);
    else send(this.answerBody());
  }

  /** Returns the entry of the task in the worker's report. */
  report(): task.TaskReport {
    const usageIncluded =
      performance.now() - this.startedAtMs >= this.settings.usageLagMs;
    return {
      task: this.start.task,
      label: this.start.label,
      state: this.currentState,
      size: this.start.size,
      usage: usageIncluded ? this.usage() : resources.NONE,
      leaseEnd: this.leaseEnd,
    };
  }

  private result(): string {
    const {answer, answerLength} = this.payload;
    if (answerLength !== undefined) return 'x'.repeat(answerLength);
    return answer ?? `done ${this.start.payload}`;
  }

  private answerBody(): unknown {
    return {
      task: this.start.task,
      state: this.currentState,
      answer: this.answer,
    };
  }
}

function readPayload(payload: string): TaskPayload {
  return (jsonBody.parseJsonObject(payload) ?? {}) as TaskPayload;
}
