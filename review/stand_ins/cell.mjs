import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as http from 'node:http';
import * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import * as stores from './store.mjs';
import * as workers from './worker.mjs';

/** Command of the role in `deploy/system.toml`, from the repository root. */
const RUN = [
  '--max-old-space-size=220',
  '--max-semi-space-size=16',
  'target/parsleyknot.cjs',
];

const ROOT = path.resolve(import.meta.dirname, '../..');
const QUEUE_HOST = 'orders.example';
const QUEUE_PATH = '/orders/';
const SERVICE = 'dispatch';

/** Time within which the first process has to lead. */
const START_TIMEOUT_MS = 20_000;

/**
 * Processes of the system, started as on a small deployment, with stand-ins of
 * the platform's store and workers. Writes what happens to `record.txt`.
 */
export class Cell {
  constructor(folder) {
    this.folder = folder;
    this.startedAt = performance.now();
    this.lines = [];
    this.events = [];
    this.nodes = [];
    this.usedPorts = new Set();
    this.workers = [];
    this.settingsFolder = fs.mkdtempSync(path.join(os.tmpdir(), 'review-'));
    const [second, third, fourth] = [1, 2, 3].map(() =>
      Math.floor(1 + Math.random() * 250),
    );
    this.host = `127.${second}.${third}.${fourth}`;
    this.store = new stores.Store();
  }

  now() {
    return performance.now() - this.startedAt;
  }

  record = (kind, fields) => {
    const event = {atMs: Math.round(this.now()), kind, ...fields};
    this.events.push(event);
    const text = Object.entries(fields).map(([key, value]) => {
      return `${key}=${value}`;
    });
    this.lines.push(`${event.atMs} ${kind} ${text.join(' ')}`);
  };

  async start({nodeCount, workerCount, cpu, attempts = 2}) {
    await this.store.listen(this.host);
    this.store.put('keyed.op', 'config', {
      version: 1,
      routes: [
        {
          name: 'orders',
          host: QUEUE_HOST,
          path_prefix: QUEUE_PATH,
          service_name: SERVICE,
          priority: 0,
          attempts,
          stretch: 1.5,
          slo_ms: 500,
          timeout_ms: 3_000,
        },
      ],
      services: [{name: SERVICE, admission_check: false}],
      limits: {max_body_bytes: 262_144},
    });
    for (let index = 0; index < workerCount; index += 1) {
      const worker = new workers.Worker({
        id: `w${index}x7f3`,
        host: this.host,
        store: this.store,
        service: SERVICE,
        record: this.record,
        cpu,
      });
      await worker.start();
      this.workers.push(worker);
    }
    for (let index = 0; index < nodeCount; index += 1) {
      this.nodes.push(await this.createNode(`edge-zone-a-${index + 1}`));
    }
    const isStarted = ({lines}) =>
      lines.some(({line}) => / event=started /.test(line));
    const isReady = () =>
      this.leader() !== undefined && this.nodes.every(isStarted);
    if (await this.until(isReady, START_TIMEOUT_MS)) return;
    throw new Error('a process did not start');
  }

  async createNode(name) {
    const [front, ready, first, control] = await freePorts(
      this.host,
      4,
      this.usedPorts,
    );
    const file = path.join(this.settingsFolder, `${name}.json`);
    const settings = {
      node_name: name,
      role: 'scheduler',
      machine_class: 'edge',
      serves: ['edge'],
      ip: this.host,
      zone: 'zone-a',
      region: 'region-a',
      zones: {'zone-a': 'region-a'},
      listen: {
        front: `${this.host}:${front}`,
        ready: `${this.host}:${ready}`,
        control: `${this.host}:${control}`,
      },
      port_range: [first, first + 1],
      seeds: [],
      bootstrap: true,
      limits: {
        cpu_share: 0.675,
        cpu_cores: 1,
        memory_mb: 350,
        max_fds: 4_100,
        link_mbps: 1_000,
      },
      bounds: {
        contact_ms: 4_000,
        ack_ms: 5_000,
        drain_ms: 2_500,
        grace_s: 6,
        config_apply_ms: 2_500,
        hold_max_ms: 10_000,
        stop_ms: 400,
        cancel_ms: 3_000,
        visible_ms: 3_000,
        finish_s: 14,
        status_s: 120,
      },
      control_mode: 'call',
      platform: {
        address: this.store.address,
        form: 'log',
        append_ms: 3,
        record_bytes: 262_144,
        call_bytes: 2_097_152,
      },
    };
    fs.writeFileSync(file, JSON.stringify(settings));
    const node = {name, file, front, lines: []};
    this.launch(node);
    return node;
  }

  launch(node) {
    const {PATH = '', HOME = '', LANG = ''} = process.env;
    const child = childProcess.spawn('node', RUN, {
      cwd: ROOT,
      stdio: ['ignore', 'pipe', 'inherit'],
      env: {PATH, HOME, LANG, PARSLEYKNOT_SETTINGS: node.file},
    });
    node.child = child;
    this.record('launched', {node: node.name, pid: child.pid});
    child.once('exit', (code, signal) => {
      this.record('exited', {node: node.name, pid: child.pid, code, signal});
    });
    let rest = '';
    child.stdout.on('data', chunk => {
      const lines = (rest + chunk).split('\n');
      rest = lines.pop();
      for (const line of lines) node.lines.push({atMs: this.now(), line});
    });
  }

  /** Returns the node that began the latest term. */
  leader() {
    let latest;
    for (const node of this.nodes) {
      for (const {line} of node.lines) {
        const match = / event=termBegun term=(\d+)/.exec(line);
        if (match === null) continue;
        const term = Number(match[1]);
        if (latest === undefined || term > latest.term) latest = {node, term};
      }
    }
    return latest?.node;
  }

  async until(condition, timeoutMs) {
    const end = performance.now() + timeoutMs;
    while (performance.now() < end) {
      if (condition()) return true;
      await this.delay(20);
    }
    return condition();
  }

  delay(milliseconds) {
    return new Promise(resolve => setTimeout(resolve, milliseconds));
  }

  /** Sends one request as a requester does; the status is 0 without answer. */
  call(node, method, id, body) {
    return new Promise(resolve => {
      const request = http.request(
        {
          host: this.host,
          port: node.front,
          method,
          path: QUEUE_PATH + id,
          agent: false,
          headers: {
            host: QUEUE_HOST,
            'content-type': 'application/json',
            'deadline-ms': '3000',
          },
          timeout: 5_000,
        },
        response => {
          const chunks = [];
          response.on('data', chunk => chunks.push(chunk));
          response.on('end', () => {
            const answer = JSON.parse(Buffer.concat(chunks).toString());
            resolve({status: response.statusCode, body: answer});
          });
          response.on('error', () => resolve({status: 0, body: {}}));
        },
      );
      request.on('timeout', () => request.destroy());
      request.on('error', () => resolve({status: 0, body: {}}));
      request.end(body === undefined ? undefined : JSON.stringify(body));
    });
  }

  /** Submits a job, with up to four retries at other nodes. */
  async submit(id, body) {
    for (let attempt = 0; attempt < 5; attempt += 1) {
      const index = (Number.parseInt(id.slice(-4), 16) + attempt) % 1_000_000;
      const node = this.nodes[index % this.nodes.length];
      this.record('post', {job: id, node: node.name});
      const {status} = await this.call(node, 'POST', id, body);
      this.record('posted', {job: id, node: node.name, status});
      if (status >= 200 && status < 300) return true;
      await this.delay(1_000);
    }
    return false;
  }

  /** Asks for a job's state at one node after the other. */
  async stateOf(id) {
    for (const node of this.nodes) {
      const {status, body} = await this.call(node, 'GET', id);
      this.record('state', {
        job: id,
        node: node.name,
        status,
        state: body.state,
      });
      if (status === 200) return body.state;
    }
    return undefined;
  }

  /** Ends all processes, writes the record and returns. */
  async stop(verdict) {
    for (const {child} of this.nodes) {
      if (child.exitCode === null && child.signalCode === null) {
        const exited = new Promise(resolve => child.once('exit', resolve));
        child.kill('SIGKILL');
        await exited;
      }
    }
    for (const worker of this.workers) worker.close();
    this.store.close();
    fs.rmSync(this.settingsFolder, {recursive: true});
    const logs = this.nodes.flatMap(({name, lines}) =>
      lines
        .filter(({line}) => !/ event=(stepPlaced|refused) /.test(line))
        .map(({atMs, line}) => ({atMs, text: `${name} ${line}`})),
    );
    const all = [
      ...this.events.map(({atMs}, index) => ({atMs, text: this.lines[index]})),
      ...logs.map(({atMs, text}) => ({
        atMs,
        text: `${Math.round(atMs)} log ${text}`,
      })),
    ];
    all.sort((left, right) => left.atMs - right.atMs);
    const text = [...all.map(item => item.text), verdict, ''].join('\n');
    fs.writeFileSync(path.join(this.folder, 'record.txt'), text);
    console.log(verdict);
  }
}

/** Returns an id of 16 hexadecimal digits. */
export function jobId(prefix, number) {
  return prefix + number.toString(16).padStart(16 - prefix.length, '0');
}

/**
 * Returns ports whose next port is free too. They lie below those that the
 * system gives to outgoing connections, so that none takes them meanwhile.
 */
async function freePorts(host, count, used) {
  const servers = [];
  const ports = [];
  while (ports.length < count) {
    const port = 10_000 + 2 * Math.floor(Math.random() * 10_000);
    if (used.has(port)) continue;
    used.add(port);
    const pair = await Promise.all([
      listen(host, port),
      listen(host, port + 1),
    ]);
    servers.push(...pair.filter(server => server !== undefined));
    if (!pair.includes(undefined)) ports.push(port);
  }
  for (const server of servers) server.close();
  return ports;
}

/** Returns a listening server, or undefined if the port is in use. */
function listen(host, port) {
  return new Promise(resolve => {
    const server = net.createServer();
    server.once('error', () => resolve(undefined));
    server.listen(port, host, () => resolve(server));
  });
}
