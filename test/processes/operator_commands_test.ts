import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as command from '../support/command.js';
import * as entryProcess from '../support/entry_process.js';
import * as logService from '../../stand_ins/log_service.js';
import * as vmList from '../../stand_ins/vm_list.js';
import * as wait from '../support/wait.js';
import * as worker from '../../stand_ins/worker.js';

const DEPLOYMENT = 'deployments/go_stones';
const TEAM_FILE = `${DEPLOYMENT}/team/dispatch.toml`;
const FLEET_FILE = `${DEPLOYMENT}/fleet.toml`;

type Printed = Readonly<Record<string, unknown>>;

async function printed(...given: ReadonlyArray<string>): Promise<Printed> {
  const {output} = await command.run('', ...given, '--json');
  return JSON.parse(output) as Printed;
}

/** One worker and one entry process of the deployment's first zone. */
async function withCell(
  check: (
    address: string,
    log: logService.LogService,
    machine: worker.StandInWorker,
  ) => Promise<void>,
): Promise<void> {
  const log = new logService.LogService();
  const list = new vmList.VmList();
  const machine = new worker.StandInWorker({
    name: 'worker-1',
    rack: 'rack-1',
    capacity: {processors: 16000, memory: 32768, accelerators: 0, slots: 8},
    runTimeMs: 10,
  });
  const zone = 'kigali-a';
  const logAddress = await log.listen();
  const listAddress = await list.listen();
  const address = await machine.listen();
  list.put({vm: 'worker-1', role: 'worker', zone, address, state: 'live'});
  const entry = await entryProcess.EntryProcess.start({
    vm: 'entry-1',
    zone,
    region: 'kigali',
    log: logAddress,
    vmList: listAddress,
  });
  try {
    await check(entry.address, log, machine);
  } finally {
    await entry.kill();
    machine.close();
    list.close();
    log.close();
  }
}

nodeTest.describe('commands against an entry process', () => {
  nodeTest.test(
    'documents of the questionnaire are published in spite of lost answers, ' +
      'and a request of their team runs once; guards against commands and ' +
      'server that disagree',
    async () => {
      await withCell(async (address, log, machine) => {
        const entry = ['--entry', address];
        const publish = ['publish', ...entry, '--document'];
        const first = await printed(...publish, 'fleet', FLEET_FILE);
        assert.equal(first['code'], 0);
        const stale = [...publish, 'fleet', '--base=0', FLEET_FILE];
        assert.equal((await printed(...stale))['code'], 6001);
        const wrong = [...publish, 'team/dispatch', FLEET_FILE];
        assert.equal((await printed(...wrong))['code'], 6002);
        log.fail({losesAcknowledgements: true});
        const lost = await printed(...publish, 'team/dispatch', TEAM_FILE);
        assert.equal(lost['code'], 0);
        log.fail({});
        const submit = ['submit', ...entry, '--client=dispatch-service'];
        const order = ['--team=dispatch', '--workload=polish-order'];
        const ended = await wait.until('the request runs', async () => {
          const reply = await printed(...submit, ...order);
          return reply['code'] === 0 ? reply : undefined;
        });
        const identity = String(ended['identity']);
        assert.equal(machine.runCounts().get(identity), 1);
        const listed = await printed('workloads', ...entry);
        assert.match(JSON.stringify(listed), /kiln-watch/);
        const status = await printed('status', ...entry);
        const version = String(lost['version']);
        assert.ok(
          JSON.stringify(status).includes(`"team/dispatch":${version}`),
        );
      });
    },
  );
});
