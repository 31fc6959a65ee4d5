import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as spawnedEntryProcess from '../support/spawned_entry_process.js';
import * as logService from '../../stand_ins/log_service.js';
import * as vmList from '../../stand_ins/vm_list.js';
import * as wait from '../support/wait.js';
import * as standInWorker from '../../stand_ins/stand_in_worker.js';

const TEAM_DOCUMENT = `
name = "dispatch"
clients = ["workshop-1"]
share = 1
queueLimit = 100
quota = {processors = 100000, memory = 100000, accelerators = 10, slots = 100}

[[workloads]]
name = "polish-order"
kind = "batch"
urgency = "normal"
worth = 10
idempotent = false
size = {processors = 1000, memory = 1024, accelerators = 0, slots = 1}
runTimeMs = 100
taskCount = 1
startDeadlineMs = 0
zones = []
maximumPerRack = 0
`;

async function callJson(
  address: string,
  method: string,
  path: string,
  body?: unknown,
): Promise<Readonly<Record<string, unknown>>> {
  const answer = await fetch(`http://${address}${path}`, {
    method,
    headers: {'x-client': 'workshop-1'},
    body: body === undefined ? undefined : JSON.stringify(body),
  });
  return (await answer.json()) as Readonly<Record<string, unknown>>;
}

nodeTest.describe('whole path', () => {
  nodeTest.test(
    'a request sent to an entry process runs on a worker and its client ' +
      'gets the answer',
    async () => {
      const log = new logService.LogService();
      const list = new vmList.VmList();
      const worker = new standInWorker.StandInWorker({
        name: 'worker-1',
        rack: 'rack-1',
        capacity: {processors: 16000, memory: 32768, accelerators: 0, slots: 8},
        runTimeMs: 10,
      });
      const logAddress = await log.listen();
      const listAddress = await list.listen();
      list.put({
        vm: 'worker-1',
        role: 'worker',
        zone: 'kigali-a',
        address: await worker.listen(),
        state: 'live',
      });
      log.append('configuration', [
        JSON.stringify({
          kind: 'publish',
          document: 'team/dispatch',
          baseVersion: 0,
          content: TEAM_DOCUMENT,
          publication: 'first',
        }),
      ]);
      const entry = await spawnedEntryProcess.SpawnedEntryProcess.start({
        vm: 'entry-1',
        zone: 'kigali-a',
        region: 'kigali',
        log: logAddress,
        vmList: listAddress,
      });
      try {
        const submission = {
          team: 'dispatch',
          workload: 'polish-order',
          payload: '{"answer": "polished"}',
        };
        const identity = await wait.until('an identity', async () => {
          const reply = await callJson(entry.address, 'POST', '/v1/identities');
          // An entry process refuses with 3002 until it has joined its zone.
          return (
            reply['identities'] as ReadonlyArray<string> | undefined
          )?.[0];
        });
        const path = `/v1/requests/${identity}?wait=20`;
        const reply = await wait.until('the request is admitted', async () => {
          const put = await callJson(entry.address, 'PUT', path, submission);
          return put['code'] === 1005 ? undefined : put;
        });
        assert.equal(reply['code'], 0);
        assert.equal(reply['answer'], 'polished');
        assert.equal(worker.startCounts().get(identity), 1);
      } finally {
        await entry.kill();
        worker.close();
        list.close();
        log.close();
      }
    },
  );
});
