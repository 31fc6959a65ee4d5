import * as assert from 'node:assert/strict';
import * as net from 'node:net';
import * as nodeTest from 'node:test';
import * as callNumberAllocator from '../../src/links/call_number_allocator.js';
import * as callerServer from '../../src/links/caller_server.js';
import * as httpCall from '../support/http_call.js';
import * as recordedMetrics from '../support/recorded_metrics.js';
import * as wait from '../support/wait.js';
import type * as effect from '../../src/contracts/effect.js';
import type * as event from '../../src/contracts/event.js';

const SUBMISSION = {team: 'dispatch', workload: 'polish', payload: 'x'};

type Respond = (
  posted: event.Event,
  answer: (reply: effect.Reply) => void,
) => void;

/** A caller server whose posted events are answered by a test function. */
class ServerFixture {
  readonly posted: event.Event[] = [];
  readonly metrics = new recordedMetrics.RecordedMetrics();
  readonly server: callerServer.CallerServer;
  address = '';

  constructor(respond: Respond, limits?: Partial<callerServer.CallerLimits>) {
    this.server = new callerServer.CallerServer({
      callNumbers: new callNumberAllocator.CallNumberAllocator(),
      metrics: this.metrics,
      limits,
      post: posted => {
        this.posted.push(posted);
        respond(posted, reply => {
          if ('call' in posted) this.server.answer(posted.call, reply);
        });
      },
    });
  }

  async listen(): Promise<string> {
    this.address = `127.0.0.1:${await this.server.listen('127.0.0.1', 0)}`;
    return this.address;
  }

  kinds(): ReadonlyArray<string> {
    return this.posted.map(item => item.kind);
  }
}

function sendRaw(address: string, text: string): Promise<string> {
  const [host, port] = address.split(':');
  return new Promise((resolve, reject) => {
    const socket = net.connect(Number(port), host, () => socket.write(text));
    let received = '';
    socket.on('data', chunk => (received += chunk.toString()));
    socket.on('close', () => resolve(received));
    socket.on('error', reject);
  });
}

nodeTest.describe('responses to callers', () => {
  // Guards against an answer that reaches the caller of another request when
  // calls are answered in another order than they arrived.
  nodeTest.test('answers out of order reach their own callers', async () => {
    const open: Array<() => void> = [];
    const fixture = new ServerFixture((posted, answer) => {
      if (posted.kind !== 'fetchArrived') return;
      open.push(() => answer({code: 0, answer: `for ${posted.identity}`}));
      if (open.length < 20) return;
      for (const send of open.reverse()) send();
    });
    const address = await fixture.listen();
    const names = Array.from({length: 20}, (_, index) => `id${index}`);
    const answers = await Promise.all(
      names.map(name =>
        httpCall.callJson(address, 'GET', `/v1/requests/${name}/answer`),
      ),
    );
    assert.deepEqual(
      answers.map(item => item.text),
      names.map(name => `for ${name}`),
    );
    await fixture.server.close();
  });

  // Guards against a content length in characters, which truncates UTF-8 text.
  nodeTest.test('a large answer arrives complete', async () => {
    const large = 'é'.repeat(8_000_000);
    const fixture = new ServerFixture((_posted, answer) =>
      answer({code: 0, answer: large}),
    );
    const address = await fixture.listen();
    const answer = await httpCall.callJson(
      address,
      'GET',
      '/v1/requests/a/answer',
    );
    assert.equal(answer.text === large, true);
    await fixture.server.close();
  });

  // Guards against open calls that pile up when callers disconnect.
  nodeTest.test('a call ends when its caller disconnects', async () => {
    const fixture = new ServerFixture(() => {});
    const address = await fixture.listen();
    const abortController = new AbortController();
    const call = fetch(`http://${address}/v1/requests/a?wait=60`, {
      headers: {'x-client': 'c'},
      signal: abortController.signal,
    }).catch(() => undefined);
    await wait.until('the call', async () => fixture.posted[0]);
    abortController.abort();
    await call;
    await wait.until('its end', async () =>
      fixture.kinds().includes('callEnded') ? true : undefined,
    );
    assert.equal(fixture.server.findOpenCall(1), undefined);
    await fixture.server.close();
  });

  // Guards against repeated events for an unchanged state, and against a stream
  // that stays open after the request has ended.
  nodeTest.test(
    'the stream has one event per state until the end',
    async () => {
      const states = ['queued', 'queued', 'running', 'ended'];
      let pollCount = 0;
      const fixture = new ServerFixture((_posted, answer) => {
        const state = states[Math.min(pollCount, states.length - 1)];
        pollCount += 1;
        answer({code: state === 'ended' ? 0 : 1, state, answer: 'done'});
      });
      const address = await fixture.listen();
      const stream = await httpCall.callJson(
        address,
        'GET',
        '/v1/requests/a/events',
      );
      assert.equal(stream.headers.get('content-type'), 'text/event-stream');
      assert.deepEqual(stream.text.match(/event: \w+/g), [
        'event: queued',
        'event: running',
        'event: ended',
      ]);
      await fixture.server.close();
    },
  );

  // Guards against an empty stream with status 200 for an unknown request.
  nodeTest.test('a stream of an unknown request is refused', async () => {
    const fixture = new ServerFixture((_posted, answer) =>
      answer({code: 1008}),
    );
    const address = await fixture.listen();
    const path = '/v1/requests/a/events';
    const refused = await httpCall.callJson(address, 'GET', path);
    assert.equal(refused.status, 404);
    await fixture.server.close();
  });
});

nodeTest.describe('invalid input over HTTP', () => {
  // Guards against an invalid call that reaches the decision core.
  nodeTest.test('an invalid call posts nothing and is counted', async () => {
    const fixture = new ServerFixture(() => {});
    const address = await fixture.listen();
    const bad = await httpCall.callJson(address, 'PUT', '/v1/requests/a', {
      ...SUBMISSION,
      extra: 1,
    });
    assert.equal(bad.status, 400);
    assert.equal(bad.body['code'], 1004);
    assert.deepEqual(fixture.posted, []);
    assert.equal(fixture.metrics.total('refusal invalidField'), 1);
    await fixture.server.close();
  });

  // Guards against a connection reset in place of an error that the sender can
  // read.
  nodeTest.test('an oversized body gets its result code', async () => {
    const fixture = new ServerFixture(() => {});
    const address = await fixture.listen();
    const body = 'x'.repeat(2_000_000);
    const path = '/v1/requests/a';
    const refused = await httpCall.callJson(address, 'PUT', path, body);
    assert.equal(refused.status, 413);
    assert.equal(refused.body['code'], 1002);
    assert.deepEqual(fixture.posted, []);
    await fixture.server.close();
  });

  // Guards against senders that occupy a call by never ending its body.
  nodeTest.test('a slow body gets its result code', async () => {
    const fixture = new ServerFixture(() => {}, {bodyTimeoutMs: 50});
    const address = await fixture.listen();
    const text = await sendRaw(
      address,
      'PUT /v1/requests/a HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nhalf',
    );
    assert.match(text, /^HTTP\/1\.1 408 .*"code":1003/s);
    assert.deepEqual(fixture.posted, []);
    await fixture.server.close();
  });

  // Guards against malformed HTTP that closes the connection without an error.
  nodeTest.test('malformed HTTP gets its result code', async () => {
    const fixture = new ServerFixture(() => {});
    const address = await fixture.listen();
    const text = await sendRaw(address, 'polish these stones\r\n\r\n');
    assert.match(text, /^HTTP\/1\.1 400 .*"code":1020/s);
    await fixture.server.close();
  });
});

nodeTest.describe('many calls', () => {
  // Guards against callers that occupy all memory, and against the reply that a
  // request was not run when a call that names an identity may repeat one that
  // ran.
  nodeTest.test(
    'calls above the limit are refused with a safe code',
    async () => {
      const fixture = new ServerFixture(() => {}, {maximumOpenCalls: 2});
      const address = await fixture.listen();
      const open = ['a', 'b'].map(name =>
        httpCall.callJson(address, 'GET', `/v1/requests/${name}?wait=9`),
      );
      await wait.until('both calls', async () => fixture.posted[1]);
      const repeated = await httpCall.callJson(
        address,
        'GET',
        '/v1/requests/c',
      );
      assert.equal(repeated.body['code'], 4001);
      const refused = await httpCall.callJson(
        address,
        'POST',
        '/v1/identities',
      );
      assert.equal(refused.body['code'], 2008);
      assert.equal(fixture.posted.length, 2);
      for (const posted of fixture.posted) {
        if ('call' in posted) fixture.server.answer(posted.call, {code: 1});
      }
      for (const answer of await Promise.all(open)) {
        assert.equal(answer.status, 202);
      }
      await fixture.server.close();
    },
  );
});

nodeTest.describe('shutdown of a process', () => {
  // Guards against callers that wait for a process that has exited.
  nodeTest.test('open calls get the reply given at the close', async () => {
    const fixture = new ServerFixture(() => {});
    const address = await fixture.listen();
    const path = '/v1/requests/a?wait=60';
    const call = httpCall.callJson(address, 'GET', path);
    await wait.until('the call', async () => fixture.posted[0]);
    await fixture.server.closeWithReply({code: 4001});
    assert.equal((await call).body['code'], 4001);
  });
});

nodeTest.describe('readiness', () => {
  // Guards against a load balancer that sends calls to a process which is not
  // ready yet, or is draining.
  nodeTest.test(
    'readiness follows the status and ends at a drain',
    async () => {
      let ready = false;
      const fixture = new ServerFixture((_posted, answer) =>
        answer({code: 0, content: {ready}}),
      );
      const address = await fixture.listen();
      const status = async (path: string): Promise<number> =>
        (await httpCall.callJson(address, 'GET', path)).status;
      assert.equal(await status('/ready'), 503);
      ready = true;
      assert.equal(await status('/ready'), 200);
      fixture.server.beginDrain();
      assert.equal(await status('/ready'), 503);
      assert.equal(await status('/live'), 200);
      await fixture.server.close();
    },
  );
});
