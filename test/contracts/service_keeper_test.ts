import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as scheduling from '../support/scheduling.js';
import * as serviceKeeper from '../../src/contracts/service_keeper.js';
import type * as team from '../../src/contracts/team.js';

const ZONES = ['huye-a', 'kigali-a', 'musanze-a'];

/** A keeper of one zone whose requests are given identities by hand. */
class KeeperWorld {
  readonly keeper: serviceKeeper.ServiceKeeper;
  private readonly teams = new Map<string, team.Team>();
  private readonly identities = new Map<string, number>();
  private sequence = 0;

  constructor(replicas: number, zone = 'huye-a') {
    this.configure(replicas);
    this.keeper = new serviceKeeper.ServiceKeeper(
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
      {keeps: () => true},
    );
  }

  configure(replicas: number): void {
    const watch = scheduling.workloadOf({
      name: 'kiln-watch',
      kind: 'service',
      taskCount: replicas,
    });
    const described = scheduling.teamOf('dispatch', {workloads: [watch]});
    this.teams.set('dispatch', described);
  }

  /** Carries out what the keeper asks for; returns the identities used. */
  request(now: number): ReadonlyArray<string> {
    const used: string[] = [];
    for (const action of this.keeper.update(now)) {
      if (action.kind !== 'request') continue;
      this.sequence += 1;
      const identity = `replica_${this.sequence}`;
      this.identities.set(identity, action.replica.number);
      this.keeper.requested(action.replica, identity);
      used.push(identity);
    }
    return used;
  }

  /** Requests what is missing and notes its start. */
  start(now: number): ReadonlyArray<string> {
    const used = this.request(now);
    for (const identity of used) this.keeper.started(identity, now);
    return used;
  }
}

nodeTest.describe('number of replicas', () => {
  nodeTest.test('zones share them out without a gap or an overlap', () => {
    const counts = ZONES.map(
      zone => new KeeperWorld(7, zone).request(0).length,
    );
    assert.deepEqual(counts, [3, 2, 2]);
  });

  nodeTest.test(
    'a replica is requested once, however often it is asked',
    () => {
      const world = new KeeperWorld(6);
      assert.equal(world.request(0).length, 2);
      assert.equal(world.request(1).length, 0);
    },
  );

  nodeTest.test('fewer configured replicas stop the highest numbers', () => {
    const world = new KeeperWorld(6);
    const [, last] = world.start(0);
    world.configure(3);
    assert.deepEqual(world.keeper.update(1), [{kind: 'stop', identity: last}]);
  });
});

nodeTest.describe('replacement', () => {
  nodeTest.test('a lost replica is replaced only after its lease', () => {
    const world = new KeeperWorld(3);
    const [lost] = world.start(0);
    world.keeper.ended(lost, 100_000, 130_000);
    assert.equal(world.request(129_999).length, 0);
    assert.equal(world.keeper.nextDeadline(129_999), 130_000);
    assert.equal(world.request(130_000).length, 1);
  });

  nodeTest.test('a replica that keeps ending is started less and less', () => {
    const world = new KeeperWorld(3);
    let starts = 0;
    for (let now = 0; now < 300_000; now += 100) {
      for (const identity of world.start(now)) {
        starts += 1;
        world.keeper.ended(identity, now);
      }
    }
    assert.ok(starts >= 8 && starts <= 12, `${starts} starts in 5 min`);
  });
});

nodeTest.describe('moves', () => {
  nodeTest.test('the old replica stops only once the new one runs', () => {
    const world = new KeeperWorld(3);
    const [old] = world.start(0);
    assert.ok(world.keeper.move(old));
    const [successor] = world.request(1);
    assert.deepEqual(world.keeper.started(successor, 2), [
      {kind: 'stop', identity: old},
    ]);
    world.keeper.ended(old, 3);
    assert.equal(world.request(4).length, 0);
  });

  nodeTest.test('the replicas of a service move one at a time', () => {
    const world = new KeeperWorld(6);
    const [first, second] = world.start(0);
    assert.ok(world.keeper.move(first));
    assert.equal(world.keeper.move(second), false);
    const [successor] = world.request(1);
    world.keeper.started(successor, 2);
    assert.ok(world.keeper.move(second));
  });
});
