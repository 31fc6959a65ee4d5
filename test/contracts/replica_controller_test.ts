import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as schedulingHarness from '../support/scheduling_harness.js';
import * as replicaController from '../../src/contracts/replica_controller.js';
import type * as team from '../../src/contracts/team.js';

const ZONES = ['huye-a', 'kigali-a', 'musanze-a'];

/** Controller of one zone; the harness assigns the requested identities. */
class ReplicaControllerHarness {
  readonly controller: replicaController.ReplicaController;
  private readonly teams = new Map<string, team.Team>();
  private readonly identities = new Map<string, number>();
  private sequence = 0;

  constructor(replicas: number, zone = 'huye-a') {
    this.configure(replicas);
    this.controller = new replicaController.ReplicaController(
      zone,
      {
        current: () => ({
          fleet: {
            zones: ZONES.map(name => ({name, region: 'rwanda'})),
            workerShapes: [],
          },
          teams: this.teams,
          versions: new Map(),
        }),
      },
      {owns: () => true},
    );
  }

  configure(replicas: number): void {
    const watch = schedulingHarness.buildWorkload({
      name: 'kiln-watch',
      kind: 'service',
      taskCount: replicas,
    });
    const configuredTeam = schedulingHarness.buildTeam('dispatch', {
      workloads: [watch],
    });
    this.teams.set('dispatch', configuredTeam);
  }

  /** Records every requested replica; returns the identities assigned. */
  request(now: number): ReadonlyArray<string> {
    const used: string[] = [];
    for (const action of this.controller.update(now)) {
      if (action.kind !== 'request') continue;
      this.sequence += 1;
      const identity = `replica_${this.sequence}`;
      this.identities.set(identity, action.replica.number);
      this.controller.recordRequest(action.replica, identity);
      used.push(identity);
    }
    return used;
  }

  /** Requests missing replicas and records their start. */
  start(now: number): ReadonlyArray<string> {
    const used = this.request(now);
    for (const identity of used) this.controller.recordStart(identity, now);
    return used;
  }
}

nodeTest.describe('number of replicas', () => {
  nodeTest.test('zones divide the replicas without a gap or an overlap', () => {
    const counts = ZONES.map(
      zone => new ReplicaControllerHarness(7, zone).request(0).length,
    );
    assert.deepEqual(counts, [3, 2, 2]);
  });

  nodeTest.test(
    'repeated updates do not request the same replica twice',
    () => {
      const harness = new ReplicaControllerHarness(6);
      assert.equal(harness.request(0).length, 2);
      assert.equal(harness.request(1).length, 0);
    },
  );

  nodeTest.test(
    'reducing the configured count stops the highest numbers',
    () => {
      const harness = new ReplicaControllerHarness(6);
      const [, last] = harness.start(0);
      harness.configure(3);
      assert.deepEqual(harness.controller.update(1), [
        {kind: 'stop', identity: last},
      ]);
    },
  );
});

nodeTest.describe('replacement', () => {
  nodeTest.test(
    'a lost replica is replaced only after its lease has ended',
    () => {
      const harness = new ReplicaControllerHarness(3);
      const [lost] = harness.start(0);
      harness.controller.recordEnd(lost, 100_000, 130_000);
      assert.equal(harness.request(129_999).length, 0);
      assert.equal(harness.controller.nextDeadline(129_999), 130_000);
      assert.equal(harness.request(130_000).length, 1);
    },
  );

  nodeTest.test(
    'a replica that keeps ending is restarted with growing backoff',
    () => {
      const harness = new ReplicaControllerHarness(3);
      let starts = 0;
      for (let now = 0; now < 300_000; now += 100) {
        for (const identity of harness.start(now)) {
          starts += 1;
          harness.controller.recordEnd(identity, now);
        }
      }
      assert.ok(starts >= 8 && starts <= 12, `${starts} starts in 5 min`);
    },
  );
});

nodeTest.describe('moves', () => {
  nodeTest.test(
    'the old replica is stopped only once its replacement runs',
    () => {
      const harness = new ReplicaControllerHarness(3);
      const [old] = harness.start(0);
      assert.ok(harness.controller.requestMove(old));
      const [replacement] = harness.request(1);
      assert.deepEqual(harness.controller.recordStart(replacement, 2), [
        {kind: 'stop', identity: old},
      ]);
      harness.controller.recordEnd(old, 3);
      assert.equal(harness.request(4).length, 0);
    },
  );

  nodeTest.test('only one replica of a service moves at a time', () => {
    const harness = new ReplicaControllerHarness(6);
    const [first, second] = harness.start(0);
    assert.ok(harness.controller.requestMove(first));
    assert.equal(harness.controller.requestMove(second), false);
    const [replacement] = harness.request(1);
    harness.controller.recordStart(replacement, 2);
    assert.ok(harness.controller.requestMove(second));
  });
});
