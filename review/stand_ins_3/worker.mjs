// Stand-in for a worker of the platform, as the users' protocol page describes
// it: runs with leases, fencing tokens, numbered ends, checkpoints and gangs.
import * as http from 'node:http';
import * as store from './store.mjs';

const TICK_MS = 10;
const STOP_MS = 50;
const MAXIMUM_LEASE_MS = 10_000;
const MAXIMUM_LISTED_ENDS = 500;
const GANG_WAIT_MS = 3_000;

/** Time between two entries that a worker writes to the registry. */
export const PING_MS = 1_500;

let nextCheckpoint = 1;

/** What all workers of a case share: the plan of each task, and the record. */
export class WorkerWorld {
  /**
   * `planOf(name)` returns `{workMs, lasts, gang, checkpointMs, failsAfterMs}`
   * of a task; the last one is for its first run only.
   */
  constructor(planOf, record) {
    this.planOf = planOf;
    this.record = record;
    this.workers = [];
  }

  /** Returns the runs of all members of one run of a gang that are present. */
  membersOf(run) {
    const stepOf = name => name.slice(0, name.lastIndexOf('.'));
    const members = [];
    for (const worker of this.workers) {
      for (const other of worker.running.values()) {
        const isMember =
          stepOf(other.task) === stepOf(run.task) && other.run === run.run;
        if (isMember) members.push({worker, run: other});
      }
    }
    return members;
  }
}

export class Worker {
  constructor(world, options) {
    this.world = world;
    this.options = options;
    world.workers.push(this);
    this.server = http.createServer((request, response) => {
      this.serve(request, response).catch(() => response.destroy());
    });
    this.begin();
    this.timer = setInterval(() => this.tick(), TICK_MS);
  }

  /** Begins a life, which knows nothing of those before. */
  begin() {
    this.born = Date.now();
    this.startedAt = performance.now();
    this.running = new Map();
    this.highestRuns = new Map();
    this.ended = [];
    this.endCount = 0;
    this.token = 0;
    this.leaseEndMs = 0;
    this.seq = 0;
    this.isUp = true;
  }

  get clockMs() {
    return Math.floor(performance.now() - this.startedAt);
  }

  async listen(host) {
    this.address = await store.listen(this.server, host);
  }

  /** Writes its entry to the registry until it is closed. */
  register(registry) {
    const write = () => {
      if (!this.isUp || this.isDark) return;
      this.seq += 1;
      this.pingedAt = Date.now();
      registry.put('keyed.servers', this.options.id, this.entry());
    };
    write();
    clearInterval(this.pings);
    this.pings = setInterval(write, PING_MS);
  }

  entry() {
    const {service, zone, machine, rack, capacity, kind = 'a'} = this.options;
    return {
      service_name: service,
      address: this.address,
      zone,
      version: 'v1',
      slots: 8,
      state: 'ready',
      cold_left_ms: 0,
      capacity,
      labels: [kind, rack],
      machine,
      born: this.born,
      clock_ms: this.clockMs,
      seq: this.seq,
    };
  }

  /** Loses all runs; no call is answered until the next life. */
  crash() {
    for (const run of this.running.values()) this.note('lost', run);
    this.running.clear();
    this.isUp = false;
    this.server.closeAllConnections();
  }

  close() {
    clearInterval(this.timer);
    clearInterval(this.pings);
    this.server.closeAllConnections();
    this.server.close();
  }

  async serve(request, response) {
    const body = JSON.parse((await store.readBody(request)).toString());
    if (!this.isUp) {
      request.socket.destroy();
      return;
    }
    if (request.headers['expect-instance'] !== this.options.id) {
      store.sendJson(response, 421, {});
      return;
    }
    const token = body.fencing_token ?? 0;
    if (token < this.token) {
      this.answer(response, 409, {reason: 'fence'});
      return;
    }
    this.token = token;
    if (request.url === '/run-start') this.start(body, response);
    else if (request.url === '/run-stop') this.stop(body, response);
    else if (request.url === '/hold') await this.hold(body, response);
    else store.sendJson(response, 404, {});
  }

  answer(response, status, body) {
    store.sendJson(response, status, {clock_ms: this.clockMs, ...body});
  }

  extendLease(deadlineMs) {
    if (deadlineMs === undefined) return;
    const longest = this.clockMs + MAXIMUM_LEASE_MS;
    this.leaseEndMs = Math.max(this.leaseEndMs, Math.min(deadlineMs, longest));
  }

  start(body, response) {
    const {task, run} = body;
    this.extendLease(body.deadline_ms);
    if (body.deadline_ms <= this.clockMs) {
      this.answer(response, 409, {reason: 'late'});
      return;
    }
    const present = this.running.get(task);
    if (present?.run === run) {
      this.answer(response, 200, {});
      return;
    }
    if (present !== undefined || run <= (this.highestRuns.get(task) ?? 0)) {
      this.answer(response, 409, {reason: 'old'});
      return;
    }
    const plan = this.world.planOf(task);
    const started = {
      task,
      run,
      spec: body.spec,
      checkpoint: body.checkpoint ?? '',
      plan,
      presentSince: performance.now(),
      workedSince: plan.gang === undefined ? performance.now() : undefined,
      savedAt: performance.now(),
    };
    this.running.set(task, started);
    this.note('start', started, `checkpoint=${started.checkpoint}`);
    this.answer(response, 200, {});
  }

  stop({task, run}, response) {
    const highest = Math.max(this.highestRuns.get(task) ?? 0, run);
    this.highestRuns.set(task, highest);
    const present = this.running.get(task);
    if (present?.run === run && !present.isStopping) {
      present.isStopping = true;
      setTimeout(() => this.end(present, 'stopped'), STOP_MS);
    }
    this.answer(response, 200, {});
  }

  async hold(body, response) {
    this.extendLease(body.deadline_ms);
    this.ended = this.ended.filter(ended => {
      const [number, task, run, how] = ended;
      if (number > body.ack_cursor) return true;
      // An end counts as taken note of unless the lease lapsed before.
      const event = ended.hasLapsed ? 'forgotten' : 'acknowledged';
      this.note(event, {task, run}, `how=${how}`);
      return false;
    });
    const {born} = this;
    const until = performance.now() + (body.wait_ms ?? 0);
    while (this.ended.length === 0 && performance.now() < until && this.isUp) {
      await new Promise(resolve => setTimeout(resolve, TICK_MS));
    }
    // An answer is lost if its worker is cut off or has restarted meanwhile.
    if (this.isDark || born !== this.born) return;
    if (!this.isUp) {
      response.destroy();
      return;
    }
    const running = [...this.running.values()].map(run => [
      run.task,
      run.run,
      run.checkpoint,
      run.plan.lasts ? 100 : percentOf(run),
      0,
    ]);
    const finished = this.ended.slice(0, MAXIMUM_LISTED_ENDS);
    this.answer(response, 200, {born: this.born, running, finished});
  }

  tick() {
    if (!this.isUp) return;
    const isLapsed = this.clockMs >= this.leaseEndMs;
    if (isLapsed) for (const ended of this.ended) ended.hasLapsed = true;
    for (const run of [...this.running.values()]) {
      if (isLapsed) this.end(run, 'lapsed');
      else if (!run.isStopping) this.advance(run);
    }
  }

  /** Lets a run work: a gang only from when all its members are present. */
  advance(run) {
    const {plan} = run;
    const now = performance.now();
    if (plan.gang !== undefined) {
      const members = this.world.membersOf(run);
      const isWhole = members.length === plan.gang;
      if (run.workedSince === undefined) {
        if (isWhole) {
          const values = new Set(members.map(other => other.run.checkpoint));
          if (values.size > 1) {
            this.note('unequal', run, `checkpoints=${[...values].join(',')}`);
          }
          for (const other of members) other.run.workedSince = now;
        } else if (now - run.presentSince > GANG_WAIT_MS) {
          this.end(run, 'alone');
        }
        return;
      }
      if (!isWhole && !run.isWhole) {
        this.end(run, 'broken');
        return;
      }
    }
    if (plan.failsAfterMs !== undefined && run.run === 1) {
      if (now - run.workedSince >= plan.failsAfterMs) {
        this.end(run, 'failed');
        return;
      }
    }
    if (plan.checkpointMs !== undefined) {
      if (now - run.savedAt >= plan.checkpointMs) {
        run.savedAt = now;
        run.checkpoint = (nextCheckpoint++).toString(16).padStart(16, '0');
      }
    }
    if (plan.lasts || now - run.workedSince < plan.workMs) return;
    if (plan.gang === undefined) {
      this.end(run, 'done');
      return;
    }
    for (const other of this.world.membersOf(run)) {
      other.worker.end(other.run, 'done');
    }
  }

  end(run, how) {
    if (this.running.get(run.task) !== run) return;
    this.running.delete(run.task);
    const highest = Math.max(this.highestRuns.get(run.task) ?? 0, run.run);
    this.highestRuns.set(run.task, highest);
    this.endCount += 1;
    this.ended.push([this.endCount, run.task, run.run, how, run.checkpoint]);
    this.note('end', run, `how=${how}`);
  }

  note(event, {task, run}, detail = '') {
    this.world.record.run(this.options.id, event, task, run, detail);
  }
}

function percentOf({workedSince, plan}) {
  if (workedSince === undefined) return 0;
  const share = (performance.now() - workedSince) / plan.workMs;
  return Math.min(99, Math.floor(100 * share));
}
