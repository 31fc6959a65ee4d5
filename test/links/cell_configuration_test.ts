import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as cellClientSupport from '../support/cell_client.js';
import * as cellServer from '../../src/links/cell_server.js';
import * as jobCell from '../support/job_cell.js';
import * as recordedCounters from '../support/recorded_counters.js';
import * as scriptedConfigurationSource from '../support/scripted_configuration_source.js';
import type * as cellClient from '../../src/links/cell_client.js';
import type * as cellPeers from '../../src/zones/cell_peers.js';
import * as job from '../../src/jobs/job.js';

const {describe, test} = nodeTest;
const {configurationOf} = scriptedConfigurationSource;

const CALL_TIMEOUT_MS = 2_000;
const VERSION = 9;
const AGE_MS = 70;

/** Calls a member that has a configuration; `heard` gets the versions told. */
async function withMember<Value>(
  configuration: job.OperatorConfiguration,
  call: (client: cellClient.CellClient, address: string) => Promise<Value>,
  heard: number[] = [],
): Promise<Value> {
  const service = {
    configurationVersion: configuration.version,
    configurationSince: (knownVersion: number) => ({
      configuration:
        configuration.version > knownVersion ? configuration : undefined,
      version: configuration.version,
      ageMs: AGE_MS,
    }),
    submit: () => undefined,
    readState: () => ({state: 'running'}),
    countPending: () => 3,
  } as unknown as cellPeers.CellService;
  const server = new cellServer.CellServer(service);
  const port = await server.listen('127.0.0.1', 0);
  const client = cellClientSupport.createCellClient(
    new recordedCounters.RecordedCounters(),
    version => void heard.push(version),
  );
  const value = await call(client, `127.0.0.1:${port}`);
  client.close();
  server.close();
  return value;
}

describe('configuration of another member', () => {
  test('is fetched with its version and age if it is newer', async () => {
    const stored = configurationOf(VERSION, [job.identify(jobCell.QUEUE)]);
    const outcome = await withMember(stored, (client, address) =>
      client.fetchConfiguration(address, VERSION - 1, CALL_TIMEOUT_MS),
    );
    assert.deepEqual(outcome, {
      kind: 'answered',
      value: {configuration: stored, version: VERSION, ageMs: AGE_MS},
    });
  });

  // Guards against transfers of whole configurations that only confirm.
  test('is not sent to a member that has it', async () => {
    const stored = configurationOf(VERSION, [jobCell.QUEUE]);
    const outcome = await withMember(stored, (client, address) =>
      client.fetchConfiguration(address, VERSION, CALL_TIMEOUT_MS),
    );
    assert.equal(
      outcome.kind === 'answered' && outcome.value.configuration,
      undefined,
    );
  });

  // Guards against an invalid configuration that spreads among the members.
  test('is not taken if it is invalid', async () => {
    const invalid = configurationOf(VERSION, [{...jobCell.QUEUE, service: ''}]);
    const outcome = await withMember(invalid, (client, address) =>
      client.fetchConfiguration(address, 1, CALL_TIMEOUT_MS),
    );
    assert.equal(
      outcome.kind === 'answered' && outcome.value.configuration,
      undefined,
    );
  });

  // Guards against a front that is not told of the newer version by which the
  // leader has decided.
  test('is announced by each answer of a member, leader or not', async () => {
    const heard: number[] = [];
    await withMember(
      configurationOf(VERSION),
      async (client, address) => {
        const definition = jobCell.jobOf('a1', {});
        await client.submit(address, definition, 1, CALL_TIMEOUT_MS);
        await client.readState(address, 'orders', 'a1', CALL_TIMEOUT_MS);
        await client.countPending(address, 'orders', CALL_TIMEOUT_MS);
      },
      heard,
    );
    assert.deepEqual(heard, [VERSION, VERSION, VERSION]);
  });
});
