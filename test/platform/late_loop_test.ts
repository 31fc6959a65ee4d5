import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as timers from 'node:timers/promises';
import * as blockedLoop from '../support/blocked_loop.js';
import * as clock from '../../src/machines/clock.js';
import * as httpClientSupport from '../support/http_client.js';
import * as jobCell from '../support/job_cell.js';
import * as platformWorkerClient from '../../platform/platform_worker_client.js';
import * as recordedCounters from '../support/recorded_counters.js';
import * as remoteWorker from '../../src/machines/remote_worker.js';
import * as wait from '../support/wait.js';
import * as workerServers from '../support/worker_servers.js';
import * as workerSession from '../../src/machines/worker_session.js';
import type * as workerClient from '../../src/machines/worker_client.js';

const {describe, test} = nodeTest;

/** Workers of the largest deployment that was played. */
const WORKER_COUNT = 246;
const CONNECTION_LIMIT = 6;
const FENCING_TOKEN = 1;

/** Time by which a timeout may be late on a loaded machine. */
const MAXIMUM_DELAY_MS = 500;

/** Gap in which the event loop is free between two long turns. */
const GAP_MS = 5;

interface WorkerPark {
  readonly servers: workerServers.WorkerServers;
  readonly counters: recordedCounters.RecordedCounters;
  readonly client: workerClient.WorkerClient;
  readonly entries: ReadonlyArray<remoteWorker.RegistryEntry>;
}

async function withWorkers(
  settings: {readonly count: number; readonly isSilent: boolean},
  body: (park: WorkerPark) => Promise<void>,
): Promise<void> {
  const servers = await workerServers.WorkerServers.start(
    settings.count,
    settings.isSilent,
  );
  const counters = new recordedCounters.RecordedCounters();
  const client = httpClientSupport.createHttpClient(CONNECTION_LIMIT, counters);
  const entries = servers.addresses.map((address, index) =>
    jobCell.registryEntry(`worker-${index}`, {address}),
  );
  try {
    await body({
      servers,
      counters,
      client: new platformWorkerClient.PlatformWorkerClient(client),
      entries,
    });
  } finally {
    client.close();
    await servers.close();
  }
}

/** Sends a command to each worker and blocks the loop until all have ended. */
async function commandAllWhileBlocked(
  park: WorkerPark,
  turnMs: number,
): Promise<ReadonlyArray<workerClient.CommandOutcome>> {
  const runId = {task: 'aa.0.0', run: 1};
  let isDone = false;
  const outcomes = Promise.all(
    park.entries.map(entry => park.client.stop(entry, runId, FENCING_TOKEN)),
  ).finally(() => (isDone = true));
  while (!isDone) {
    blockedLoop.blockLoop(turnMs);
    await timers.setTimeout(0);
  }
  return outcomes;
}

function assertAllDone(
  outcomes: ReadonlyArray<workerClient.CommandOutcome>,
): void {
  const missing = outcomes.filter(({kind}) => kind !== 'done');
  assert.equal(missing.length, 0, JSON.stringify(missing[0]));
}

describe('worker client on a late event loop', () => {
  for (const turnMs of [400, 3_000]) {
    // Guards against a busy leader that takes its own lag for silence of the
    // workers, closes their connections and repeats the calls.
    test(`gives up no answered call in turns of ${turnMs} ms`, () =>
      withWorkers({count: WORKER_COUNT, isSilent: false}, async park => {
        assertAllDone(await commandAllWhileBlocked(park, turnMs));
        assertAllDone(await commandAllWhileBlocked(park, turnMs));
        const {openedConnections, closedConnections, calls} =
          await park.servers.counts();
        assert.equal(calls, 2 * WORKER_COUNT);
        assert.equal(openedConnections, WORKER_COUNT);
        assert.equal(closedConnections, 0);
        assert.deepEqual(park.counters.reasons('call_timeouts'), [
          'worker.lateLoop',
        ]);
        assert.deepEqual(park.counters.reasons('connections_opened'), [
          'worker.first',
        ]);
      }));

    // Guards against workers that get no renewals because the leader was busy:
    // their leases lapse and their tasks run again elsewhere.
    test(`counts no worker as silent in turns of ${turnMs} ms`, () =>
      withWorkers({count: WORKER_COUNT, isSilent: false}, async park => {
        const sessions = startSessions(park);
        try {
          await waitUntilAccepted(sessions);
          const before = await park.servers.counts();
          for (let blockedMs = 0; blockedMs < 6_000; blockedMs += turnMs) {
            blockedLoop.blockLoop(turnMs);
            await timers.setTimeout(GAP_MS);
          }
          await timers.setTimeout(500);
          assert.deepEqual(sessions.missingAnswers, []);
          for (const worker of sessions.workers) {
            assert.equal(worker.unansweredCalls, 0);
          }
          const after = await park.servers.counts();
          assert.equal(after.closedConnections, before.closedConnections);
        } finally {
          sessions.close();
        }
      }));
  }

  // Guards against a tolerance that hides a dead worker, and against reuse of a
  // connection that went silent.
  test('gives up a silent worker in time and replaces the connection', () =>
    withWorkers({count: 1, isSilent: true}, async park => {
      const [entry] = park.entries;
      const runId = {task: 'aa.0.0', run: 1};
      for (let attempt = 0; attempt < 2; attempt += 1) {
        const startedAtMs = performance.now();
        const outcome = await park.client.stop(entry, runId, FENCING_TOKEN);
        const elapsedMs = performance.now() - startedAtMs;
        assert.deepEqual(outcome, {
          kind: 'unanswered',
          detail: 'timeout 250 ms',
        });
        assert.ok(
          elapsedMs >= 249 && elapsedMs < 250 + MAXIMUM_DELAY_MS,
          `${elapsedMs} ms`,
        );
      }
      await wait.until('both connections closed', async () => {
        const counts = await park.servers.counts();
        return counts.closedConnections === 2 ? true : undefined;
      });
      assert.equal((await park.servers.counts()).openedConnections, 2);
      assert.equal(park.counters.get('call_timeouts', 'worker.silent'), 2);
      assert.equal(
        park.counters.get('connections_opened', 'worker.afterTimeout'),
        1,
      );
    }));

  // Guards against calls that never end because the loop is always late: a
  // silent worker has to be given up in the end.
  test('gives up a silent worker on a loop that stays late', () =>
    withWorkers({count: 1, isSilent: true}, async park => {
      const [outcome] = await commandAllWhileBlocked(park, 100);
      assert.equal(outcome.kind, 'unanswered');
    }));
});

interface Sessions {
  readonly workers: ReadonlyArray<remoteWorker.RemoteWorker>;
  /** Details of the renewals without an answer. */
  readonly missingAnswers: string[];
  close(): void;
}

/**
 * Waits until each worker has answered its first call. On a loaded machine the
 * workers' thread may need longer for that than a call may take.
 */
async function waitUntilAccepted(sessions: Sessions): Promise<void> {
  await wait.until('all workers accepted', async () =>
    sessions.workers.every(
      worker => worker.fencingTokenAccepted && worker.unansweredCalls === 0,
    )
      ? true
      : undefined,
  );
  sessions.missingAnswers.length = 0;
}

/** Starts a session with each worker, as at the begin of a term. */
function startSessions(park: WorkerPark): Sessions {
  const systemClock = new clock.SystemClock();
  const missingAnswers: string[] = [];
  const listener: workerSession.SessionListener = {
    reportReceived: () => {},
    answerMissing: () => {},
    renewalWithdrawn: () => {},
    workerReplaced: () => assert.fail('no worker was replaced'),
    termSuperseded: () => assert.fail('no term was superseded'),
    mayGrantLeases: () => true,
  };
  const client = {
    renewLeases: async (
      entry: remoteWorker.RegistryEntry,
      command: workerClient.RenewalCommand,
    ) => {
      const outcome = await park.client.renewLeases(entry, command);
      if (outcome.kind === 'unanswered') missingAnswers.push(outcome.detail);
      return outcome;
    },
  } as workerClient.WorkerClient;
  const sessions = park.entries.map(entry => {
    const worker = new remoteWorker.RemoteWorker(entry, systemClock.now());
    const session = new workerSession.WorkerSession(
      worker,
      client,
      listener,
      systemClock,
      FENCING_TOKEN,
      5_000,
      milliseconds => timers.setTimeout(milliseconds),
    );
    void session.run();
    return {worker, session};
  });
  return {
    workers: sessions.map(({worker}) => worker),
    missingAnswers,
    close: () => sessions.forEach(({session}) => session.close()),
  };
}
