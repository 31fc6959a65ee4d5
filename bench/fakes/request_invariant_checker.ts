import * as resources from '../../src/machines/resources.js';
import * as result from '../../src/result.js';
import type * as task from '../../src/contracts/task.js';
import type * as fakeWorker from './fake_worker.js';

/** Time after which a leaving worker must not start a task: a few seconds. */
const LEAVING_GRACE_MS = 7_000;

/** Violated invariant with its evidence. */
export interface Violation {
  readonly atMs: number;
  readonly invariant: string;
  readonly evidence: string;
}

/** The parts of a request that the checker compares with the reply. */
export interface CheckedRequest {
  readonly identity: string;
  readonly payload: string;
  readonly taskCount: number;
}

/**
 * Checks invariants of requests from outside: it sees the starts and ends of
 * tasks on the workers and the replies to clients, but no state of the system
 * itself.
 */
export class RequestInvariantChecker implements fakeWorker.TaskRunObserver {
  private readonly startCounts = new Map<string, number>();
  private readonly runningAttempts = new Map<string, Set<string>>();
  private readonly notRunReportTimesMs = new Map<string, number>();
  private readonly violationsFound: Violation[] = [];
  private checksMade = 0;

  constructor(
    private readonly nowMs: () => number,
    private readonly trace: (line: string) => void,
  ) {}

  /** Returns the violations found so far. */
  violations(): ReadonlyArray<Violation> {
    return this.violationsFound;
  }

  /** Returns the number of checks made so far. */
  checkCount(): number {
    return this.checksMade;
  }

  /** Returns how often the tasks of a request were started. */
  startCountOf(identity: string): number {
    return this.startCounts.get(identity) ?? 0;
  }

  taskStarted(worker: fakeWorker.FakeWorker, start: task.TaskStart): void {
    const {identity, idempotent} = start.label;
    this.trace(`${worker.name} starts ${start.task}`);
    this.check(
      resources.fits(worker.reservedCapacity(), worker.capacity),
      'reservations fit the worker',
      () =>
        JSON.stringify({
          worker: worker.name,
          used: worker.reservedCapacity(),
          task: start.task,
        }),
    );
    const leavingForMs = this.nowMs() - worker.leavingSinceMs;
    this.check(
      leavingForMs < LEAVING_GRACE_MS,
      'no start on a leaving worker',
      () =>
        JSON.stringify({
          worker: worker.name,
          leavingForMs,
          task: start.task,
        }),
    );
    // The name of a start is the identity, the task's index and, after the last
    // dot, the attempt, which is cut off here.
    const taskName = start.task.split('.').slice(0, -1).join('.');
    const attempts = this.runningAttempts.get(taskName) ?? new Set();
    this.check(attempts.size === 0, 'one attempt at a time', () =>
      JSON.stringify({
        taskName,
        running: [...attempts],
        startedOn: worker.name,
      }),
    );
    attempts.add(`${worker.name} ${start.task}`);
    this.runningAttempts.set(taskName, attempts);
    const startCount = (this.startCounts.get(taskName) ?? 0) + 1;
    this.startCounts.set(taskName, startCount);
    this.startCounts.set(identity, (this.startCounts.get(identity) ?? 0) + 1);
    this.check(idempotent || startCount === 1, 'at most once', () =>
      JSON.stringify({taskName, startCount, worker: worker.name}),
    );
    this.check(
      !this.notRunReportTimesMs.has(identity),
      'no start of a request reported as not run',
      () =>
        JSON.stringify({
          identity,
          reportedAtMs: this.notRunReportTimesMs.get(identity),
        }),
    );
  }

  taskEnded(worker: fakeWorker.FakeWorker, start: task.TaskStart): void {
    const taskName = start.task.split('.').slice(0, -1).join('.');
    this.runningAttempts.get(taskName)?.delete(`${worker.name} ${start.task}`);
  }

  /** Checks a reply that a client has received for its own request. */
  replyReceived(request: CheckedRequest, code: number, answer: string): void {
    const {identity} = request;
    this.trace(`client receives code ${code} for ${identity}`);
    const resultCode = Object.values(result.RESULT_CODES).find(
      known => known.code === code,
    );
    if (resultCode === undefined) return;
    if (resultCode.execution === 'notRun') {
      this.notRunReportTimesMs.set(identity, this.nowMs());
      this.check(
        this.startCountOf(identity) === 0,
        'no start of a request reported as not run',
        () =>
          JSON.stringify({
            identity,
            code,
            startCount: this.startCountOf(identity),
          }),
      );
    }
    if (code === result.RESULT_CODES.ok.code) {
      this.check(
        answer === expectedAnswer(request),
        "complete answer of the client's own request",
        () => JSON.stringify({answer, ...request}),
      );
    }
  }

  private check(
    holds: boolean,
    invariant: string,
    evidence: () => string,
  ): void {
    this.checksMade += 1;
    if (holds) return;
    this.violationsFound.push({
      atMs: this.nowMs(),
      invariant,
      evidence: evidence(),
    });
  }
}

/** Returns the answer to a request; several tasks answer as a JSON array. */
function expectedAnswer(request: CheckedRequest): string {
  const answer = `done ${request.payload}`;
  if (request.taskCount === 1) return answer;
  return JSON.stringify(new Array(request.taskCount).fill(answer));
}
