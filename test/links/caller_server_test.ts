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

/** A server whose core is a function of the test. */
class Front {
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

nodeTest.describe('answers to callers', () => {
  // Guards against an answer that reaches the caller of another request.
  nodeTest.test('answers out of order reach their own callers', async () => {
    const open: Array<() => void> = [];
    const front = new Front((posted, answer) => {
      if (posted.kind !== 'fetchArrived') return;
      open.push(() => answer({code: 0, answer: `for ${posted.identity}`}));
      if (open.length < 20) return;
      for (const send of open.reverse()) send();
    });
    const address = await front.listen();
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
    await front.server.close();
  });

  nodeTest.test('a large answer arrives whole', async () => {
    const large = 'é'.repeat(8_000_000);
    const front = new Front((_posted, answer) =>
      answer({code: 0, answer: large}),
    );
    const address = await front.listen();
    const answer = await httpCall.callJson(
      address,
      'GET',
      '/v1/requests/a/answer',
    );
    assert.equal(answer.text === large, true);
    await front.server.close();
  });

  nodeTest.test('a call whose caller goes is ended', async () => {
    const front = new Front(() => {});
    const address = await front.listen();
    const gone = new AbortController();
    const call = fetch(`http://${address}/v1/requests/a?wait=60`, {
      headers: {'x-client': 'c'},
      signal: gone.signal,
    }).catch(() => undefined);
    await wait.until('the call', async () => front.posted[0]);
    gone.abort();
    await call;
    await wait.until('its end', async () =>
      front.kinds().includes('callEnded') ? true : undefined,
    );
    assert.equal(front.server.findOpenCall(1), undefined);
    await front.server.close();
  });

  nodeTest.test('events show each state once, until the end', async () => {
    const states = ['queued', 'queued', 'running', 'ended'];
    let looks = 0;
    const front = new Front((_posted, answer) => {
      const state = states[Math.min(looks, states.length - 1)];
      looks += 1;
      answer({code: state === 'ended' ? 0 : 1, state, answer: 'done'});
    });
    const address = await front.listen();
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
    await front.server.close();
  });

  nodeTest.test('events of an unknown request are refused', async () => {
    const front = new Front((_posted, answer) => answer({code: 1008}));
    const address = await front.listen();
    const path = '/v1/requests/a/events';
    const refused = await httpCall.callJson(address, 'GET', path);
    assert.equal(refused.status, 404);
    await front.server.close();
  });
});

nodeTest.describe('bad input over HTTP', () => {
  nodeTest.test('it posts nothing and is counted', async () => {
    const front = new Front(() => {});
    const address = await front.listen();
    const bad = await httpCall.callJson(address, 'PUT', '/v1/requests/a', {
      ...SUBMISSION,
      extra: 1,
    });
    assert.equal(bad.status, 400);
    assert.equal(bad.body['code'], 1004);
    assert.deepEqual(front.posted, []);
    assert.equal(front.metrics.total('refusal invalidField'), 1);
    await front.server.close();
  });

  nodeTest.test('a body that is too large gets its code', async () => {
    const front = new Front(() => {});
    const address = await front.listen();
    const body = 'x'.repeat(2_000_000);
    const path = '/v1/requests/a';
    const refused = await httpCall.callJson(address, 'PUT', path, body);
    assert.equal(refused.status, 413);
    assert.equal(refused.body['code'], 1002);
    assert.deepEqual(front.posted, []);
    await front.server.close();
  });

  nodeTest.test('a body that is too slow gets its code', async () => {
    const front = new Front(() => {}, {bodyTimeoutMs: 50});
    const address = await front.listen();
    const text = await sendRaw(
      address,
      'PUT /v1/requests/a HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nhalf',
    );
    assert.match(text, /^HTTP\/1\.1 408 .*"code":1003/s);
    assert.deepEqual(front.posted, []);
    await front.server.close();
  });

  nodeTest.test('what is not HTTP gets its code', async () => {
    const front = new Front(() => {});
    const address = await front.listen();
    const text = await sendRaw(address, 'polish these stones\r\n\r\n');
    assert.match(text, /^HTTP\/1\.1 400 .*"code":1020/s);
    await front.server.close();
  });
});

nodeTest.describe('many calls', () => {
  // Guards against callers that occupy all memory.
  // A call about an identity may repeat one that ran, so it is never told
  // that its request was not run.
  nodeTest.test('calls above the limit are refused truthfully', async () => {
    const front = new Front(() => {}, {maxOpenCalls: 2});
    const address = await front.listen();
    const open = ['a', 'b'].map(name =>
      httpCall.callJson(address, 'GET', `/v1/requests/${name}?wait=9`),
    );
    await wait.until('both calls', async () => front.posted[1]);
    const repeated = await httpCall.callJson(address, 'GET', '/v1/requests/c');
    assert.equal(repeated.body['code'], 4001);
    const refused = await httpCall.callJson(address, 'POST', '/v1/identities');
    assert.equal(refused.body['code'], 2008);
    assert.equal(front.posted.length, 2);
    for (const posted of front.posted) {
      if ('call' in posted) front.server.answer(posted.call, {code: 1});
    }
    for (const answer of await Promise.all(open)) {
      assert.equal(answer.status, 202);
    }
    await front.server.close();
  });
});

nodeTest.describe('the end of a process', () => {
  // Guards against callers that wait for a process that is gone.
  nodeTest.test('open calls are answered when it is abandoned', async () => {
    const front = new Front(() => {});
    const address = await front.listen();
    const path = '/v1/requests/a?wait=60';
    const call = httpCall.callJson(address, 'GET', path);
    await wait.until('the call', async () => front.posted[0]);
    await front.server.closeWithReply({code: 4001});
    assert.equal((await call).body['code'], 4001);
  });
});

nodeTest.describe('readiness', () => {
  nodeTest.test('a process is ready when its status says so', async () => {
    let ready = false;
    const front = new Front((_posted, answer) =>
      answer({code: 0, content: {ready}}),
    );
    const address = await front.listen();
    const status = async (path: string): Promise<number> =>
      (await httpCall.callJson(address, 'GET', path)).status;
    assert.equal(await status('/ready'), 503);
    ready = true;
    assert.equal(await status('/ready'), 200);
    front.server.beginDrain();
    assert.equal(await status('/ready'), 503);
    assert.equal(await status('/live'), 200);
    await front.server.close();
  });
});
