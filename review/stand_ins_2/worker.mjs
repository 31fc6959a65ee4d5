// Stand-in of a worker. The spec of a job is JSON: `ms` is how long each task
// works, `lasts` that it goes on until it is stopped.
import * as http from 'node:http';

const MAXIMUM_LEASE_MS = 10_000;
const ENDS_PER_REPORT = 500;
const STEP_MS = 10;
const HEARTBEAT_MS = 1_500;

/** Range of the time after which an order without an answer is carried out. */
const LATE_MINIMUM_MS = 2_000;
const LATE_MAXIMUM_MS = 12_000;

/** How long a task works on a worker that fails all that it starts. */
const FAILURE_MS = 50;

/** Time from a restart until the worker writes its entry. */
const FIRST_ENTRY_MS = 400;

export class Worker {
  /**
   * `record` receives each start and end: {at, kind, worker, task, run, how}.
   */
  constructor({id, machine, service, zone, rack, cpu, record}) {
    Object.assign(this, {id, machine, service, zone, rack, cpu, record});
    this.server = http.createServer((request, response) => {
      this.serve(request, response).catch(() => response.destroy());
    });
    this.alive = true;
    /** Share of the starts that get no answer and are carried out late. */
    this.lateShare = 0;
    /** Whether all that is started here fails. */
    this.failsAll = false;
    this.beginLife();
  }

  /** Begins a life: the worker holds and knows nothing of before. */
  beginLife() {
    this.born = Date.now();
    this.clockStart = performance.now();
    this.running = new Map();
    this.highestEnded = new Map();
    this.finished = [];
    this.nextNumber = 1;
    this.fence = 0;
    this.leaseEnd = 0;
    this.seq = 0;
    this.down = false;
  }

  /**
   * Crashes silently and starts again under its id after a time. Its host then
   * resets the connections of before.
   */
  crashFor(downMs, store) {
    this.down = true;
    clearInterval(this.heartbeat);
    for (const [task, {run}] of this.running) {
      this.note('end', task, run, 'gone');
    }
    this.running.clear();
    this.restart = setTimeout(() => {
      this.server.closeAllConnections();
      this.beginLife();
      this.failsAll = false;
      this.restart = setTimeout(() => this.register(store), FIRST_ENTRY_MS);
    }, downMs);
  }

  /** Keeps an order; the life that is up then carries it out. */
  keepLateStart(body) {
    const spread = LATE_MAXIMUM_MS - LATE_MINIMUM_MS;
    const carryOut = () => {
      if (!this.alive || this.down || body.fencing_token < this.fence) return;
      this.fence = body.fencing_token;
      this.advance();
      this.start(body, () => {});
    };
    const delayMs = LATE_MINIMUM_MS + spread * Math.random();
    setTimeout(carryOut, delayMs).unref();
  }

  async listen(host, port) {
    this.address = `${host}:${port}`;
    await new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
    this.timer = setInterval(() => this.advance(), STEP_MS);
  }

  /** Registers the worker in the store and goes on doing so. */
  register(store) {
    const beat = () => store.put('keyed.servers', this.id, this.entry());
    beat();
    this.heartbeat = setInterval(beat, HEARTBEAT_MS);
  }

  entry() {
    this.seq += 1;
    return {
      service_name: this.service,
      address: this.address,
      zone: this.zone,
      version: 'v1',
      slots: 8,
      state: 'ready',
      cold_left_ms: 0,
      seq: this.seq,
      born: this.born,
      machine: this.machine,
      capacity: {cpu: this.cpu, mem_mb: 32_768, gpu: 0},
      labels: ['a', this.rack],
    };
  }

  /** Ends for good; the registry drops its entry after three heartbeats. */
  crash(store) {
    this.alive = false;
    clearInterval(this.timer);
    clearInterval(this.heartbeat);
    for (const [task, {run}] of this.running)
      this.note('end', task, run, 'gone');
    this.running.clear();
    this.server.closeAllConnections();
    this.server.close();
    const drop = () => store.put('keyed.servers', this.id, undefined);
    this.dropTimer = setTimeout(drop, 3 * HEARTBEAT_MS);
  }

  close() {
    clearInterval(this.timer);
    clearInterval(this.heartbeat);
    clearTimeout(this.dropTimer);
    clearTimeout(this.restart);
    this.server.closeAllConnections();
    this.server.close();
  }

  get clockMs() {
    return Math.floor(performance.now() - this.clockStart);
  }

  note(kind, task, run, how = '') {
    this.record({at: performance.now(), kind, worker: this.id, task, run, how});
  }

  advance() {
    if (this.down) return;
    const now = this.clockMs;
    for (const [task, entry] of this.running) {
      if (entry.endsAt <= now) this.end(task, entry.how);
      else if (this.leaseEnd <= now) this.end(task, 'lapsed');
    }
  }

  end(task, how) {
    const {run} = this.running.get(task);
    this.running.delete(task);
    this.raiseEnded(task, run);
    this.finished.push([this.nextNumber, task, run, how, '']);
    this.nextNumber += 1;
    this.note('end', task, run, how);
  }

  raiseEnded(task, run) {
    const known = this.highestEnded.get(task) ?? 0;
    this.highestEnded.set(task, Math.max(known, run));
  }

  extendLease(deadlineMs) {
    if (typeof deadlineMs !== 'number') return;
    const granted = Math.min(deadlineMs, this.clockMs + MAXIMUM_LEASE_MS);
    this.leaseEnd = Math.max(this.leaseEnd, granted);
  }

  async serve(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    if (this.down) return undefined;
    const body = JSON.parse(Buffer.concat(chunks).toString() || '{}');
    const answer = (status, fields = {}) => {
      response.writeHead(status, {'content-type': 'application/json'});
      const text = {clock_ms: this.clockMs, born: this.born, ...fields};
      response.end(JSON.stringify(text));
    };
    if (request.headers['expect-instance'] !== this.id) return answer(421);
    const isLate = Math.random() < this.lateShare;
    if (request.url === '/run-start' && isLate) return this.keepLateStart(body);
    this.advance();
    const token = body.fencing_token ?? 0;
    if (token < this.fence) return answer(409, {reason: 'fence'});
    this.fence = token;
    switch (request.url) {
      case '/run-start':
        return this.start(body, answer);
      case '/run-stop':
        this.raiseEnded(body.task, body.run);
        if (this.running.get(body.task)?.run === body.run) {
          this.end(body.task, 'stopped');
        }
        return answer(200);
      case '/hold':
        return this.hold(body, answer);
      case '/pace':
        return answer(200);
      default:
        return answer(404);
    }
  }

  start(body, answer) {
    const {task, run, spec, deadline_ms: deadlineMs} = body;
    this.extendLease(deadlineMs);
    if (deadlineMs <= this.clockMs) return answer(409, {reason: 'late'});
    const current = this.running.get(task);
    if (current?.run === run) return answer(200);
    const ended = this.highestEnded.get(task) ?? 0;
    if (current !== undefined || run <= ended) {
      return answer(409, {reason: 'old'});
    }
    const {ms = 1_000, lasts = false} = JSON.parse(spec);
    const startedAt = this.clockMs;
    const how = this.failsAll ? 'failed' : 'done';
    const workMs = this.failsAll ? FAILURE_MS : ms;
    const endsAt = lasts ? Infinity : startedAt + workMs;
    this.running.set(task, {run, startedAt, endsAt, ms, lasts, how});
    this.note('start', task, run);
    return answer(200);
  }

  async hold(body, answer) {
    const {born} = this;
    this.extendLease(body.deadline_ms);
    const acknowledged = body.ack_cursor ?? 0;
    this.finished = this.finished.filter(([number]) => number > acknowledged);
    const waitUntil = performance.now() + (body.wait_ms ?? 0);
    while (this.finished.length === 0 && performance.now() < waitUntil) {
      await new Promise(resolve => setTimeout(resolve, STEP_MS));
    }
    if (this.down || this.born !== born) return undefined;
    const now = this.clockMs;
    const running = [...this.running].map(([task, entry]) => {
      const {run, startedAt, ms, lasts} = entry;
      const percent = lasts ? 100 : Math.floor((100 * (now - startedAt)) / ms);
      return [task, run, '', percent, 500];
    });
    const finished = this.finished.slice(0, ENDS_PER_REPORT);
    return answer(200, {running, finished});
  }
}
