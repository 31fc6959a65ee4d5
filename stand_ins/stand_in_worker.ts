import * as timers from 'node:timers/promises';
import * as jsonBody from '../src/links/json_body.js';
import * as resources from '../src/machines/resources.js';
import * as standInServer from './stand_in_server.js';
import * as workerTask from './worker_task.js';
import type * as task from '../src/contracts/task.js';

/** Size, timing and clock of a stand-in worker. */
export interface StandInWorkerOptions {
  readonly name: string;
  readonly rack: string;
  readonly capacity: resources.Resources;
  /** Default run time, for tasks whose payload sets none. */
  readonly runTimeMs: number;
  /** Time until reports include the usage of a task; 0 by default. */
  readonly usageLagMs?: number;
  /** Time for which ended tasks stay in reports; 10 minutes by default. */
  readonly endedRetentionMs?: number;
  /** Rate of the worker's clock relative to real time; 1 by default. */
  readonly clockRate?: number;
  /** Reading of the worker's clock at its start; 0 by default. */
  readonly clockOffsetMs?: number;
  /** Largest number of connections; unlimited by default. */
  readonly connectionLimit?: number;
}

/** Failures that a test can inject. */
export interface WorkerFailures {
  /** Every task fails at once. */
  readonly failsEverything: boolean;
  /** Starts take effect but are not answered. */
  readonly losesStartAnswers: boolean;
  /** Delay before a start takes effect. */
  readonly startDelayMs: number;
  /** No call is answered; connections stay open. */
  readonly hangs: boolean;
}

const NO_FAILURES: WorkerFailures = {
  failsEverything: false,
  losesStartAnswers: false,
  startDelayMs: 0,
  hangs: false,
};

/** Interval of the check of leases, ended tasks, usage and connections. */
const CHECK_INTERVAL_MS = 20;

/** Default time for which ended tasks stay in reports: ten minutes. */
const DEFAULT_ENDED_RETENTION_MS = 600_000;

/**
 * Stand-in for a worker of the platform. It enforces leases but not its
 * capacity, and counts how often it was overcommitted.
 */
export class StandInWorker implements standInServer.StandInHandler {
  private readonly tasks = new Map<string, workerTask.WorkerTask>();
  private readonly server = new standInServer.StandInServer(this);
  private readonly checkTimer: NodeJS.Timeout;
  private failures = NO_FAILURES;
  private leaving = false;
  private readonly startCountsByIdentity = new Map<string, number>();
  private overcommitments = 0;
  private overuses = 0;
  private lapsedStarts = 0;
  private mostConnections = 0;

  constructor(private readonly options: StandInWorkerOptions) {
    if (options.connectionLimit !== undefined) {
      this.server.limitConnections(options.connectionLimit);
    }
    this.checkTimer = setInterval(() => this.checkTasks(), CHECK_INTERVAL_MS);
    this.checkTimer.unref();
  }

  /** Starts listening and returns the address; port 0 selects a free port. */
  listen(port = 0): Promise<string> {
    return this.server.listen(port);
  }

  /** Updates the given failures; the others stay as they are. */
  updateFailures(failures: Partial<WorkerFailures>): void {
    this.failures = {...this.failures, ...failures};
  }

  /** Stops answering on the open connections; later connections work. */
  silenceConnections(): void {
    this.server.silenceConnections();
  }

  /** Reports the worker as leaving from now on. */
  startLeaving(): void {
    this.leaving = true;
  }

  /** Returns the number of task starts by request identity. */
  startCounts(): ReadonlyMap<string, number> {
    return this.startCountsByIdentity;
  }

  /** Returns the number of running tasks. */
  runningCount(): number {
    return [...this.tasks.values()].filter(item => item.state === 'running')
      .length;
  }

  /** Returns the number of open connections, silenced ones included. */
  connectionCount(): number {
    return this.server.connectionCount();
  }

  /** Returns the number of starts that exceeded the worker's capacity. */
  overcommitmentCount(): number {
    return this.overcommitments;
  }

  /** Stops all tasks and closes the server. */
  close(): void {
    clearInterval(this.checkTimer);
    for (const known of this.tasks.values()) known.end('stopped', '');
    this.server.close();
  }

  /** Serves the calls of the entry process that owns the worker. */
  async serve(call: standInServer.StandInCall): Promise<void> {
    if (this.failures.hangs) return;
    const [, collection, name, action] = call.url.pathname.split('/');
    if (collection === 'report') call.send(200, this.report());
    else if (collection === 'renewals') this.renewLeases(call);
    else if (collection !== 'tasks') call.send(404, {detail: 'no such path'});
    else if (name === undefined) await this.serveStart(call);
    else this.serveTask(decodeURIComponent(name), action, call);
  }

  /** Applies `leave`, `silenceConnections` and failures by their names. */
  control(change: Readonly<Record<string, unknown>>): void {
    const {leave, silenceConnections, ...failures} = change;
    if (leave === true) this.startLeaving();
    if (silenceConnections === true) this.silenceConnections();
    this.updateFailures(failures);
  }

  /** Returns counters and the injected failures. */
  observe(): unknown {
    return {
      name: this.options.name,
      runs: Object.fromEntries(this.startCountsByIdentity),
      running: this.runningCount(),
      overcommitments: this.overcommitments,
      overuses: this.overuses,
      lapsedStarts: this.lapsedStarts,
      connections: this.server.connectionCount(),
      mostConnections: this.mostConnections,
      failures: this.failures,
    };
  }

  private async serveStart(call: standInServer.StandInCall): Promise<void> {
    const start = jsonBody.parseJsonObject(call.body);
    if (start === undefined) {
      call.send(400, {detail: 'body: must be a JSON object'});
      return;
    }
    const {startDelayMs} = this.failures;
    if (startDelayMs > 0) await timers.setTimeout(startDelayMs);
    this.startTask(start as unknown as task.TaskStart, call);
  }

  private startTask(
    start: task.TaskStart,
    call: standInServer.StandInCall,
  ): void {
    if (start.leaseEnd <= this.clockMs()) {
      this.lapsedStarts += 1;
      call.send(410, {detail: 'the lease has lapsed'});
      return;
    }
    const {identity} = start.label;
    this.startCountsByIdentity.set(
      identity,
      (this.startCountsByIdentity.get(identity) ?? 0) + 1,
    );
    const created = new workerTask.WorkerTask(start, {
      runTimeMs: this.options.runTimeMs,
      usageLagMs: this.options.usageLagMs ?? 0,
      failsEverything: this.failures.failsEverything,
    });
    this.tasks.set(start.task, created);
    const reserved = this.sumRunning(item => item.size);
    if (!resources.fits(reserved, this.options.capacity)) {
      this.overcommitments += 1;
    }
    if (this.failures.losesStartAnswers) call.drop();
    else call.send(201, {workerClock: this.clockMs()});
  }

  private serveTask(
    name: string,
    action: string | undefined,
    call: standInServer.StandInCall,
  ): void {
    const known = this.tasks.get(name);
    if (known === undefined) {
      call.send(404, {detail: 'no such task'});
      return;
    }
    if (action === 'answer') {
      known.whenEnded(answer => call.send(200, answer));
      return;
    }
    if (call.method === 'DELETE') known.end('stopped', '');
    else if (action === 'checkpoint') known.end('checkpointed', '');
    else if (action === 'throttle') {
      const limit = jsonBody.parseJsonObject(call.body);
      known.throttle(limit as unknown as resources.Resources);
    }
    call.send(200, {});
  }

  private renewLeases(call: standInServer.StandInCall): void {
    const body = jsonBody.parseJsonObject(call.body) ?? {};
    for (const name of (body['tasks'] ?? []) as ReadonlyArray<string>) {
      this.tasks.get(name)?.renew(Number(body['leaseEnd']));
    }
    call.send(200, {});
  }

  private checkTasks(): void {
    const retentionMs =
      this.options.endedRetentionMs ?? DEFAULT_ENDED_RETENTION_MS;
    const now = performance.now();
    for (const [name, known] of this.tasks) {
      known.endIfLeaseLapsed(this.clockMs());
      const retained =
        known.state === 'running' || now - known.endedAt < retentionMs;
      if (!retained) this.tasks.delete(name);
    }
    const used = this.sumRunning(item => item.usage());
    if (!resources.fits(used, this.options.capacity)) this.overuses += 1;
    this.mostConnections = Math.max(
      this.mostConnections,
      this.server.connectionCount(),
    );
  }

  private sumRunning(
    measure: (item: workerTask.WorkerTask) => resources.Resources,
  ): resources.Resources {
    let total = resources.NONE;
    for (const known of this.tasks.values()) {
      if (known.state !== 'running') continue;
      total = resources.add(total, measure(known));
    }
    return total;
  }

  private clockMs(): number {
    const {clockRate = 1, clockOffsetMs = 0} = this.options;
    return clockOffsetMs + performance.now() * clockRate;
  }

  private report(): Omit<task.WorkerReport, 'worker'> {
    return {
      workerClock: this.clockMs(),
      capacity: this.options.capacity,
      rack: this.options.rack,
      leaving: this.leaving,
      tasks: [...this.tasks.values()].map(known => known.report()),
    };
  }
}
