import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as fleet from '../../src/machines/fleet.js';
import * as ownership from '../../src/zones/ownership.js';
import * as zoneController from '../../src/zones/zone_controller.js';

const STATUS = {
  from: 'b',
  zone: 'z',
  address: 'b:1',
  documents: [],
  leavingWorkers: [],
  summaries: [],
  leaving: false,
};

/** Creates member `a`, which owns w1 and w2 beside `b` by a read sent at 0. */
function createOwner(): zoneController.ZoneController {
  const self = {process: 'a', vm: 'a', zone: 'z', region: 'r', address: 'a:1'};
  const controller = new zoneController.ZoneController(self, new fleet.Fleet());
  const items = ['w1', 'w2'].map(item => ({item, epoch: 0}));
  const written: ReadonlyArray<ownership.ZoneRecord> = [
    {kind: 'join', process: 'a', vm: 'a', address: 'a:1'},
    {kind: 'join', process: 'b', vm: 'b', address: 'b:1'},
    {kind: 'claim', claimant: 'a', items},
  ];
  const records = written.map((record, offset) => ({
    offset,
    data: JSON.stringify({...record, id: `a/${offset + 1}`}),
  }));
  // The join is sent after the first read and read back by the second.
  const empty = {first: 0, next: 0, sentAt: 0, records: []};
  controller.handle({kind: 'recordsRead', stream: 'zone/z', ...empty}, 0);
  const range = {first: 0, next: 3, sentAt: 0};
  controller.handle(
    {kind: 'recordsRead', stream: 'zone/z', ...range, records},
    1,
  );
  return controller;
}

function confirm(
  controller: zoneController.ZoneController,
  at: number,
  leaving = false,
): boolean {
  const status = {...STATUS, leaving};
  const request = {call: 1, to: 'a', zonePosition: 3, status};
  const [answer] = controller.handle({kind: 'confirmArrived', ...request}, at);
  assert.ok(answer.kind === 'answerConfirm');
  return answer.confirmed;
}

nodeTest.describe('zone controller', () => {
  nodeTest.test(
    'an owner loses its permit when it sends a transfer: guards against ' +
      'placing on a worker at the same time as its receiver',
    () => {
      const controller = createOwner();
      assert.equal(
        controller.permitEnd('w2'),
        zoneController.PERMIT_DURATION_MS,
      );
      confirm(controller, 10);
      const sent = controller.handle({kind: 'timePassed'}, 1_000);
      const append = sent.find(item => item.kind === 'append');
      assert.match(append?.records.join() ?? '', /"transfer".*"w2"/);
      assert.equal(controller.owns('w2'), true);
      assert.equal(controller.permitEnd('w2'), -Infinity);
      assert.equal(
        controller.permitEnd('w1'),
        zoneController.PERMIT_DURATION_MS,
      );
    },
  );

  nodeTest.test(
    'without the log a permit counts from the sending of a request that all ' +
      'members confirmed: guards against a permit after missing or late answers',
    () => {
      const controller = createOwner();
      controller.handle({kind: 'timePassed'}, 4_500);
      assert.ok(controller.permitEnd('w1') <= 4_500);
      const answer = {
        peer: 'b',
        sentAt: 4_600,
        zoneRecords: [],
        status: STATUS,
      };
      const kind = 'confirmAnswered';
      controller.handle({kind, confirmed: false, ...answer}, 4_700);
      assert.ok(controller.permitEnd('w1') <= 4_700);
      controller.handle({kind, confirmed: true, ...answer}, 4_800);
      assert.equal(
        controller.permitEnd('w1'),
        4_600 + zoneController.PERMIT_DURATION_MS,
      );
    },
  );

  nodeTest.test(
    'a member with a claim that may still take effect makes no promise: ' +
      'guards against an owner that places after its items were claimed',
    () => {
      const controller = createOwner();
      // A leaving member gets no workers, so only the claim is appended.
      assert.equal(confirm(controller, 10, true), true);
      for (let at = 1_000; at <= 6_000; at += 1_000) {
        const read = {first: 0, next: 3, sentAt: at, records: []};
        const stream = 'zone/z';
        const requested = controller.handle(
          {kind: 'recordsRead', stream, ...read},
          at,
        );
        const append = requested.find(item => item.kind === 'append');
        if (append?.records.join().includes('process:b')) break;
      }
      assert.equal(confirm(controller, 6_100), false);
    },
  );
});
