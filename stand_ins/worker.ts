import * as http from 'node:http';
import * as jsonBody from '../src/links/json_body.js';
import * as resources from '../src/machines/resources.js';
import type * as task from '../src/contracts/task.js';

/** What a stand-in worker is made with. */
export interface WorkerOptions {
  readonly name: string;
  readonly rack: string;
  readonly capacity: resources.Resources;
  /** Run time of a task whose payload does not name one. */
  readonly runTimeMs: number;
}

/** Failures that a test switches on. */
export interface WorkerFailures {
  /** Every task fails at once. */
  readonly failsEverything: boolean;
  /** Starts take effect but their answers are lost. */
  readonly losesStartAnswers: boolean;
}

interface RunningTask {
  readonly start: task.TaskStart;
  readonly timer: NodeJS.Timeout;
  leaseEnd: number;
  state: task.TaskState;
  answer: string;
  readonly waiting: http.ServerResponse[];
}

interface Payload {
  readonly runTimeMs?: number;
  readonly answer?: string;
}

/** How often leases are checked. */
const LEASE_CHECK_MS = 50;

/**
 * Stand-in for a platform worker. It runs what it is told under leases and
 * checks nothing else; it notes when it was overcommitted.
 */
export class StandInWorker {
  private readonly tasks = new Map<string, RunningTask>();
  private readonly server: http.Server;
  private readonly leaseTimer: NodeJS.Timeout;
  private failures: WorkerFailures = {
    failsEverything: false,
    losesStartAnswers: false,
  };
  private leaving = false;
  private readonly runs = new Map<string, number>();
  private overcommitments = 0;

  constructor(private readonly options: WorkerOptions) {
    this.server = http.createServer((incoming, response) => {
      void this.serve(incoming, response);
    });
    this.leaseTimer = setInterval(() => this.lapse(), LEASE_CHECK_MS);
    this.leaseTimer.unref();
  }

  /** Listens on a port that the system chooses when `port` is 0. */
  listen(port = 0): Promise<string> {
    return new Promise(resolve => {
      this.server.listen(port, '127.0.0.1', () => {
        const address = this.server.address();
        const chosen = typeof address === 'object' ? address?.port : port;
        resolve(`127.0.0.1:${chosen}`);
      });
    });
  }

  /** Switches failures on or off. */
  fail(failures: Partial<WorkerFailures>): void {
    this.failures = {...this.failures, ...failures};
  }

  /** Says in reports that the worker leaves. */
  leave(): void {
    this.leaving = true;
  }

  /** How often each request's first task was run. */
  runCounts(): ReadonlyMap<string, number> {
    return this.runs;
  }

  /** Starts that took the worker over its capacity. */
  overcommitmentCount(): number {
    return this.overcommitments;
  }

  /** Stops the worker with everything on it. */
  close(): void {
    clearInterval(this.leaseTimer);
    for (const running of this.tasks.values()) clearTimeout(running.timer);
    this.server.close();
    this.server.closeAllConnections();
  }

  private async serve(
    incoming: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const body = await jsonBody.readBody(incoming, 16_777_216, 10_000);
    if (body.kind !== 'body') {
      response.destroy();
      return;
    }
    const [, first, name, part] = (incoming.url ?? '').split('/');
    const taskName = decodeURIComponent(name ?? '');
    if (first === 'report') {
      jsonBody.sendJson(response, 200, this.report());
    } else if (first === 'renewals') {
      this.renew(jsonBody.parseObject(body.text) ?? {});
      jsonBody.sendJson(response, 200, {});
    } else if (incoming.method === 'POST' && name === undefined) {
      const start = jsonBody.parseObject(body.text);
      this.start(start as unknown as task.TaskStart, response);
    } else if (part === 'answer') {
      this.answer(taskName, response);
    } else if (incoming.method === 'DELETE') {
      this.end(taskName, 'stopped', '');
      jsonBody.sendJson(response, 200, {});
    } else if (part === 'checkpoint') {
      this.end(taskName, 'checkpointed', '');
      jsonBody.sendJson(response, 200, {});
    } else {
      jsonBody.sendJson(response, 200, {});
    }
  }

  private start(start: task.TaskStart, response: http.ServerResponse): void {
    if (start.leaseEnd <= performance.now()) {
      jsonBody.sendJson(response, 410, {detail: 'the lease has lapsed'});
      return;
    }
    const identity = start.label.identity;
    this.runs.set(identity, (this.runs.get(identity) ?? 0) + 1);
    const payload = readPayload(start.payload);
    const failing = this.failures.failsEverything;
    const timer = setTimeout(
      () =>
        this.end(
          start.task,
          failing ? 'failed' : 'finished',
          payload.answer ?? `done ${start.payload}`,
        ),
      failing ? 0 : (payload.runTimeMs ?? this.options.runTimeMs),
    );
    this.tasks.set(start.task, {
      start,
      timer,
      leaseEnd: start.leaseEnd,
      state: 'running',
      answer: '',
      waiting: [],
    });
    if (!resources.fits(this.used(), this.options.capacity)) {
      this.overcommitments += 1;
    }
    if (this.failures.losesStartAnswers) response.destroy();
    else jsonBody.sendJson(response, 201, {workerClock: performance.now()});
  }

  private used(): resources.Resources {
    let used = resources.NONE;
    for (const running of this.tasks.values()) {
      if (running.state !== 'running') continue;
      used = resources.add(used, running.start.size);
    }
    return used;
  }

  private end(name: string, state: task.TaskState, answer: string): void {
    const running = this.tasks.get(name);
    if (running === undefined || running.state !== 'running') return;
    clearTimeout(running.timer);
    running.state = state;
    running.answer = answer;
    for (const response of running.waiting) this.sendAnswer(running, response);
    running.waiting.length = 0;
  }

  private answer(name: string, response: http.ServerResponse): void {
    const running = this.tasks.get(name);
    if (running === undefined) jsonBody.sendJson(response, 404, {});
    else if (running.state === 'running') running.waiting.push(response);
    else this.sendAnswer(running, response);
  }

  private sendAnswer(
    running: RunningTask,
    response: http.ServerResponse,
  ): void {
    jsonBody.sendJson(response, 200, {
      task: running.start.task,
      state: running.state,
      answer: running.answer,
    });
  }

  private renew(body: Readonly<Record<string, unknown>>): void {
    for (const name of (body['tasks'] ?? []) as ReadonlyArray<string>) {
      const running = this.tasks.get(name);
      if (running === undefined) continue;
      running.leaseEnd = Math.max(running.leaseEnd, Number(body['leaseEnd']));
    }
  }

  private lapse(): void {
    const now = performance.now();
    for (const [name, running] of this.tasks) {
      if (running.leaseEnd <= now) this.end(name, 'lapsed', '');
    }
  }

  private report(): Omit<task.WorkerReport, 'worker'> {
    return {
      workerClock: performance.now(),
      capacity: this.options.capacity,
      rack: this.options.rack,
      leaving: this.leaving,
      tasks: [...this.tasks.values()].map(running => ({
        task: running.start.task,
        label: running.start.label,
        state: running.state,
        size: running.start.size,
        usage: running.start.size,
        leaseEnd: running.leaseEnd,
      })),
    };
  }
}

function readPayload(payload: string): Payload {
  return (jsonBody.parseObject(payload) ?? {}) as Payload;
}
