import * as resources from '../../src/machines/resources.js';
import * as result from '../../src/result.js';
import type * as task from '../../src/contracts/task.js';
import type * as worker from './worker.js';

/** A few seconds: after them a leaving worker gets no new task. */
const LEAVING_LIMIT_MS = 7_000;

/** A broken promise with its evidence. */
export interface Violation {
  readonly at: number;
  readonly promise: string;
  readonly evidence: string;
}

/** A request as its client knows it. */
export interface ToldRequest {
  readonly identity: string;
  readonly payload: string;
  readonly taskCount: number;
}

/**
 * Checks what must always hold from outside: it sees what the workers run and
 * what the clients are told, and nothing that the system believes.
 */
export class Checker implements worker.WorkerObserver {
  private readonly runs = new Map<string, number>();
  private readonly places = new Map<string, Set<string>>();
  private readonly toldNotRun = new Map<string, number>();
  private readonly found: Violation[] = [];
  private checks = 0;

  constructor(
    private readonly now: () => number,
    private readonly note: (line: string) => void,
  ) {}

  /** Broken promises so far. */
  violations(): ReadonlyArray<Violation> {
    return this.found;
  }

  /** How often a promise was checked. */
  checkCount(): number {
    return this.checks;
  }

  /** How often the tasks of an identity were started. */
  runCount(identity: string): number {
    return this.runs.get(identity) ?? 0;
  }

  taskStarted(on: worker.FakeWorker, start: task.TaskStart): void {
    const {identity, idempotent} = start.label;
    this.note(`${on.name} starts ${start.task}`);
    this.check(resources.fits(on.used(), on.capacity), 'capacity', () =>
      JSON.stringify({worker: on.name, used: on.used(), task: start.task}),
    );
    const leavingFor = this.now() - on.leavingSince;
    this.check(leavingFor < LEAVING_LIMIT_MS, 'nothing new on leaving', () =>
      JSON.stringify({worker: on.name, leavingFor, task: start.task}),
    );
    // Tasks of one request are told apart by their index.
    const part = start.task.split('.').slice(0, -1).join('.');
    const places = this.places.get(part) ?? new Set();
    this.check(places.size === 0, 'one place', () =>
      JSON.stringify({part, running: [...places], also: on.name}),
    );
    places.add(`${on.name} ${start.task}`);
    this.places.set(part, places);
    const runs = (this.runs.get(part) ?? 0) + 1;
    this.runs.set(part, runs);
    this.runs.set(identity, (this.runs.get(identity) ?? 0) + 1);
    this.check(idempotent || runs === 1, 'at most once', () =>
      JSON.stringify({part, runs, worker: on.name}),
    );
    this.check(!this.toldNotRun.has(identity), 'not run is the truth', () =>
      JSON.stringify({identity, toldAt: this.toldNotRun.get(identity)}),
    );
  }

  taskEnded(on: worker.FakeWorker, start: task.TaskStart): void {
    const part = start.task.split('.').slice(0, -1).join('.');
    this.places.get(part)?.delete(`${on.name} ${start.task}`);
  }

  /** Takes note of what a client was told of its own request. */
  told(request: ToldRequest, code: number, answer: string): void {
    const {identity} = request;
    this.note(`client is told ${code} of ${identity}`);
    const row = Object.values(result.RESULT_CODES).find(
      known => known.code === code,
    );
    if (row === undefined) return;
    if (row.execution === 'notRun') {
      this.toldNotRun.set(identity, this.now());
      this.check(this.runCount(identity) === 0, 'not run is the truth', () =>
        JSON.stringify({identity, code, runs: this.runCount(identity)}),
      );
    }
    if (code === result.RESULT_CODES.ok.code) {
      this.check(answer === wholeAnswer(request), 'own whole answer', () =>
        JSON.stringify({answer, ...request}),
      );
    }
  }

  private check(holds: boolean, promise: string, evidence: () => string): void {
    this.checks += 1;
    if (holds) return;
    this.found.push({at: this.now(), promise, evidence: evidence()});
  }
}

/** The answers of several tasks come as one JSON list. */
function wholeAnswer(request: ToldRequest): string {
  const answer = `done ${request.payload}`;
  if (request.taskCount === 1) return answer;
  return JSON.stringify(new Array(request.taskCount).fill(answer));
}
