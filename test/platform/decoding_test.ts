import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as fastCheck from 'fast-check';
import * as configurationDecoder from '../../platform/configuration_decoder.js';
import * as jobDecoder from '../../platform/job_decoder.js';
import * as platformSettings from '../../platform/platform_settings.js';
import * as registryEntryDecoder from '../../platform/registry_entry_decoder.js';

const {describe, test} = nodeTest;

function encode(value: unknown): Buffer {
  return Buffer.from(JSON.stringify(value));
}

const ENTRY = {
  service_name: 'dispatch',
  address: '10.0.0.1:80',
  zone: 'a',
  version: 'v1',
  slots: 8,
  state: 'ready',
  cold_left_ms: 0,
  seq: 3,
  capacity: {cpu: 16_000, mem_mb: 32_768, gpu: 1},
  labels: ['a', 'r1-3'],
  born: 7,
  machine: 'm-1',
};

function decodeEntryText(text: string): unknown {
  return registryEntryDecoder.decodeRegistryEntry('i-1', Buffer.from(text));
}

describe('registry entry decoder', () => {
  test('decodes a worker, its machine and its capacity', () => {
    const entry = registryEntryDecoder.decodeRegistryEntry(
      'i-1',
      encode(ENTRY),
    );
    assert.equal(entry?.capacity.processors, 16_000);
    assert.equal(entry?.capacity.accelerators, 1);
    assert.equal(entry?.machine, 'm-1');
  });

  // Guards against starts on a worker that does not exist: another writer may
  // add malformed entries to the registry.
  test('rejects an entry with a missing field or one of the wrong type', () => {
    for (const change of [
      {state: 'sleeping'},
      {service_name: 7},
      {address: undefined},
      {born: '7'},
      {capacity: {cpu: '16000', mem_mb: 1}},
      {capacity: null},
      {zone: undefined},
      {labels: undefined},
      {labels: ['a', 7]},
      {version: undefined},
      {version: 1},
      {slots: undefined},
      {slots: -1},
      {cold_left_ms: undefined},
      {cold_left_ms: '0'},
      {seq: undefined},
      {seq: 'three'},
    ]) {
      const entry = registryEntryDecoder.decodeRegistryEntry(
        'i-1',
        encode({...ENTRY, ...change}),
      );
      assert.equal(entry, undefined, JSON.stringify(change));
    }
  });

  // Guards against a worker without an address that can be called, and against
  // one whose capacity draws all work.
  test('rejects an address out of range and a capacity that is no quantity', () => {
    const malformed = [
      '"address":"127.0.0.1:99999"',
      '"address":"127.0.0.1:0"',
      '"address":"127.0.0.1:80/x"',
      '"address":":::"',
      '"address":"999.0.0.1:80"',
      '"born":1e999',
      '"born":-1',
      '"born":1.5',
      '"capacity":{"cpu":1e999,"mem_mb":1}',
      '"capacity":{"cpu":1,"mem_mb":-5}',
      '"capacity":{"cpu":1,"mem_mb":1,"gpu":-1}',
      '"labels":"a"',
      '"zone":7',
    ];
    const valid = encode(ENTRY).toString().slice(1);
    assert.ok(decodeEntryText(`{${valid}`));
    for (const field of malformed) {
      // Of two fields with one name, the last one counts.
      const text = `{${valid.slice(0, -1)},${field}}`;
      assert.equal(decodeEntryText(text), undefined, field);
    }
  });

  // Guards against a crash of the process on malformed bytes, here and in the
  // other decoders.
  test('does not throw on arbitrary bytes', () => {
    fastCheck.assert(
      fastCheck.property(fastCheck.uint8Array(), value => {
        registryEntryDecoder.decodeRegistryEntry('i-1', value);
        configurationDecoder.decodeConfiguration(value);
        jobDecoder.decodeJob('a', 'q', value);
        platformSettings.parseSettings(value);
      }),
      {seed: 20_261_204, numRuns: 200},
    );
  });
});

const ROUTE = {
  name: 'orders',
  host: 'Orders.example',
  path_prefix: '/orders/',
  service_name: 'dispatch',
};

describe('configuration decoder', () => {
  test('decodes routes and fills in what they omit', () => {
    const decoded = configurationDecoder
      .decodeConfiguration(encode({version: 7, routes: [ROUTE]}))
      .unsafeCoerce();
    assert.equal(decoded.version, 7);
    assert.equal(decoded.queues[0].host, 'orders.example');
    assert.equal(decoded.queues[0].attempts, 1);
    assert.equal(decoded.bodyBytes, 262_144);
  });

  // Guards against an invalid version that replaces the one in force, and one
  // so large that no later version is taken.
  test('an invalid configuration was taken: rejects it whole and names the field', () => {
    const invalid: ReadonlyArray<readonly [string, RegExp]> = [
      ['{"version":1e999,"routes":[]}', /version/],
      ['{"version":3.5,"routes":[]}', /version/],
      ['{"version":-1,"routes":[]}', /version/],
      ['{"routes":[]}', /version/],
      ['{"version":8,"routes":"x"}', /queues/],
      ['{"version":8,"routes":[7]}', /queues/],
      ['{"version":8,"routes":[{"name":"a","path_prefix":"/a/"}]}', /service/],
      ['{"version":8,"routes":[{"service_name":"a"}]}', /name/],
      [
        '{"version":8,"routes":[{"name":"a","service_name":"b","timeout_ms":-1}]}',
        /timeoutMs/,
      ],
      [
        '{"version":8,"routes":[{"name":"a","service_name":"b","advice":7}]}',
        /advice/,
      ],
      ['{"version":8,"limits":{"max_body_bytes":-1}}', /bodyBytes/],
      ['{"version":8,"limits":7}', /bodyBytes/],
    ];
    for (const [text, field] of invalid) {
      const decoded = configurationDecoder.decodeConfiguration(
        Buffer.from(text),
      );
      assert.ok(decoded.isLeft(), text);
      assert.match(String(decoded.extract()), field, text);
    }
  });
});

describe('the id of a job', () => {
  // Guards against an id that breaks task names, or that does not fit the key of
  // a record and ended the scheduler's term.
  test('is refused when it is too long or has other characters', () => {
    assert.equal(jobDecoder.checkId('00f3a7c2d94b36f8'), undefined);
    assert.equal(jobDecoder.checkId('a'.repeat(128)), undefined);
    for (const id of ['a'.repeat(129), 'a.b', 'a/b', 'é', '']) {
      assert.equal(jobDecoder.checkId(id)?.field, 'id');
    }
  });
});

describe('job decoder', () => {
  const STEP = {count: 2, cpu: 500, mem_mb: 64, est_runtime_ms: 900};

  test('decodes all fields of steps and the schedule', () => {
    const decoded = jobDecoder.decodeJob(
      'ab',
      'orders',
      encode({
        spec: 'text',
        steps: [
          STEP,
          {
            ...STEP,
            after: [0],
            gang: true,
            data_rack: 'r1',
            allow_duplicates: true,
            max_per_server: 2,
          },
        ],
        repeat_count: 3,
        start_at_ms: 1_000,
        interval_ms: 500,
      }),
    );
    const definition = decoded.unsafeCoerce();
    assert.equal(definition.payload, 'text');
    assert.deepEqual(definition.steps[1].after, [0]);
    assert.equal(definition.steps[1].gang, true);
    assert.equal(definition.steps[1].maximumPerWorker, 2);
    assert.deepEqual(definition.schedule, {
      occurrences: 3,
      startAtMs: 1_000,
      intervalMs: 500,
    });
  });

  // Guards against accepting a job whose steps cannot be run.
  test('rejects an invalid job and names the field', () => {
    const faultOf = (body: unknown): string =>
      jobDecoder.decodeJob('ab', 'q', encode(body)).swap().unsafeCoerce().field;
    assert.equal(faultOf([]), 'body');
    assert.equal(faultOf({}), 'steps');
    assert.equal(faultOf({steps: [{...STEP, count: 0}]}), 'steps[0].count');
    assert.equal(faultOf({steps: [{...STEP, cpu: -500}]}), 'steps[0]');
    assert.equal(faultOf({steps: [{...STEP, after: [0]}]}), 'steps[0].after');
  });
});

describe('settings parser', () => {
  const FILE = {
    ip: '10.1.0.1',
    listen: {front: '10.1.0.1:1', ready: '10.1.0.1:2'},
    port_range: [7_000, 7_015],
    platform: {address: '10.2.0.1:3'},
  };

  test('accepts a file with an address, ports and the store', () => {
    const read = platformSettings.parseSettings(encode(FILE)).unsafeCoerce();
    assert.equal(read.cellPort, 7_000);
    assert.deepEqual(read.jobApiEndpoint, {host: '10.1.0.1', port: 1});
  });

  // Guards against a process that refuses to start, or never starts a task,
  // because the platform gives no usable rate of its link.
  test('assumes a fast link where the rate is missing or is not positive', () => {
    const rateOf = (limits: unknown): number =>
      platformSettings.parseSettings(encode({...FILE, limits})).unsafeCoerce()
        .linkBytesPerSecond;
    assert.equal(rateOf({link_mbps: 2}), 250_000);
    assert.equal(rateOf({}), 125_000_000);
    assert.equal(rateOf({link_mbps: 0}), 125_000_000);
  });

  // Guards against a process that starts with unusable settings.
  test('rejects invalid settings and names the key', () => {
    const keyOf = (file: unknown): string =>
      platformSettings.parseSettings(encode(file)).swap().unsafeCoerce().key;
    assert.equal(keyOf({...FILE, ip: 4}), 'ip');
    assert.equal(keyOf({...FILE, listen: {}}), 'listen.front');
    assert.equal(keyOf({...FILE, port_range: []}), 'port_range');
    assert.equal(keyOf({...FILE, platform: {}}), 'platform.address');
    assert.equal(keyOf('text'), 'file');
  });
});
