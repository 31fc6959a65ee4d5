import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as command from '../support/command.js';
import * as spawnedEntryProcess from '../support/spawned_entry_process.js';
import * as logService from '../../stand_ins/log_service.js';
import * as vmList from '../../stand_ins/vm_list.js';
import * as wait from '../support/wait.js';
import * as standInWorker from '../../stand_ins/stand_in_worker.js';

const DEPLOYMENT = 'deployments/go_stones';
const TEAM_FILE = `${DEPLOYMENT}/team/dispatch.toml`;
const FLEET_FILE = `${DEPLOYMENT}/fleet.toml`;

const ZONE = 'kigali-a';

type PrintedObject = Readonly<Record<string, unknown>>;

async function runWithJson(
  ...commandArguments: ReadonlyArray<string>
): Promise<PrintedObject> {
  const {output} = await command.runCommand('', ...commandArguments, '--json');
  return JSON.parse(output) as PrintedObject;
}

/** One worker and one entry process of the deployment's first zone. */
class CommandCell {
  readonly log = new logService.LogService();
  readonly worker = new standInWorker.StandInWorker({
    name: 'worker-1',
    rack: 'rack-1',
    capacity: {processors: 16000, memory: 32768, accelerators: 0, slots: 8},
    runTimeMs: 10,
  });
  private readonly vmList = new vmList.VmList();
  private readonly entries: spawnedEntryProcess.SpawnedEntryProcess[] = [];
  private addresses = {log: '', vmList: ''};

  async start(): Promise<string> {
    this.addresses = {
      log: await this.log.listen(),
      vmList: await this.vmList.listen(),
    };
    const address = await this.worker.listen();
    this.vmList.put({
      vm: 'worker-1',
      role: 'worker',
      zone: ZONE,
      address,
      state: 'live',
    });
    return this.addEntry('entry-1');
  }

  /** Starts an entry process and returns its address for callers. */
  async addEntry(vm: string): Promise<string> {
    const entry = await spawnedEntryProcess.SpawnedEntryProcess.start({
      vm,
      zone: ZONE,
      region: 'kigali',
      ...this.addresses,
    });
    this.entries.push(entry);
    const address = entry.peerAddress;
    this.vmList.put({vm, role: 'entry', zone: ZONE, address, state: 'live'});
    return entry.address;
  }

  async close(): Promise<void> {
    for (const entry of this.entries) await entry.kill();
    this.worker.close();
    this.vmList.close();
    this.log.close();
  }
}

async function withCell(
  body: (cell: CommandCell, address: string) => Promise<void>,
): Promise<void> {
  const cell = new CommandCell();
  try {
    await body(cell, await cell.start());
  } finally {
    await cell.close();
  }
}

nodeTest.describe('commands against an entry process', () => {
  nodeTest.test(
    'documents of the questionnaire are published although the log loses ' +
      'acknowledgements, and a request of their team runs once; guards ' +
      'against commands and server that disagree on the protocol',
    async () => {
      await withCell(async ({log, worker}, address) => {
        const entry = ['--entry', address];
        const publish = ['publish', ...entry, '--document'];
        const first = await runWithJson(...publish, 'fleet', FLEET_FILE);
        assert.equal(first['code'], 0);
        const stale = [...publish, 'fleet', '--base=0', FLEET_FILE];
        assert.equal((await runWithJson(...stale))['code'], 6001);
        const wrong = [...publish, 'team/dispatch', FLEET_FILE];
        assert.equal((await runWithJson(...wrong))['code'], 6002);
        log.setFailures({losesAcknowledgements: true});
        const lost = await runWithJson(...publish, 'team/dispatch', TEAM_FILE);
        assert.equal(lost['code'], 0);
        log.setFailures({});
        const submit = ['submit', ...entry, '--client=dispatch-service'];
        const order = ['--team=dispatch', '--workload=polish-order'];
        const ended = await wait.until('the request runs', async () => {
          const reply = await runWithJson(...submit, ...order);
          return reply['code'] === 0 ? reply : undefined;
        });
        const identity = String(ended['identity']);
        assert.equal(worker.startCounts().get(identity), 1);
        const listed = await runWithJson('workloads', ...entry);
        assert.match(JSON.stringify(listed), /kiln-watch/);
        const status = await runWithJson('status', ...entry);
        const version = String(lost['version']);
        assert.ok(
          JSON.stringify(status).includes(`"team/dispatch":${version}`),
        );
      });
    },
  );

  nodeTest.test(
    'an entry process that starts while the log is down fetches the ' +
      'documents from another one; guards against a replaced VM that has no ' +
      'configuration during a log outage',
    async () => {
      await withCell(async (cell, address) => {
        const fleet = ['--document', 'fleet', FLEET_FILE];
        const first = await runWithJson(
          'publish',
          '--entry',
          address,
          ...fleet,
        );
        assert.equal(first['code'], 0);
        cell.log.setFailures({down: true});
        const second = await cell.addEntry('entry-2');
        const shown = `"fleet":${String(first['version'])}`;
        await wait.until('the document from its peer', async () => {
          const status = await runWithJson('status', '--entry', second);
          return JSON.stringify(status).includes(shown) ? true : undefined;
        });
      });
    },
  );
});
