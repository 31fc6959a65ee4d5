import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as fastCheck from 'fast-check';
import * as pooledHttpClient from '../../src/links/pooled_http_client.js';
import * as logService from '../../stand_ins/log_service.js';
import * as platformLink from '../../src/links/platform_link.js';
import * as recordedMetrics from '../support/recorded_metrics.js';
import * as standInServer from '../../stand_ins/stand_in_server.js';
import * as vmList from '../../stand_ins/vm_list.js';
import * as responseTimerSupport from '../support/response_timer.js';
import type * as event from '../../src/contracts/event.js';

const VM = {
  vm: 'worker-1',
  role: 'worker',
  zone: 'kigali-a',
  address: '127.0.0.1:1',
  state: 'live',
};

/** A platform link with the log and the VM list at one address. */
class PlatformLinkFixture {
  readonly posted: event.Event[] = [];
  readonly metrics = new recordedMetrics.RecordedMetrics();
  private readonly client = new pooledHttpClient.PooledHttpClient({
    timer: responseTimerSupport.createResponseTimer(),
    connections: {minimum: 1, initial: 2, maximum: 2},
    probePath: '/',
    onSilent: () => {},
  });
  readonly link: platformLink.PlatformLink;

  constructor(address: string) {
    this.link = new platformLink.PlatformLink({
      addresses: {log: address, vmList: address},
      client: this.client,
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
    return this.client.close();
  }
}

nodeTest.describe('the log', () => {
  // Guards against offsets that are wrong after old records were trimmed.
  nodeTest.test('appended records are read with their offsets', async () => {
    const log = new logService.LogService(2);
    const fixture = new PlatformLinkFixture(await log.listen());
    log.append('a/b', ['trimmed']);
    const answered = {kind: 'appendAnswered', stream: 'a/b', append: 4};
    assert.deepEqual(await fixture.append(), {...answered, answer: 'appended'});
    assert.deepEqual(await fixture.read(), {
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
    await fixture.close();
    log.close();
  });

  // Guards against an append that counts as failed, or as stored, when its
  // acknowledgement is missing.
  nodeTest.test(
    'a lost acknowledgement and an outage are reported',
    async () => {
      const log = new logService.LogService();
      const fixture = new PlatformLinkFixture(await log.listen());
      const lost = {
        kind: 'appendAnswered',
        stream: 'a/b',
        append: 4,
        answer: 'lost',
      };
      log.setFailures({losesAcknowledgements: true});
      assert.deepEqual(await fixture.append(), lost);
      assert.equal(log.appendCount(), 1);
      log.setFailures({down: true});
      assert.deepEqual(await fixture.append(), lost);
      assert.equal(log.appendCount(), 1);
      assert.deepEqual(await fixture.read(), {
        kind: 'readFailed',
        stream: 'a/b',
      });
      await fixture.close();
      log.close();
    },
  );

  // Guards against a replica that skips records because the log answered with
  // records out of order, out of bounds or of wrong types.
  nodeTest.test('a malformed answer fails the read', async () => {
    let body: unknown = {};
    const server = new standInServer.StandInServer({
      serve: call => call.send(200, body),
      control: () => {},
      observe: () => ({}),
    });
    const fixture = new PlatformLinkFixture(await server.listen(0));
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
      const read = await fixture.read();
      assert.equal(read?.kind, 'readFailed', JSON.stringify(body));
    }
    const failures = fixture.metrics.total(
      'platform_call_failed read malformed',
    );
    assert.equal(failures, bad.length);
    await fixture.close();
    server.close();
  });
});

nodeTest.describe('the VM list', () => {
  // Guards against a cached list that is returned after a change or an outage.
  nodeTest.test('a change is visible in the next read', async () => {
    const list = new vmList.VmList();
    const fixture = new PlatformLinkFixture(await list.listen());
    const row = {...VM, role: 'worker', state: 'live'} as const;
    list.put(row);
    const read = {kind: 'vmListRead', sentAt: 7, vms: [row]};
    assert.deepEqual(await fixture.readVms(), read);
    assert.deepEqual(await fixture.readVms(), read);
    const leaving = {...row, state: 'leaving'} as const;
    list.put(leaving);
    assert.deepEqual(await fixture.readVms(), {...read, vms: [leaving]});
    list.setDown(true);
    assert.deepEqual(await fixture.readVms(), {kind: 'vmListFailed'});
    await fixture.close();
    list.close();
  });

  // Guards against skipping a malformed row, which would mean that its VM no
  // longer exists.
  nodeTest.test('one malformed row fails the entire list', async () => {
    let body: unknown = {vms: [VM]};
    const server = new standInServer.StandInServer({
      serve: call => call.send(200, body),
      control: () => {},
      observe: () => ({}),
    });
    const fixture = new PlatformLinkFixture(await server.listen(0));
    const good = {kind: 'vmListRead', sentAt: 7, vms: [VM]};
    assert.deepEqual(await fixture.readVms(), good);
    for (const wrong of [{role: 'rack'}, {state: ''}, {vm: 3}, {zone: null}]) {
      body = {vms: [VM, {...VM, ...wrong}]};
      assert.deepEqual(await fixture.readVms(), {kind: 'vmListFailed'});
    }
    const anything = fastCheck.asyncProperty(
      fastCheck.jsonValue(),
      async raw => {
        body = raw;
        const read = await fixture.readVms();
        assert.equal(read?.kind, 'vmListFailed');
      },
    );
    await fastCheck.assert(anything, {seed: 20261204, numRuns: 50});
    await fixture.close();
    server.close();
  });
});
