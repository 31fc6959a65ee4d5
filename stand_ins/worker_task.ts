import * as jsonBody from '../src/links/json_body.js';
import * as resources from '../src/machines/resources.js';
import type * as task from '../src/contracts/task.js';

/** What the payload of a task may say to a stand-in worker. */
export interface TaskPayload {
  readonly runTimeMs?: number;
  readonly answer?: string;
  /** Length of a generated answer, for tests of large ones. */
  readonly answerLength?: number;
  /** What the task really uses; may exceed its declared size. */
  readonly usage?: resources.Resources;
  /** The task fails at its end. */
  readonly fails?: boolean;
}

/** How a stand-in worker runs tasks. */
export interface TaskSettings {
  /** Run time of a task whose payload does not name one. */
  readonly runTimeMs: number;
  /** Time until a report shows what a task uses. */
  readonly usageLagMs: number;
  /** Every task fails at once. */
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

  /** State of the task. */
  get state(): task.TaskState {
    return this.currentState;
  }

  /** Reservation that the start named. */
  get size(): resources.Resources {
    return this.start.size;
  }

  /** When the task ended on the process's clock; 0 while it runs. */
  get endedAt(): number {
    return this.endedAtMs;
  }

  /** What the task uses now: its real need, throttled to the limit. */
  usage(): resources.Resources {
    if (this.currentState !== 'running') return resources.NONE;
    const need = this.payload.usage ?? this.start.size;
    return {
      // A throttled task computes more slowly; its memory is not taken back.
      processors: Math.min(need.processors, this.limit.processors),
      memory: need.memory,
      accelerators: need.accelerators,
      slots: need.slots,
    };
  }

  /** Sets the limit at which the task is throttled. */
  throttle(limit: resources.Resources): void {
    this.limit = limit;
  }

  /** Extends the lease; never shortens it. */
  renew(leaseEnd: number): void {
    this.leaseEnd = Math.max(this.leaseEnd, leaseEnd);
  }

  /** Ends the task when its lease has expired on the worker's clock. */
  endIfLeaseLapsed(workerClock: number): void {
    if (this.leaseEnd <= workerClock) this.end('lapsed', '');
  }

  /** Ends the task and answers those that wait for it. */
  end(state: task.TaskState, answer: string): void {
    if (this.currentState !== 'running') return;
    clearTimeout(this.timer);
    this.currentState = state;
    this.answer = answer;
    this.endedAtMs = performance.now();
    for (const send of this.answerListeners) send(this.answerBody());
    this.answerListeners.length = 0;
  }

  /** Sends the answer when the task has ended. */
  whenEnded(send: (answer: unknown) => void): void {
    if (this.currentState === 'running') this.answerListeners.push(send);
    else send(this.answerBody());
  }

  /** The task as a report lists it. */
  report(): task.TaskReport {
    const shown =
      performance.now() - this.startedAtMs >= this.settings.usageLagMs;
    return {
      task: this.start.task,
      label: this.start.label,
      state: this.currentState,
      size: this.start.size,
      usage: shown ? this.usage() : resources.NONE,
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
