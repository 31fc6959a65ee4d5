import * as assert from 'node:assert/strict';
import * as http from 'node:http';
import * as nodeTest from 'node:test';
import * as httpClient from '../../platform/http_client.js';
import * as listen from '../../src/links/listen.js';

const {describe, test} = nodeTest;

type Handler = (path: string, response: http.ServerResponse) => void;

interface Served {
  readonly address: string;
  readonly paths: string[];
  readonly close: () => void;
}

/** A server that notes the paths of the calls that arrive. */
async function serve(handler: Handler): Promise<Served> {
  const paths: string[] = [];
  const server = http.createServer((request, response) => {
    const path = request.url ?? '';
    paths.push(path);
    request.resume().on('end', () => handler(path, response));
  });
  const port = await listen.listen(server, '127.0.0.1', 0);
  const close = (): void => {
    server.closeAllConnections();
    server.close();
  };
  return {address: `127.0.0.1:${port}`, paths, close};
}

function get(
  client: httpClient.HttpClient,
  address: string,
  path: string,
  timeoutMs = 2_000,
): Promise<httpClient.HttpOutcome> {
  return client.call({method: 'GET', address, path, timeoutMs});
}

describe('a call to an outside system', () => {
  // Guards against answers that are cut where they come in several pieces.
  test('brings the whole body', async () => {
    const server = await serve((_path, response) => {
      response.write('first ');
      setTimeout(() => response.end('second'), 20);
    });
    const client = new httpClient.HttpClient(1);
    const outcome = await get(client, server.address, '/');
    assert.ok(outcome.kind === 'answered');
    assert.equal(outcome.status, 200);
    assert.equal(outcome.body.toString(), 'first second');
    client.close();
    server.close();
  });

  // Guards against an order that is sent after its caller counted it as lost:
  // it would be carried out long after the decision behind it.
  test('is not sent any more once it waited for too long', async () => {
    const server = await serve((path, response) => {
      if (path === '/slow') setTimeout(() => response.end('slow'), 300);
      else response.end('done');
    });
    const client = new httpClient.HttpClient(1);
    const slow = get(client, server.address, '/slow');
    const late = await get(client, server.address, '/late', 100);
    assert.equal(late.kind, 'unanswered');
    assert.equal((await slow).kind, 'answered');
    assert.equal((await get(client, server.address, '/next')).kind, 'answered');
    assert.deepEqual(server.paths, ['/slow', '/next']);
    client.close();
    server.close();
  });

  // Guards against a silent connection that takes the next call as well.
  test('gives up its connection without an answer in time', async () => {
    const server = await serve((path, response) => {
      if (path !== '/silent') response.end('done');
    });
    const client = new httpClient.HttpClient(1);
    const silent = await get(client, server.address, '/silent', 100);
    assert.deepEqual(silent, {kind: 'unanswered', detail: 'timeout 100 ms'});
    assert.equal((await get(client, server.address, '/')).kind, 'answered');
    client.close();
    server.close();
  });

  // Guards against "may have been carried out" for what reached nobody.
  test('is refused where nothing listens', async () => {
    const server = await serve(() => {});
    server.close();
    const client = new httpClient.HttpClient(1);
    assert.deepEqual(await get(client, server.address, '/'), {kind: 'refused'});
    client.close();
  });

  // Guards against a process that ends by an address that the registry lists.
  test('does not reject for an address that is none', async () => {
    const client = new httpClient.HttpClient(1);
    assert.equal((await get(client, 'no address', '/')).kind, 'unanswered');
    client.close();
  });
});
