import * as assert from 'node:assert/strict';
import * as spawnedEntryProcess from './spawned_entry_process.js';
import * as httpCall from './http_call.js';
import * as standInProcess from './stand_in_process.js';
import * as wait from './wait.js';

const ZONE = 'kigali-a';

const TEAM_DOCUMENT = `
name = "dispatch"
clients = ["workshop-1"]
share = 1
queueLimit = 1000
quota = {processors = 100000, memory = 100000, accelerators = 10, slots = 100}
`;

const FLEET_DOCUMENT = `
zones = [{name = "kigali-a", region = "kigali"}]

[[workerShapes]]
capacity = {processors = 16000, memory = 32768, accelerators = 0, slots = 8}
zones = ["kigali-a"]
`;

function workloadTable(name: string, idempotent: boolean): string {
  return `
[[workloads]]
name = "${name}"
kind = "batch"
urgency = "normal"
worth = 10
idempotent = ${idempotent}
size = {processors = 1000, memory = 1024, accelerators = 0, slots = 1}
runTimeMs = 100
taskCount = 1
startDeadlineMs = 0
zones = []
maximumPerRack = 0
`;
}

type EntryResponse = httpCall.JsonResponse;

/** Entry processes and stand-ins of one availability zone, as OS processes. */
export class ProcessCell {
  readonly workers: standInProcess.StandInProcess[] = [];
  readonly entries: spawnedEntryProcess.SpawnedEntryProcess[] = [];

  private constructor(
    readonly logService: standInProcess.StandInProcess,
    readonly vmList: standInProcess.StandInProcess,
  ) {}

  /** Starts the log service and the VM list and publishes the documents. */
  static async start(): Promise<ProcessCell> {
    const [log, list] = await Promise.all([
      standInProcess.StandInProcess.start('log_service'),
      standInProcess.StandInProcess.start('vm_list'),
    ]);
    const cell = new ProcessCell(log, list);
    const teamDocument =
      TEAM_DOCUMENT +
      workloadTable('polish-order', false) +
      workloadTable('inspection', true);
    await cell.publish('fleet', FLEET_DOCUMENT);
    await cell.publish('team/dispatch', teamDocument);
    return cell;
  }

  /** Starts a worker and adds it to the VM list. */
  async addWorker(
    commandArguments: ReadonlyArray<string> = [],
  ): Promise<standInProcess.StandInProcess> {
    const name = `worker-${this.workers.length + 1}`;
    const worker = await standInProcess.StandInProcess.start('worker', [
      '--name',
      name,
      ...commandArguments,
    ]);
    this.workers.push(worker);
    const listedVm = {vm: name, role: 'worker', zone: ZONE, state: 'live'};
    await this.vmList.control({put: {...listedVm, address: worker.address}});
    return worker;
  }

  /** Starts an entry process and adds its VM to the VM list. */
  async addEntry(
    program?: ReadonlyArray<string>,
  ): Promise<spawnedEntryProcess.SpawnedEntryProcess> {
    const vm = `entry-${this.entries.length + 1}`;
    const entry = await spawnedEntryProcess.SpawnedEntryProcess.start(
      {
        vm,
        zone: ZONE,
        region: 'kigali',
        log: this.logService.address,
        vmList: this.vmList.address,
      },
      program,
    );
    this.entries.push(entry);
    const listedVm = {vm, role: 'entry', zone: ZONE, state: 'live'};
    await this.vmList.control({put: {...listedVm, address: entry.peerAddress}});
    return entry;
  }

  /** Waits until an entry process is ready and owns workers. */
  async waitForOwnership(
    entry: spawnedEntryProcess.SpawnedEntryProcess,
  ): Promise<void> {
    await wait.until(`workers of ${entry.incarnation}`, async () => {
      const content = await this.fetchStatus(entry);
      const owned = content['ownedWorkers'] as ReadonlyArray<string>;
      return owned.length > 0 && content['ready'] === true ? true : undefined;
    });
  }

  /** Waits until a process knows that all others count it as a member. */
  async waitForMembership(
    entry: spawnedEntryProcess.SpawnedEntryProcess,
  ): Promise<void> {
    await wait.until(`members know ${entry.incarnation}`, async () => {
      const content = await this.fetchStatus(entry);
      const members = content['members'] as ReadonlyArray<{
        readonly knowsSelf: boolean;
      }>;
      const all = members.length === this.entries.length;
      return all && members.every(item => item.knowsSelf) ? true : undefined;
    });
  }

  /** Waits until /ready of an entry process answers 200. */
  async waitForReadiness(
    entry: spawnedEntryProcess.SpawnedEntryProcess,
  ): Promise<void> {
    await wait.until(`readiness of ${entry.incarnation}`, async () => {
      const answer = await httpCall.callJson(entry.address, 'GET', '/ready');
      return answer.status === 200 ? true : undefined;
    });
  }

  /** Reserves and returns a request identity. */
  async reserveIdentity(
    entry: spawnedEntryProcess.SpawnedEntryProcess,
  ): Promise<string> {
    const answer = await httpCall.callJson(
      entry.address,
      'POST',
      '/v1/identities',
      {count: 1},
    );
    const [first] = answer.body['identities'] as ReadonlyArray<string>;
    return first;
  }

  /** Sends a request under its identity, which makes it safe to repeat. */
  putRequest(
    entry: spawnedEntryProcess.SpawnedEntryProcess,
    identity: string,
    payload: unknown,
    waitSeconds = 20,
  ): Promise<EntryResponse> {
    return httpCall.callJson(
      entry.address,
      'PUT',
      `/v1/requests/${identity}?wait=${waitSeconds}`,
      {
        team: 'dispatch',
        workload: 'polish-order',
        payload: JSON.stringify(payload),
      },
    );
  }

  /**
   * Repeats a request until it has a final code, across lost answers and the
   * codes 1 (accepted) and 4001 (unknown outcome).
   */
  repeatUntilFinal(
    entry: spawnedEntryProcess.SpawnedEntryProcess,
    identity: string,
    payload: unknown,
  ): Promise<EntryResponse> {
    return wait.until(`the end of ${identity}`, async () => {
      const answer = await this.putRequest(entry, identity, payload, 5).catch(
        () => undefined,
      );
      const code = answer?.body['code'];
      const pending = code === undefined || code === 1 || code === 4001;
      return pending ? undefined : answer;
    });
  }

  /** Returns the number of runs of each request over all workers. */
  async runCounts(): Promise<ReadonlyMap<string, number>> {
    const runs = new Map<string, number>();
    for (const worker of this.workers) {
      const workerRuns = (await worker.observe())['runs'] as Record<
        string,
        number
      >;
      for (const [identity, count] of Object.entries(workerRuns)) {
        runs.set(identity, (runs.get(identity) ?? 0) + count);
      }
    }
    return runs;
  }

  /** Throws if a worker has ever been overcommitted. */
  async assertNotOvercommitted(): Promise<void> {
    for (const worker of this.workers) {
      assert.equal((await worker.observe())['overcommitments'], 0);
    }
  }

  /** Kills all processes. */
  async close(): Promise<void> {
    const all = [
      ...this.entries,
      ...this.workers,
      this.vmList,
      this.logService,
    ];
    await Promise.all(all.map(item => item.kill()));
  }

  private async fetchStatus(
    entry: spawnedEntryProcess.SpawnedEntryProcess,
  ): Promise<Readonly<Record<string, unknown>>> {
    const {address} = entry;
    const answer = await httpCall.callJson(address, 'GET', '/v1/status');
    return answer.body['content'] as Readonly<Record<string, unknown>>;
  }

  private publish(document: string, content: string): Promise<void> {
    const publication = `first-${document}`;
    const record = {
      kind: 'publish',
      document,
      baseVersion: 0,
      content,
      publication,
    };
    const records = [JSON.stringify(record)];
    return this.logService.control({
      append: {stream: 'configuration', records},
    });
  }
}
