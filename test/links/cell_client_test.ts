import * as assert from 'node:assert/strict';
import * as http from 'node:http';
import * as nodeTest from 'node:test';
import * as timers from 'node:timers/promises';
import * as blockedLoop from '../support/blocked_loop.js';
import * as cellClientSupport from '../support/cell_client.js';
import * as cellServers from '../support/cell_servers.js';
import * as jobCell from '../support/job_cell.js';
import * as listen from '../../src/links/listen.js';
import * as recordedCounters from '../support/recorded_counters.js';
import * as wait from '../support/wait.js';
import type * as cellClient from '../../src/links/cell_client.js';
import type * as cellPeers from '../../src/zones/cell_peers.js';
import type * as cellServersThread from '../support/cell_servers_thread.js';

const {describe, test} = nodeTest;

/** Members of the largest deployment that was played. */
const MEMBER_COUNT = 44;
const PING_TIMEOUT_MS = 300;

/** Time by which a timeout may be late on a loaded machine. */
const MAXIMUM_DELAY_MS = 500;

interface Cell {
  readonly servers: cellServers.CellServers;
  readonly counters: recordedCounters.RecordedCounters;
  readonly client: cellClient.CellClient;
}

async function withCell(
  settings: Partial<cellServersThread.CellServersSettings>,
  body: (cell: Cell) => Promise<void>,
): Promise<void> {
  const servers = await cellServers.CellServers.start({
    serverCount: 1,
    isSilent: false,
    submitMs: 0,
    ...settings,
  });
  const counters = new recordedCounters.RecordedCounters();
  const client = cellClientSupport.createCellClient(counters);
  try {
    await body({servers, counters, client});
  } finally {
    client.close();
    await servers.close();
  }
}

function ping(
  cell: Cell,
  address: string,
): Promise<cellPeers.PeerCallOutcome<cellPeers.PingReply>> {
  const message = {
    newest: undefined,
    configurationVersion: 1,
    sender: 'a:1',
    senderIncarnation: 'a-1',
    lastReply: undefined,
  };
  return cell.client.ping(address, message, PING_TIMEOUT_MS);
}

/** Pings all members and blocks the loop until all pings have ended. */
async function pingAllWhileBlocked(cell: Cell, turnMs: number): Promise<void> {
  let isDone = false;
  const pings = Promise.all(
    cell.servers.addresses.map(address => ping(cell, address)),
  ).finally(() => (isDone = true));
  while (!isDone) {
    blockedLoop.blockLoop(turnMs);
    await timers.setTimeout(0);
  }
  const missing = (await pings).filter(({kind}) => kind !== 'answered');
  assert.equal(missing.length, 0, JSON.stringify(missing[0]));
}

describe('cell client', () => {
  for (const turnMs of [400, 3_000]) {
    // Guards against a member that takes its own lag for silence of the leader
    // and claims, and against sessions that are closed for it.
    test(`gives up no answered ping in turns of ${turnMs} ms`, () =>
      withCell({serverCount: MEMBER_COUNT}, async cell => {
        await pingAllWhileBlocked(cell, turnMs);
        await pingAllWhileBlocked(cell, turnMs);
        const {opened, closed} = await cell.servers.counts();
        assert.equal(opened, MEMBER_COUNT);
        assert.equal(closed, 0);
        assert.deepEqual(cell.counters.reasons('call_timeouts'), [
          'member.lateLoop',
        ]);
      }));
  }

  // Guards against submissions that end as unknown because a ping on their
  // shared connection timed out.
  test('leaves the calls in progress to a connection that timed out', () =>
    withCell({submitMs: 200}, async cell => {
      const [address] = cell.servers.addresses;
      assert.equal((await ping(cell, address)).kind, 'answered');
      const submission = cell.client.submit(
        address,
        jobCell.jobOf('aa', {}),
        1,
        5_000,
      );
      await timers.setTimeout(50);
      cell.servers.block(1_000);
      assert.equal((await ping(cell, address)).kind, 'unanswered');
      assert.equal(cell.counters.get('call_timeouts', 'member.silent'), 1);
      // The connection for new calls; the other one ends with the submission.
      const next = ping(cell, address);
      assert.deepEqual(await submission, {
        kind: 'answered',
        value: {kind: 'accepted'},
      });
      await next;
      await wait.until('the old connection closed', async () => {
        assert.equal((await ping(cell, address)).kind, 'answered');
        const {opened, closed} = await cell.servers.counts();
        return opened - closed === 1 ? true : undefined;
      });
      assert.equal(cell.counters.get('connections_opened', 'member.first'), 1);
      assert.ok(
        cell.counters.get('connections_opened', 'member.afterTimeout') >= 1,
      );
    }));

  // Guards against a tolerance that hides a dead leader, and against reuse of a
  // connection that went silent.
  test('gives up a silent member in time and replaces the connection', () =>
    withCell({isSilent: true}, async cell => {
      const [address] = cell.servers.addresses;
      for (let attempt = 0; attempt < 2; attempt += 1) {
        const startedAtMs = performance.now();
        assert.deepEqual(await ping(cell, address), {
          kind: 'unanswered',
          detail: `timeout ${PING_TIMEOUT_MS} ms`,
        });
        const elapsedMs = performance.now() - startedAtMs;
        const limitMs = PING_TIMEOUT_MS + MAXIMUM_DELAY_MS;
        assert.ok(elapsedMs < limitMs, `${elapsedMs} ms`);
      }
      await wait.until('both connections closed', async () => {
        const {closed} = await cell.servers.counts();
        return closed === 2 ? true : undefined;
      });
      assert.equal((await cell.servers.counts()).opened, 2);
    }));

  // Load: calls to a new leader whose loop is busy. Its server accepts one
  // connection in each turn of the loop. Guards against members that replace
  // connections faster than it accepts them, so that none is ever answered.
  test('leaves connections to a member that is too busy to accept them', () =>
    withCell({}, async cell => {
      const [address] = cell.servers.addresses;
      cell.servers.block(3_000);
      await timers.setTimeout(50);
      for (let attempt = 0; attempt < 6; attempt += 1) {
        assert.equal((await ping(cell, address)).kind, 'unanswered');
      }
      await wait.until('the member answers', async () => {
        const {kind} = await ping(cell, address);
        return kind === 'answered' ? true : undefined;
      });
      const {opened} = await cell.servers.counts();
      assert.ok(opened <= 3, `${opened} connections`);
    }));

  // Guards against a leader that is given up late because its process is gone.
  test('reports a refused connection as refused', () =>
    withCell({}, async cell => {
      const [address] = cell.servers.addresses;
      await cell.servers.close();
      assert.deepEqual(await ping(cell, address), {kind: 'refused'});
    }));
});

describe('cell client at an address that another server took over', () => {
  // Guards against processes that all end by an uncaught protocol error when a
  // port of the leader is taken over by a server of another protocol.
  test('reports its calls as unanswered', async () => {
    const server = http.createServer((_request, response) => response.end());
    const port = await listen.listen(server, '127.0.0.1', 0);
    const counters = new recordedCounters.RecordedCounters();
    const client = cellClientSupport.createCellClient(counters);
    const message = {
      newest: undefined,
      configurationVersion: 1,
      sender: 'a:1',
      senderIncarnation: 'a-1',
      lastReply: undefined,
    };
    for (let attempt = 0; attempt < 3; attempt += 1) {
      const outcome = await client.ping(
        `127.0.0.1:${port}`,
        message,
        PING_TIMEOUT_MS,
      );
      assert.equal(outcome.kind, 'unanswered');
      // The session reports its error in a later turn than the call.
      await timers.setTimeout(20);
    }
    client.close();
    server.close();
  });
});
