import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as protobuf from '@bufbuild/protobuf';
import * as fleet from '../../src/machines/fleet.js';
import * as peerPb from '../../src/links/generated/peer_pb.js';
import * as zoneController from '../../src/zones/zone_controller.js';
import type * as effect from '../../src/contracts/effect.js';
import type * as event from '../../src/contracts/event.js';

const SELF = {
  process: 'kigali-a.entry-1.0123abcd',
  vm: 'entry-1',
  zone: 'kigali-a',
  region: 'kigali',
  address: '10.0.0.1:7000',
};

function listedVm(
  vm: string,
  zone: string,
  state: event.ListedVm['state'] = 'live',
): event.ListedVm {
  const role = vm.startsWith('entry') ? 'entry' : 'worker';
  return {vm, role, zone, address: '10.0.0.2:7000', state};
}

/** Creates a member of kigali-a beside a second one, `kigali-a.entry-2`. */
function createMember(): zoneController.ZoneController {
  const controller = new zoneController.ZoneController(SELF, new fleet.Fleet());
  const joins = [SELF, {process: 'kigali-a.entry-2', vm: 'entry-2'}];
  const records = joins.map(({process, vm}, offset) => {
    const address = SELF.address;
    return {offset, data: JSON.stringify({kind: 'join', process, vm, address})};
  });
  const stream = 'zone/kigali-a';
  const range = {first: 0, next: 2, sentAt: 0};
  controller.handle({kind: 'recordsRead', stream, ...range, records}, 1);
  return controller;
}

function confirmPeerEffects(requested: ReadonlyArray<effect.Effect>) {
  return requested.filter(item => item.kind === 'confirmPeer');
}

nodeTest.describe('confirmations', () => {
  nodeTest.test(
    'a worker that the VM list names as leaving is known at once and ' +
      'reported in the next confirmation: guards against members that place ' +
      'on a worker that is being drained',
    () => {
      const controller = createMember();
      const vms = [listedVm('worker-1', SELF.zone, 'leaving')];
      controller.handle({kind: 'vmListRead', sentAt: 1, vms}, 2);
      assert.deepEqual(controller.leavingWorkers(), ['worker-1']);
      const sent = confirmPeerEffects(
        controller.handle({kind: 'timePassed'}, 3),
      );
      assert.deepEqual(sent[0].status.leavingWorkers, ['worker-1']);
    },
  );

  nodeTest.test(
    'the first live member sends the summary to one VM of each other zone in ' +
      'at most 200 bytes: guards against traffic between zones that grows ' +
      'with the number of members',
    () => {
      const controller = createMember();
      const vms = [
        listedVm('entry-7', 'musanze-a'),
        listedVm('entry-8', 'musanze-a'),
      ];
      controller.handle({kind: 'vmListRead', sentAt: 1, vms}, 2);
      const sent = confirmPeerEffects(
        controller.handle({kind: 'timePassed'}, 3),
      );
      const [summary, ...more] = sent.filter(
        ({peer: to}) => to === 'musanze-a.entry-7',
      );
      assert.equal(sent.length, 2);
      assert.equal(more.length, 0);
      const {documents, leavingWorkers, summaries, ...sender} = summary.status;
      assert.equal(documents.length + leavingWorkers.length, 0);
      const message = protobuf.create(peerPb.ConfirmRequestSchema, {
        ...sender,
        to: summary.peer,
        summaries: summaries.map(zoneSummary => ({
          zone: zoneSummary.zone,
          freeProcessors: 500_000n,
          freeMemory: 4_000_000n,
          freeAccelerators: 1_000n,
          expectedWaitMs: 60_000n,
          workerCount: zoneSummary.workerCount,
        })),
      });
      const bytes = protobuf.toBinary(peerPb.ConfirmRequestSchema, message);
      assert.ok(bytes.length <= 200, `${bytes.length} bytes`);
    },
  );
});
