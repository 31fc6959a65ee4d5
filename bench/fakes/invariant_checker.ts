import * as resources from '../../src/machines/resources.js';
import * as result from '../../src/result.js';
import type * as task from '../../src/contracts/task.js';
import type * as fakeWorker from './fake_worker.js';

/** A few seconds: after them a leaving worker gets no new task. */
const LEAVING_GRACE_MS = 7_000;

/** A broken promise with its evidence. */
export interface Violation {
  readonly atMs: number;
  readonly invariant: string;
  readonly evidence: string;
}

/** A request as its client knows it. */
export interface ClientView {
  readonly identity: string;
  readonly payload: string;
  readonly taskCount: number;
}

/**
 * Checks what must always hold from outside: it sees what the workers run and
 * what the clients are told, and nothing that the system believes.
 */
export class InvariantChecker implements fakeWorker.WorkerObserver {
  private readonly startCounts = new Map<string, number>();
  private readonly runningTasks = new Map<string, Set<string>>();
  private readonly reportedNotRunAtMs = new Map<string, number>();
  private readonly violationsFound: Violation[] = [];
  private checks = 0;

  constructor(
    private readonly now: () => number,
    private readonly trace: (line: string) => void,
  ) {}

  /** Broken promises so far. */
  violations(): ReadonlyArray<Violation> {
    return this.violationsFound;
  }

  /** How often a promise was checked. */
  checkCount(): number {
    return this.checks;
  }

  /** How often the tasks of an identity were started. */
  runCount(identity: string): number {
    return this.startCounts.get(identity) ?? 0;
  }

  taskStarted(on: fakeWorker.FakeWorker, start: task.TaskStart): void {
    const {identity, idempotent} = start.label;
    this.trace(`${on.name} starts ${start.task}`);
    this.check(
      resources.fits(on.reservedCapacity(), on.capacity),
      'capacity',
      () =>
        JSON.stringify({
          worker: on.name,
          used: on.reservedCapacity(),
          task: start.task,
        }),
    );
    const leavingFor = this.now() - on.leavingSinceMs;
    this.check(leavingFor < LEAVING_GRACE_MS, 'nothing new on leaving', () =>
      JSON.stringify({worker: on.name, leavingFor, task: start.task}),
    );
    // Tasks of one request are told apart by their index.
    const part = start.task.split('.').slice(0, -1).join('.');
    const places = this.runningTasks.get(part) ?? new Set();
    this.check(places.size === 0, 'one place', () =>
      JSON.stringify({part, running: [...places], also: on.name}),
    );
    places.add(`${on.name} ${start.task}`);
    this.runningTasks.set(part, places);
    const runs = (this.startCounts.get(part) ?? 0) + 1;
    this.startCounts.set(part, runs);
    this.startCounts.set(identity, (this.startCounts.get(identity) ?? 0) + 1);
    this.check(idempotent || runs === 1, 'at most once', () =>
      JSON.stringify({part, runs, worker: on.name}),
    );
    this.check(
      !this.reportedNotRunAtMs.has(identity),
      'not run is the truth',
      () =>
        JSON.stringify({
          identity,
          toldAt: this.reportedNotRunAtMs.get(identity),
        }),
    );
  }

  taskEnded(on: fakeWorker.FakeWorker, start: task.TaskStart): void {
    const part = start.task.split('.').slice(0, -1).join('.');
    this.runningTasks.get(part)?.delete(`${on.name} ${start.task}`);
  }

  /** Takes note of what a client was told of its own request. */
  replyReceived(request: ClientView, code: number, answer: string): void {
    const {identity} = request;
    this.trace(`client is told ${code} of ${identity}`);
    const row = Object.values(result.RESULT_CODES).find(
      known => known.code === code,
    );
    if (row === undefined) return;
    if (row.execution === 'notRun') {
      this.reportedNotRunAtMs.set(identity, this.now());
      this.check(this.runCount(identity) === 0, 'not run is the truth', () =>
        JSON.stringify({identity, code, runs: this.runCount(identity)}),
      );
    }
    if (code === result.RESULT_CODES.ok.code) {
      this.check(answer === expectedAnswer(request), 'own whole answer', () =>
        JSON.stringify({answer, ...request}),
      );
    }
  }

  private check(
    holds: boolean,
    invariant: string,
    evidence: () => string,
  ): void {
    this.checks += 1;
    if (holds) return;
    this.violationsFound.push({
      atMs: this.now(),
      invariant,
      evidence: evidence(),
    });
  }
}

/** The answers of several tasks come as one JSON list. */
function expectedAnswer(request: ClientView): string {
  const answer = `done ${request.payload}`;
  if (request.taskCount === 1) return answer;
  return JSON.stringify(new Array(request.taskCount).fill(answer));
}
