import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as settings from '../../src/operations/settings.js';

const VALID = `vm = "entry-1"
zone = "kigali-a"
region = "kigali"
host = "10.0.0.1"
callerPort = 7000
peerPort = 7001
log = "10.0.0.2:7100"
vmList = "10.0.0.2:7200"
`;

function faultsOf(text: string): ReadonlyArray<settings.SettingsFault> {
  return settings.parseSettings(text).swap().orDefault([]);
}

nodeTest.describe('settings', () => {
  nodeTest.test(
    'missing optional keys get their defaults; guards against rejecting ' +
      'settings that were written for an earlier version',
    () => {
      const parsed = settings.parseSettings(VALID).unsafeCoerce();
      assert.equal(parsed.logRetentionMs, 86_400_000);
      assert.equal(parsed.logStalenessMs, 0);
      assert.equal(parsed.callerPort, 7000);
    },
  );

  nodeTest.test(
    'all faults are reported at once with line, key, value and rule; guards ' +
      'against reports that stop at the first fault',
    () => {
      const text =
        VALID.replace('7000', '70000').replace('10.0.0.1', 'entry.example') +
        'colour = "red"\nlogRetentionMs = 7200000\n';
      const faults = faultsOf(text.replace('vm = "entry-1"\n', ''));
      const summaries = faults.map(({key, line, value}) => [key, line, value]);
      assert.deepEqual(summaries, [
        ['vm', 0, 'missing'],
        ['host', 3, '"entry.example"'],
        ['callerPort', 4, '70000'],
        ['logRetentionMs', 9, '7200000'],
        ['colour', 8, '"red"'],
      ]);
      for (const fault of faults) assert.match(fault.rule, /^must be /);
    },
  );

  nodeTest.test(
    'a syntax fault names its line, and equal ports are rejected; guards ' +
      'against a process that fails only when it opens its ports',
    () => {
      assert.equal(faultsOf(`${VALID}zone == 3\n`)[0].line, 9);
      const faults = faultsOf(VALID.replace('7001', '7000'));
      assert.deepEqual(
        faults.map(fault => fault.key),
        ['peerPort'],
      );
    },
  );
});
