import * as fs from 'node:fs';
import * as http from 'node:http';
import * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import * as spawnedProcess from './spawned_process.js';
import * as faultRelay from './fault_relay.js';
import * as listen from '../src/links/listen.js';
import * as linkFault from './link_fault.js';
import * as loopbackAddress from './loopback_address.js';
import * as platformStore from './platform_store.js';
import * as platformWorker from './platform_worker.js';
import type * as linkSwitch from './link_switch.js';
import type * as workerModel from './worker_model.js';

/** Host name of the configured queue. */
export const QUEUE_HOST = 'orders.example';
/** Path prefix of the configured queue. */
export const QUEUE_PATH_PREFIX = '/orders/';
const SERVICE_NAME = 'dispatch';

/** Returns the job ID for a number: 16 hexadecimal digits. */
export function jobIdOf(number: number): string {
  return number.toString(16).padStart(16, '0');
}

/** One running process of the cell with its addresses. */
export interface CellProcess {
  readonly name: string;
  readonly zone: string;
  /** Relay between the process and the store, unless the cell has a switch. */
  readonly storeRelay: faultRelay.FaultRelay;
  readonly child: spawnedProcess.SpawnedProcess;
  readonly jobApiAddress: string;
  readonly readyAddress: string;
  readonly metricsAddress: string;
}

/** HTTP response of the job API to a caller. */
export interface JobApiResponse {
  /** 0 when the connection ended without an answer. */
  readonly status: number;
  /** Value of the header `Retry-After`; 0 if there is none. */
  readonly retryAfterSeconds: number;
  readonly body: Readonly<Record<string, unknown>>;
}

/** Size, run plan and program of a cell. */
export interface CellOptions {
  readonly processCount: number;
  /** Defaults to `DEFAULT_WORKER_COUNT`. */
  readonly workerCount?: number;
  /** Duration and outcome of each task run. */
  readonly runPlan: workerModel.RunPlan;
  /** Program and leading arguments; defaults to the compiled code. */
  readonly command?: ReadonlyArray<string>;
  /** Availability zones, between which VMs and workers are spread evenly. */
  readonly zones?: ReadonlyArray<string>;
  /** Rate of each worker's clock; defaults to that of the processes. */
  readonly workerClockRate?: (index: number) => number;
  /** Carries all connections of the processes, in place of the relays. */
  readonly linkSwitch?: linkSwitch.LinkSwitch;
}

const DEFAULT_WORKER_COUNT = 2;
const DEFAULT_ZONES = ['zone-a'];

/** A launch is repeated because another program may take a chosen port. */
const MAXIMUM_LAUNCH_ATTEMPTS = 3;

/** Line of a process that has applied the configuration. */
export const READY_LINE = /event=configurationTaken/;

const DEFAULT_COMMAND = [process.execPath, 'build/platform/main.js'];

/** Real scheduler processes with stand-ins for the store and the workers. */
export class PlatformCell {
  readonly store = new platformStore.PlatformStore();
  readonly workers: platformWorker.PlatformWorker[] = [];
  readonly processes: CellProcess[] = [];
  /** All processes that were started, with those that have ended. */
  readonly incarnations: CellProcess[] = [];
  /** One relay per worker unless the cell has a switch. */
  readonly workerRelays: faultRelay.FaultRelay[] = [];
  private readonly folder = fs.mkdtempSync(path.join(os.tmpdir(), 'cell-'));
  /** Keeps calls of other cells' processes away from reused ports. */
  private readonly host = loopbackAddress.randomLoopbackAddress();
  private readonly command: ReadonlyArray<string>;
  private readonly zones: ReadonlyArray<string>;
  private storeAddress = '';

  private constructor(private readonly options: CellOptions) {
    this.command = options.command ?? DEFAULT_COMMAND;
    this.zones = options.zones ?? DEFAULT_ZONES;
  }

  /** Starts the stand-ins and the processes and waits until all are ready. */
  static async start(options: CellOptions): Promise<PlatformCell> {
    const cell = new PlatformCell(options);
    cell.storeAddress = await cell.store.listen(cell.host);
    await options.linkSwitch?.listen(cell.host);
    options.linkSwitch?.addAddress(cell.storeAddress, linkFault.STORE);
    cell.publishConfiguration(1);
    const workerCount = options.workerCount ?? DEFAULT_WORKER_COUNT;
    for (let index = 0; index < workerCount; index += 1) {
      await cell.addWorker(index);
    }
    for (let index = 0; index < options.processCount; index += 1) {
      await cell.startProcess(`node-${index}`);
    }
    return cell;
  }

  /** Publishes a configuration record to the store as an operator does. */
  publishConfiguration(
    version: number,
    routes: ReadonlyArray<unknown> = [QUEUE_ROUTE],
  ): void {
    this.store.put('keyed.op', 'config', {
      version,
      routes,
      services: [{name: SERVICE_NAME, admission_check: false}],
      limits: {max_body_bytes: 65_536},
    });
  }

  /** Starts a process and waits until it has applied the configuration. */
  async startProcess(name: string): Promise<CellProcess> {
    for (let attempt = 1; ; attempt += 1) {
      const started = await this.launch(name);
      try {
        await started.child.waitForLine(READY_LINE);
        this.processes.push(started);
        return started;
      } catch (fault) {
        started.storeRelay.close();
        // Another program may have bound a port that `findFreePorts` released.
        if (attempt === MAXIMUM_LAUNCH_ATTEMPTS) throw fault;
      }
    }
  }

  private async launch(name: string): Promise<CellProcess> {
    const {linkSwitch} = this.options;
    const [jobApiPort, readyPort, portRangeStart] = await findFreePorts(
      this.host,
      3,
    );
    const zone = this.zoneOf(Number(/\d+$/.exec(name)?.[0]));
    const settingsFile = path.join(this.folder, `${name}.json`);
    const storeRelay = new faultRelay.FaultRelay(this.storeAddress);
    const settings = {
      node_name: name,
      ip: this.host,
      zone,
      listen: {
        front: `${this.host}:${jobApiPort}`,
        ready: `${this.host}:${readyPort}`,
      },
      port_range: [portRangeStart, portRangeStart + 1],
      limits: {cpu_share: 1, cpu_cores: 1},
      bounds: {grace_s: 4, status_s: 120, config_apply_ms: 2_500},
      platform: {
        address: linkSwitch
          ? this.storeAddress
          : await storeRelay.listen(this.host),
      },
    };
    fs.writeFileSync(settingsFile, JSON.stringify(settings));
    const {front, ready} = settings.listen;
    const ports = settings.port_range.map(port => `${this.host}:${port}`);
    for (const address of [front, ready, ...ports]) {
      linkSwitch?.addAddress(address, {kind: 'vm', name, zone});
    }
    const [program, ...programArguments] = this.command;
    const child = new spawnedProcess.SpawnedProcess(program, programArguments, {
      PARSLEYKNOT_SETTINGS: settingsFile,
      ...linkSwitch?.environmentOf(name),
    });
    const started = {
      name,
      zone,
      storeRelay,
      child,
      jobApiAddress: front,
      readyAddress: ready,
      metricsAddress: ports[1],
    };
    this.incarnations.push(started);
    return started;
  }

  private zoneOf(index: number): string {
    return this.zones[index % this.zones.length];
  }

  /** Replaces an ended process by a new incarnation on other ports. */
  async restart(ended: CellProcess): Promise<void> {
    await this.startProcess(ended.name);
    this.processes.splice(this.processes.indexOf(ended), 1);
    ended.storeRelay.close();
  }

  /** Replaces an ended process and does not wait until the next is ready. */
  async replace(ended: CellProcess): Promise<CellProcess> {
    const started = await this.launch(ended.name);
    this.processes.splice(this.processes.indexOf(ended), 1, started);
    ended.storeRelay.close();
    return started;
  }

  /** Brings a crashed worker back as its next incarnation. */
  bringWorkerBack(worker: platformWorker.PlatformWorker): void {
    this.store.put('keyed.servers', worker.id, worker.comeBack());
  }

  /** Returns the process that logged the start of the latest term. */
  leader(): CellProcess {
    const [leading] = this.processes
      .map(item => ({item, term: lastLoggedTerm(item)}))
      .sort((left, right) => right.term - left.term);
    return leading.item;
  }

  /** Returns the status of a count of waiting jobs in any queue. */
  async countPending(target: CellProcess, pathPrefix: string): Promise<number> {
    const {jobApiAddress} = target;
    const {status} = await sendToJobApi(
      jobApiAddress,
      'GET',
      pathPrefix,
      undefined,
    );
    return status;
  }

  /** Calls the job API of a process as a client of the queue does. */
  callJobApi(
    target: CellProcess,
    method: string,
    id: string,
    body?: unknown,
  ): Promise<JobApiResponse> {
    return sendToJobApi(
      target.jobApiAddress,
      method,
      QUEUE_PATH_PREFIX + id,
      body,
    );
  }

  /** Returns the starts of a job's tasks on all workers. */
  startEventsOf(id: string): ReadonlyArray<workerModel.RunEvent> {
    return this.workers
      .flatMap(worker => worker.events)
      .filter(event => event.kind === 'started' && event.task.startsWith(id));
  }

  /** Returns the number of task starts on all workers. */
  startCount(): number {
    let count = 0;
    for (const {events} of this.workers) {
      for (const event of events) if (event.kind === 'started') count += 1;
    }
    return count;
  }

  async stop(): Promise<void> {
    this.options.linkSwitch?.close();
    for (const {child, storeRelay} of this.processes) {
      await child.kill();
      storeRelay.close();
    }
    for (const relay of this.workerRelays) relay.close();
    for (const worker of this.workers) worker.close();
    this.store.close();
    fs.rmSync(this.folder, {recursive: true});
  }

  private async addWorker(index: number): Promise<void> {
    const {runPlan, workerClockRate, linkSwitch} = this.options;
    const id = `worker-${index}`;
    const zone = this.zoneOf(index);
    const clockRate = workerClockRate?.(index) ?? 1;
    const options = {id, service: SERVICE_NAME, zone, runPlan, clockRate};
    const worker = new platformWorker.PlatformWorker(options);
    this.workers.push(worker);
    const entry = await worker.listen(this.host);
    if (linkSwitch !== undefined) {
      linkSwitch.addAddress(worker.address, {kind: 'worker', name: id, zone});
      this.store.put('keyed.servers', id, entry);
      return;
    }
    const relay = new faultRelay.FaultRelay(worker.address);
    this.workerRelays.push(relay);
    const address = await relay.listen(this.host);
    this.store.put('keyed.servers', id, {...entry, address});
  }
}

/** Route of the configured queue. */
export const QUEUE_ROUTE = {
  name: 'orders',
  host: QUEUE_HOST,
  path_prefix: QUEUE_PATH_PREFIX,
  service_name: SERVICE_NAME,
  priority: 0,
  attempts: 2,
  stretch: 1.5,
  slo_ms: 500,
  timeout_ms: 3_000,
};

function lastLoggedTerm({child}: CellProcess): number {
  const begun = child.lines.filter(line => line.includes('event=termBegun'));
  return Number(/term=(\d+)/.exec(begun.at(-1) ?? '')?.[1] ?? -1);
}

/** Returns free ports whose following port is free as well. */
async function findFreePorts(
  host: string,
  count: number,
): Promise<ReadonlyArray<number>> {
  const servers: net.Server[] = [];
  const ports: number[] = [];
  while (ports.length < count) {
    const first = net.createServer();
    const second = net.createServer();
    servers.push(first, second);
    try {
      const port = await listen.listen(first, host, 0);
      await listen.listen(second, host, port + 1);
      ports.push(port);
    } catch {
      // The following port is in use: try another pair.
    }
  }
  for (const server of servers) server.close();
  return ports;
}

/** Clients keep connections open until the process ends them. */
const clientConnections = new http.Agent({keepAlive: true});

/** Sends a request with the queue's host header to any address. */
function sendToJobApi(
  address: string,
  method: string,
  path: string,
  body: unknown,
): Promise<JobApiResponse> {
  const [host, port] = address.split(':');
  return new Promise(resolve => {
    const request = http.request(
      {
        host,
        port,
        method,
        path,
        agent: clientConnections,
        headers: {host: QUEUE_HOST, 'deadline-ms': '3000'},
      },
      response => {
        const chunks: Buffer[] = [];
        response.on('data', (chunk: Buffer) => chunks.push(chunk));
        response.on('end', () => {
          const text = Buffer.concat(chunks).toString();
          resolve({
            status: response.statusCode ?? 0,
            retryAfterSeconds: Number(response.headers['retry-after'] ?? 0),
            body: JSON.parse(text),
          });
        });
      },
    );
    request.on('error', () =>
      resolve({status: 0, retryAfterSeconds: 0, body: {}}),
    );
    request.end(body === undefined ? undefined : JSON.stringify(body));
  });
}
