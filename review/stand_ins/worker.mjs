import * as http from 'node:http';
import * as relays from './relay.mjs';
import {sendJson} from './store.mjs';

/** Most ends that one answer to a hold returns. */
const ENDS_PER_ANSWER = 500;

/** Longest lease (`hold_max_ms`). */
const HOLD_MAX_MS = 10_000;

/** Longest wait of a hold. */
const WAIT_MAX_MS = 2_000;

/** Time that a stop takes; `stop_ms` allows 400. */
const STOP_MS = 30;

/** Interval at which leases and ends are checked. */
const STEP_MS = 5;

const REGISTRATION_MS = 1_500;

/**
 * Stand-in for a worker of the platform, as `PROTOCOL.md` describes it, behind
 * a relay. The duration of a task is the number in its job's `spec`, in ms; a
 * task of the spec `serve` lasts.
 */
export class Worker {
  constructor({id, host, store, service, record, cpu = 16_000}) {
    Object.assign(this, {id, host, store, service, record, cpu});
    this.relay = new relays.Relay();
    this.server = http.createServer((request, response) => {
      this.serve(request, response).catch(() => response.destroy());
    });
    this.up = false;
  }

  async start() {
    await new Promise(resolve => this.server.listen(0, this.host, resolve));
    await this.relay.listen(this.host, this.server.address().port);
    this.address = this.relay.address;
    this.beginLife();
    this.stepTimer = setInterval(() => this.step(), STEP_MS);
    this.registerTimer = setInterval(() => this.register(), REGISTRATION_MS);
    this.register();
  }

  close() {
    clearInterval(this.stepTimer);
    clearInterval(this.registerTimer);
    this.relay.close();
    this.server.closeAllConnections();
    this.server.close();
  }

  /** Begins a life: it knows nothing of an earlier one. */
  beginLife() {
    this.born = Date.now();
    this.bornAt = performance.now();
    this.seq = 0;
    this.fence = 0;
    this.deadline = 0;
    this.running = new Map();
    this.highestEnded = new Map();
    this.ended = [];
    this.endCount = 0;
    this.up = true;
    this.record('life', {worker: this.id, born: this.born});
  }

  /** Crashes: what runs is lost. */
  crash() {
    this.up = false;
    for (const {task, run} of this.running.values()) {
      this.record('lost', {worker: this.id, task, run});
    }
    this.running.clear();
    this.record('crash', {worker: this.id});
  }

  register() {
    if (!this.up || this.relay.silent) return;
    this.seq += 1;
    this.store.put('keyed.servers', this.id, {
      service_name: this.service,
      address: this.address,
      zone: 'zone-a',
      version: 'v1',
      slots: 8,
      state: 'ready',
      cold_left_ms: 0,
      seq: this.seq,
      capacity: {cpu: this.cpu, mem_mb: 32_768, gpu: 0},
      labels: ['a', 'r1-1'],
      machine: `machine-${this.id}`,
      born: this.born,
    });
  }

  clock() {
    return Math.floor(performance.now() - this.bornAt);
  }

  async serve(request, response) {
    const {born} = this;
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    if (!this.up || born !== this.born) {
      response.destroy();
      return;
    }
    const body = JSON.parse(Buffer.concat(chunks).toString());
    const expected = request.headers['expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      sendJson(response, 421, {clock_ms: this.clock()});
      return;
    }
    const fence = body.fencing_token ?? 0;
    if (fence < this.fence) {
      this.reject(response, 'fence');
      return;
    }
    this.fence = fence;
    if (request.url === '/run-start') this.startRun(body, response);
    else if (request.url === '/run-stop') this.stopRun(body, response);
    else if (request.url === '/hold') await this.hold(body, response, born);
    else if (request.url === '/pace') this.pace(body, response);
    else sendJson(response, 404, {});
  }

  answer(response) {
    sendJson(response, 200, {clock_ms: this.clock()});
  }

  reject(response, reason) {
    sendJson(response, 409, {clock_ms: this.clock(), reason});
  }

  extendLease(deadline) {
    if (deadline === undefined) return;
    const limit = Math.min(deadline, this.clock() + HOLD_MAX_MS);
    this.deadline = Math.max(this.deadline, limit);
  }

  startRun({task, run, spec, deadline_ms: deadline}, response) {
    this.step();
    if (deadline <= this.clock()) {
      this.reject(response, 'late');
      return;
    }
    this.extendLease(deadline);
    const current = this.running.get(task);
    if (current?.run === run) {
      this.answer(response);
      return;
    }
    if (current !== undefined || run <= (this.highestEnded.get(task) ?? 0)) {
      this.reject(response, 'old');
      return;
    }
    const now = performance.now();
    const workMs = spec === 'serve' ? Infinity : Number(spec);
    this.running.set(task, {task, run, startedAt: now, workMs, pace: 100});
    this.record('started', {worker: this.id, task, run, born: this.born});
    this.answer(response);
  }

  stopRun({task, run}, response) {
    this.step();
    this.highestEnded.set(
      task,
      Math.max(this.highestEnded.get(task) ?? 0, run),
    );
    const current = this.running.get(task);
    if (current?.run === run) {
      const {born} = this;
      setTimeout(() => {
        const isSame = this.up && this.born === born;
        if (isSame && this.running.get(task) === current) {
          this.end(current, 'stopped');
        }
      }, STOP_MS);
    }
    this.answer(response);
  }

  async hold(body, response, born) {
    this.step();
    this.extendLease(body.deadline_ms);
    const cursor = body.ack_cursor ?? 0;
    for (const end of this.ended) {
      if (end[0] <= cursor) this.recordNoted(end);
    }
    this.ended = this.ended.filter(end => end[0] > cursor);
    const waitMs = Math.min(body.wait_ms ?? 0, WAIT_MAX_MS);
    const waitUntil = performance.now() + waitMs;
    while (this.ended.length === 0 && performance.now() < waitUntil) {
      await new Promise(resolve => setTimeout(resolve, STEP_MS));
      if (!this.up || this.born !== born) {
        response.destroy();
        return;
      }
    }
    const finished = this.ended.slice(0, ENDS_PER_ANSWER);
    for (const end of finished) this.recordListed(end);
    sendJson(response, 200, {
      clock_ms: this.clock(),
      born: this.born,
      running: [...this.running.values()].map(item => this.runRow(item)),
      finished,
    });
  }

  /** Lets a task work at a share of its speed. */
  pace({task, run, percent}, response) {
    const item = this.running.get(task);
    if (item?.run === run) item.pace = percent;
    this.record('paced', {worker: this.id, task, run, percent});
    this.answer(response);
  }

  runRow(item) {
    const {task, run, startedAt, workMs} = item;
    const elapsedMs = performance.now() - startedAt;
    const done = workMs === Infinity ? 1 : elapsedMs / workMs;
    const percent = Math.min(100, Math.floor(100 * done));
    return [task, run, '', percent, this.usageOf(item)];
  }

  /** Returns after what time a run fails. */
  failsAfterMs() {
    return Infinity;
  }

  /** Returns the rough figure that a report gives for a run. */
  usageOf() {
    return 500;
  }

  recordListed(end) {
    if (end.listed) return;
    end.listed = true;
    const [, task, run, how] = end;
    this.record('listed', {worker: this.id, task, run, how});
  }

  recordNoted([, task, run, how]) {
    this.record('noted', {worker: this.id, task, run, how});
  }

  /** Ends what is done, and everything once the lease has expired. */
  step() {
    if (!this.up) return;
    const now = performance.now();
    const isLapsed = this.clock() >= this.deadline;
    for (const item of [...this.running.values()]) {
      if (now - item.startedAt >= this.failsAfterMs(item)) {
        this.end(item, 'failed');
        continue;
      }
      if (now - item.startedAt >= item.workMs) this.end(item, 'done');
      else if (isLapsed) this.end(item, 'lapsed');
    }
  }

  end(item, how) {
    const {task, run} = item;
    this.running.delete(task);
    this.highestEnded.set(
      task,
      Math.max(this.highestEnded.get(task) ?? 0, run),
    );
    this.endCount += 1;
    this.ended.push([this.endCount, task, run, how, '']);
    this.record('ended', {worker: this.id, task, run, how});
  }
}
