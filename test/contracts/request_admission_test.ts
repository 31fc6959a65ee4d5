import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as schedulingHarness from '../support/scheduling_harness.js';
import type * as request from '../../src/contracts/request.js';
import type * as result from '../../src/result.js';
import type * as team from '../../src/contracts/team.js';
import type * as workload from '../../src/contracts/workload.js';

const FLEET_DEFINITION = {
  zones: [
    {name: 'kigali-a', region: 'kigali'},
    {name: 'huye-a', region: 'huye'},
  ],
  workerShapes: [
    {
      capacity: schedulingHarness.buildResources(16_000, 32_768, 0, 8),
      zones: ['kigali-a'],
    },
    {
      capacity: schedulingHarness.buildResources(8_000, 131_072, 4, 8),
      zones: ['huye-a'],
    },
  ],
};

function refusal(
  definition: Partial<workload.Workload>,
  changes: Partial<request.Request> = {},
  teamChanges: Partial<team.Team> = {},
): result.Failure | undefined {
  const harness = new schedulingHarness.SchedulingHarness();
  harness.setFleetDefinition(FLEET_DEFINITION);
  harness.addTeam(schedulingHarness.buildTeam('dispatch', teamChanges));
  const built = harness.buildRequest(
    'dispatch',
    schedulingHarness.buildWorkload(definition),
    0,
    changes,
  );
  return harness.scheduler.admit(built, 0).swap().toMaybe().extract();
}

nodeTest.describe('requests that fit no worker', () => {
  nodeTest.test(
    'the refusal names the dimension that exceeds every worker',
    () => {
      const refused = refusal({
        size: schedulingHarness.buildResources(1_000, 200_000),
      });
      assert.equal(refused?.result, 'neverFits');
      assert.match(refused?.detail ?? '', /^memory: 200000 exceeds 131072/);
    },
  );

  nodeTest.test(
    'the refusal names the missing dimension of each worker shape',
    () => {
      const refused = refusal({
        size: schedulingHarness.buildResources(12_000, 65_536),
      });
      assert.equal(refused?.result, 'neverFits');
      assert.match(refused?.detail ?? '', /lacks memory on .*; processors on/);
    },
  );

  nodeTest.test(
    'only worker shapes in the allowed zones are considered',
    () => {
      const size = schedulingHarness.buildResources(1_000, 1_024, 1);
      assert.equal(refusal({size}), undefined);
      const refused = refusal({size, zones: ['kigali-a']});
      assert.match(refused?.detail ?? '', /^accelerators: 1 exceeds 0/);
      const zoneRefusal = refusal({zones: ['musanze-a']});
      assert.match(zoneRefusal?.detail ?? '', /^zones: .* musanze-a/);
    },
  );
});

nodeTest.describe('team limits', () => {
  nodeTest.test(
    'a full queue refuses requests of its team but not of other teams',
    () => {
      const harness = new schedulingHarness.SchedulingHarness();
      harness.addTeam(schedulingHarness.buildTeam('flood', {queueLimit: 10}));
      harness.addTeam(schedulingHarness.buildTeam('dispatch'));
      const definition = schedulingHarness.buildWorkload();
      assert.equal(harness.admit('flood', definition, 50, 0).length, 10);
      assert.equal(harness.admit('dispatch', definition, 50, 0).length, 50);
    },
  );

  nodeTest.test(
    'a gang larger than the quota is refused instead of queued forever',
    () => {
      const refused = refusal(
        {
          kind: 'gang',
          taskCount: 4,
          size: schedulingHarness.buildResources(4_000, 1_024),
        },
        {},
        {quota: schedulingHarness.buildResources(12_000, 1e6, 0, 100)},
      );
      assert.equal(refused?.result, 'quotaExceeded');
      assert.match(refused?.detail ?? '', /^processors: 16000 for 4 tasks/);
    },
  );
});

nodeTest.describe('start deadlines', () => {
  nodeTest.test(
    'a request is refused when its start deadline has passed',
    () => {
      const refused = refusal({}, {startBy: 0});
      assert.equal(refused?.result, 'deadlineUnmeetable');
    },
  );

  nodeTest.test(
    'a request is refused when it would start after its deadline',
    () => {
      const harness = new schedulingHarness.SchedulingHarness();
      const target = harness.addWorkers(
        1,
        schedulingHarness.buildResources(1_000, 1_024),
      )[0];
      harness.addTeam(schedulingHarness.buildTeam('dispatch'));
      const definition = schedulingHarness.buildWorkload();
      harness.admit('dispatch', definition, 40, 0);
      for (let now = 0; now < 20_000; now += 1_000) {
        for (const task of [...target.reservations().keys()]) {
          target.release(task);
        }
        harness.scheduler.place(now);
      }
      const unmeetable = harness.buildRequest('dispatch', definition, 20_000, {
        startBy: 22_000,
      });
      assert.ok(harness.scheduler.admit(unmeetable, 20_000).isLeft());
      const meetable = harness.buildRequest('dispatch', definition, 20_000, {
        startBy: 80_000,
      });
      assert.ok(harness.scheduler.admit(meetable, 20_000).isRight());
    },
  );
});
