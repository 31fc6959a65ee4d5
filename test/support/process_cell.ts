import * as assert from 'node:assert/strict';
import * as spawnedEntryProcess from './spawned_entry_process.js';
import * as httpCall from './http_call.js';
import * as standInProcess from './stand_in_process.js';
import * as wait from './wait.js';

const ZONE = 'kigali-a';

const TEAM = `
name = "dispatch"
clients = ["workshop-1"]
share = 1
queueLimit = 1000
quota = {processors = 100000, memory = 100000, accelerators = 10, slots = 100}
`;

const FLEET = `
zones = [{name = "kigali-a", region = "kigali"}]

[[workerShapes]]
capacity = {processors = 16000, memory = 32768, accelerators = 0, slots = 8}
zones = ["kigali-a"]
`;

function workload(name: string, idempotent: boolean): string {
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

type Answer = httpCall.JsonResponse;

/** One availability zone of entry processes and stand-ins, all processes. */
export class ProcessCell {
  readonly workers: standInProcess.StandInProcess[] = [];
  readonly entries: spawnedEntryProcess.SpawnedEntryProcess[] = [];

  private constructor(
    readonly logService: standInProcess.StandInProcess,
    readonly vmList: standInProcess.StandInProcess,
  ) {}

  /** Starts the log and the list and publishes a team. */
  static async start(): Promise<ProcessCell> {
    const [log, list] = await Promise.all([
      standInProcess.StandInProcess.start('log_service'),
      standInProcess.StandInProcess.start('vm_list'),
    ]);
    const cell = new ProcessCell(log, list);
    const team =
      TEAM + workload('polish-order', false) + workload('inspection', true);
    await cell.publish('fleet', FLEET);
    await cell.publish('team/dispatch', team);
    return cell;
  }

  /** Starts a worker and lists it. */
  async addWorker(
    commandArguments: ReadonlyArray<string> = [],
  ): Promise<standInProcess.StandInProcess> {
    const name = `worker-${this.workers.length + 1}`;
    const added = await standInProcess.StandInProcess.start('worker', [
      '--name',
      name,
      ...commandArguments,
    ]);
    this.workers.push(added);
    const row = {vm: name, role: 'worker', zone: ZONE, state: 'live'};
    await this.vmList.control({put: {...row, address: added.address}});
    return added;
  }

  /** Starts an entry process and lists its VM. */
  async addEntry(
    program?: ReadonlyArray<string>,
  ): Promise<spawnedEntryProcess.SpawnedEntryProcess> {
    const vm = `entry-${this.entries.length + 1}`;
    const added = await spawnedEntryProcess.SpawnedEntryProcess.start(
      {
        vm,
        zone: ZONE,
        region: 'kigali',
        log: this.logService.address,
        vmList: this.vmList.address,
      },
      program,
    );
    this.entries.push(added);
    const row = {vm, role: 'entry', zone: ZONE, state: 'live'};
    await this.vmList.control({put: {...row, address: added.peerAddress}});
    return added;
  }

  /** Waits until an entry process is ready and owns workers. */
  async waitForOwnership(
    entry: spawnedEntryProcess.SpawnedEntryProcess,
  ): Promise<void> {
    await wait.until(`workers of ${entry.incarnation}`, async () => {
      const content = await this.status(entry);
      const owned = content['ownedWorkers'] as ReadonlyArray<string>;
      return owned.length > 0 && content['ready'] === true ? true : undefined;
    });
  }

  /** Waits until one process knows that others count it as a member. */
  async waitForMembership(
    entry: spawnedEntryProcess.SpawnedEntryProcess,
  ): Promise<void> {
    await wait.until(`members know ${entry.incarnation}`, async () => {
      const content = await this.status(entry);
      const members = content['members'] as ReadonlyArray<{
        readonly knowsSelf: boolean;
      }>;
      const all = members.length === this.entries.length;
      return all && members.every(item => item.knowsSelf) ? true : undefined;
    });
  }

  /** Waits until an entry process says that it is ready. */
  async waitForReadiness(
    entry: spawnedEntryProcess.SpawnedEntryProcess,
  ): Promise<void> {
    await wait.until(`readiness of ${entry.incarnation}`, async () => {
      const answer = await httpCall.callJson(entry.address, 'GET', '/ready');
      return answer.status === 200 ? true : undefined;
    });
  }

  /** Reserves an identity. */
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

  /** Sends a request under its identity; may be repeated. */
  putRequest(
    entry: spawnedEntryProcess.SpawnedEntryProcess,
    identity: string,
    payload: unknown,
    waitSeconds = 20,
  ): Promise<Answer> {
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

  /** Repeats a request as a careful client would, until its final code. */
  repeatUntilFinal(
    entry: spawnedEntryProcess.SpawnedEntryProcess,
    identity: string,
    payload: unknown,
  ): Promise<Answer> {
    return wait.until(`the end of ${identity}`, async () => {
      const answer = await this.putRequest(entry, identity, payload, 5).catch(
        () => undefined,
      );
      const code = answer?.body['code'];
      const open = code === undefined || code === 1 || code === 4001;
      return open ? undefined : answer;
    });
  }

  /** How often each request ran, over all workers. */
  async runCounts(): Promise<ReadonlyMap<string, number>> {
    const runs = new Map<string, number>();
    for (const machine of this.workers) {
      const seen = (await machine.observe())['runs'] as Record<string, number>;
      for (const [identity, count] of Object.entries(seen)) {
        runs.set(identity, (runs.get(identity) ?? 0) + count);
      }
    }
    return runs;
  }

  /** Fails when a worker ever held more than its capacity. */
  async assertNotOvercommitted(): Promise<void> {
    for (const machine of this.workers) {
      assert.equal((await machine.observe())['overcommitments'], 0);
    }
  }

  /** Ends all processes. */
  async close(): Promise<void> {
    const all = [
      ...this.entries,
      ...this.workers,
      this.vmList,
      this.logService,
    ];
    await Promise.all(all.map(item => item.kill()));
  }

  private async status(
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
