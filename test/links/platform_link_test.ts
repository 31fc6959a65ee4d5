import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as fastCheck from 'fast-check';
import * as pooledHttpClient from '../../src/links/pooled_http_client.js';
import * as logService from '../../stand_ins/log_service.js';
import * as platformLink from '../../src/links/platform_link.js';
import * as recordedMetrics from '../support/recorded_metrics.js';
import * as standInServer from '../../stand_ins/stand_in_server.js';
import * as vmList from '../../stand_ins/vm_list.js';
import type * as event from '../../src/contracts/event.js';

const VM = {
  vm: 'worker-1',
  role: 'worker',
  zone: 'kigali-a',
  address: '127.0.0.1:1',
  state: 'live',
};

/** A link to a log and a VM list at one address. */
class Bench {
  readonly posted: event.Event[] = [];
  readonly metrics = new recordedMetrics.RecordedMetrics();
  private readonly caller = new pooledHttpClient.PooledHttpClient({
    connections: {minimum: 1, initial: 2, maximum: 2},
    probePath: '/',
    onSilent: () => {},
  });
  readonly link: platformLink.PlatformLink;

  constructor(address: string) {
    this.link = new platformLink.PlatformLink({
      addresses: {log: address, vmList: address},
      client: this.caller,
      post: posted => void this.posted.push(posted),
      now: () => 7,
      metrics: this.metrics,
    });
  }

  async read(): Promise<event.Event | undefined> {
    await this.link.perform({kind: 'readStream', stream: 'a/b', from: 0});
    return this.posted.at(-1);
  }

  async readVms(): Promise<event.Event | undefined> {
    await this.link.perform({kind: 'readVmList'});
    return this.posted.at(-1);
  }

  async append(): Promise<event.Event | undefined> {
    const records = ['one', 'two'];
    await this.link.perform({
      kind: 'append',
      stream: 'a/b',
      append: 4,
      records,
    });
    return this.posted.at(-1);
  }

  close(): Promise<void> {
    return this.caller.close();
  }
}

nodeTest.describe('the log', () => {
  nodeTest.test('what was appended is read with its offsets', async () => {
    const log = new logService.LogService(2);
    const bench = new Bench(await log.listen());
    log.append('a/b', ['trimmed']);
    const answered = {kind: 'appendAnswered', stream: 'a/b', append: 4};
    assert.deepEqual(await bench.append(), {...answered, answer: 'appended'});
    assert.deepEqual(await bench.read(), {
      kind: 'recordsRead',
      stream: 'a/b',
      sentAt: 7,
      first: 1,
      next: 3,
      records: [
        {offset: 1, data: 'one'},
        {offset: 2, data: 'two'},
      ],
    });
    await bench.close();
    log.close();
  });

  nodeTest.test('a lost acknowledgement and an outage are told', async () => {
    const log = new logService.LogService();
    const bench = new Bench(await log.listen());
    const lost = {
      kind: 'appendAnswered',
      stream: 'a/b',
      append: 4,
      answer: 'lost',
    };
    log.setFailures({losesAcknowledgements: true});
    assert.deepEqual(await bench.append(), lost);
    assert.equal(log.appendCount(), 1);
    log.setFailures({down: true});
    assert.deepEqual(await bench.append(), lost);
    assert.equal(log.appendCount(), 1);
    assert.deepEqual(await bench.read(), {kind: 'readFailed', stream: 'a/b'});
    await bench.close();
    log.close();
  });

  // Guards against a replica that skips records because of a bad answer.
  nodeTest.test('a malformed read fails', async () => {
    let body: unknown = {};
    const server = new standInServer.StandInServer({
      serve: call => call.send(200, body),
      control: () => {},
      observe: () => ({}),
    });
    const bench = new Bench(await server.listen(0));
    const record = (offset: number): unknown => ({offset, data: 'x'});
    const bad: ReadonlyArray<unknown> = [
      {first: 0, next: 1},
      {first: 2, next: 1, records: []},
      {first: 0, next: -1, records: []},
      {first: 0, next: 2, records: [{offset: 0, data: 1}]},
      {first: 0, next: 2, records: [record(1), record(0)]},
      {first: 0, next: 1, records: [record(1)]},
      {first: 1, next: 2, records: [record(0)]},
      {first: 0, next: 2, records: [record(0), record(0)]},
    ];
    for (body of bad) {
      const read = await bench.read();
      assert.equal(read?.kind, 'readFailed', JSON.stringify(body));
    }
    const failures = bench.metrics.total('platform_call_failed read malformed');
    assert.equal(failures, bad.length);
    await bench.close();
    server.close();
  });
});

nodeTest.describe('the VM list', () => {
  // Guards against a list that is taken for unchanged after a change.
  nodeTest.test('a change shows in the next read', async () => {
    const list = new vmList.VmList();
    const bench = new Bench(await list.listen());
    const row = {...VM, role: 'worker', state: 'live'} as const;
    list.put(row);
    const read = {kind: 'vmListRead', sentAt: 7, vms: [row]};
    assert.deepEqual(await bench.readVms(), read);
    assert.deepEqual(await bench.readVms(), read);
    const leaving = {...row, state: 'leaving'} as const;
    list.put(leaving);
    assert.deepEqual(await bench.readVms(), {...read, vms: [leaving]});
    list.setDown(true);
    assert.deepEqual(await bench.readVms(), {kind: 'vmListFailed'});
    await bench.close();
    list.close();
  });

  // A row that were left out would say that its VM no longer exists.
  nodeTest.test('one malformed row fails the whole list', async () => {
    let body: unknown = {vms: [VM]};
    const server = new standInServer.StandInServer({
      serve: call => call.send(200, body),
      control: () => {},
      observe: () => ({}),
    });
    const bench = new Bench(await server.listen(0));
    const good = {kind: 'vmListRead', sentAt: 7, vms: [VM]};
    assert.deepEqual(await bench.readVms(), good);
    for (const wrong of [{role: 'rack'}, {state: ''}, {vm: 3}, {zone: null}]) {
      body = {vms: [VM, {...VM, ...wrong}]};
      assert.deepEqual(await bench.readVms(), {kind: 'vmListFailed'});
    }
    const anything = fastCheck.asyncProperty(
      fastCheck.jsonValue(),
      async raw => {
        body = raw;
        const read = await bench.readVms();
        assert.equal(read?.kind, 'vmListFailed');
      },
    );
    await fastCheck.assert(anything, {seed: 20261204, numRuns: 50});
    await bench.close();
    server.close();
  });
});
