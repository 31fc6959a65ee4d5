import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as command from '../support/command.js';

const TEAM_FILE = 'deployments/go_stones/team/dispatch.toml';
const DOCUMENT_PATH = '/v1/configuration/team%2Fdispatch';

async function withEntry(
  answer: (call: command.RecordedCall, earlierCount: number) => unknown,
  check: (
    entry: command.StubEntryServer,
    ...commandArguments: ReadonlyArray<string>
  ) => Promise<void>,
): Promise<void> {
  const entry = new command.StubEntryServer(answer);
  try {
    await check(entry, '--entry', await entry.listen(), '--json');
  } finally {
    entry.close();
  }
}

function publish(
  ...commandArguments: ReadonlyArray<string>
): Promise<command.CompletedCommand> {
  const document = ['--document', 'team/dispatch', TEAM_FILE];
  return command.runCommand('', 'publish', ...commandArguments, ...document);
}

nodeTest.describe('publish', () => {
  nodeTest.test(
    'a publication is based on the version in force and is retried under ' +
      'one identity; guards against a second publication after a lost reply',
    async () => {
      await withEntry(
        (call, earlierCount) => {
          if (call.route.startsWith('GET')) return {code: 0, version: 41};
          return earlierCount === 0 ? undefined : {code: 0, version: 42};
        },
        async (entry, ...commandArguments) => {
          const result = await publish(...commandArguments);
          assert.equal(result.exitCode, 0);
          const puts = entry.calls.filter(
            call => call.route === `PUT ${DOCUMENT_PATH}`,
          );
          const identities = puts.map(call => call.headers['x-publication']);
          assert.equal(puts.length, 2);
          assert.equal(new Set(identities).size, 1);
          assert.equal(puts[1].headers['if-match'], '"41"');
          assert.match(puts[1].body, /name = "dispatch"/);
          const printed = JSON.parse(result.output) as Record<string, unknown>;
          assert.equal(printed['publication'], identities[0]);
          assert.equal(printed['version'], 42);
        },
      );
    },
  );

  nodeTest.test(
    'a refusal after a lost reply is reported as unknown; guards against ' +
      'reporting that nothing was published although it may have been',
    async () => {
      await withEntry(
        (_call, earlierCount) =>
          earlierCount === 0 ? undefined : {code: 3003, detail: 'log'},
        async (_entry, ...commandArguments) => {
          const result = await publish(
            ...commandArguments,
            '--base=1',
            '--timeout=1',
          );
          assert.equal(JSON.parse(result.output).code, 6004);
          assert.equal(result.exitCode, 7);
        },
      );
    },
  );

  nodeTest.test(
    'a version conflict is not retried and has its own exit code; guards ' +
      'against overwriting the change of another operator',
    async () => {
      await withEntry(
        () => ({code: 6001, detail: 'baseVersion'}),
        async (entry, ...commandArguments) => {
          const result = await publish(...commandArguments, '--base=0');
          assert.equal(result.exitCode, 7);
          assert.equal(entry.calls.length, 1);
        },
      );
    },
  );
});

nodeTest.describe('submit', () => {
  nodeTest.test(
    'all retries use one reserved identity; guards against a second run of ' +
      'work that is not idempotent',
    async () => {
      await withEntry(
        (call, earlierCount) => {
          if (call.route === 'POST /v1/identities') {
            return {code: 0, identities: ['id-1']};
          }
          if (earlierCount === 0) return undefined;
          if (earlierCount === 1) return {code: 1, state: 'running'};
          return {code: 0, answer: 'polished'};
        },
        async (entry, ...commandArguments) => {
          const work = ['--team', 'dispatch', '--workload', 'polish-order'];
          const result = await command.runCommand(
            '',
            'submit',
            ...commandArguments,
            ...work,
          );
          assert.equal(result.exitCode, 0);
          assert.equal(JSON.parse(result.output).answer, 'polished');
          const routes = entry.calls.map(call => call.route);
          assert.deepEqual(routes, [
            'POST /v1/identities',
            'PUT /v1/requests/id-1',
            'PUT /v1/requests/id-1',
            'PUT /v1/requests/id-1',
          ]);
          assert.deepEqual(JSON.parse(entry.calls[1].body), {
            team: 'dispatch',
            workload: 'polish-order',
            payload: '',
          });
        },
      );
    },
  );
});

nodeTest.describe('other calls', () => {
  nodeTest.test(
    'each command calls its path and returns the exit code of its result; ' +
      'guards against scripts that mistake a refusal for success',
    async () => {
      const cases: ReadonlyArray<
        readonly [ReadonlyArray<string>, string, number, number]
      > = [
        [['status'], 'GET /v1/status', 0, 0],
        [['workloads'], 'GET /v1/workloads', 0, 0],
        [['explain', 'id-1'], 'GET /v1/explain/id-1', 1008, 2],
        [['cancel', 'id-1'], 'DELETE /v1/requests/id-1', 2006, 3],
        [['drain', '--worker', 'w'], 'POST /v1/drain', 5001, 6],
      ];
      for (const [words, route, code, exitCode] of cases) {
        await withEntry(
          () => ({code}),
          async (entry, ...commandArguments) => {
            const result = await command.runCommand(
              '',
              ...words,
              ...commandArguments,
            );
            assert.equal(result.exitCode, exitCode, words[0]);
            assert.equal(entry.calls[0].route, route);
          },
        );
      }
    },
  );

  nodeTest.test(
    'an unreachable entry process is skipped, and no reachable one has its ' +
      'own exit code; guards against commands that fail with one dead ' +
      'process',
    async () => {
      await withEntry(
        () => ({code: 0}),
        async (_entry, ...commandArguments) => {
          const dead = ['status', '--entry', '127.0.0.1:9'];
          const reached = await command.runCommand(
            '',
            ...dead,
            ...commandArguments,
          );
          assert.equal(reached.exitCode, 0);
          const none = await command.runCommand('', ...dead, '--timeout=0');
          assert.equal(none.exitCode, 4);
        },
      );
    },
  );
});
