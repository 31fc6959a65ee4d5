import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as jobCell from '../support/job_cell.js';
import * as networkLink from '../../src/links/network_link.js';
import type * as fakeWorkers from '../support/fake_workers.js';
import type * as remoteWorker from '../../src/machines/remote_worker.js';
import type * as simulatedClock from '../support/simulated_clock.js';
import type * as workerClient from '../../src/machines/worker_client.js';

const {describe, test} = nodeTest;

/** Link of 2 Mbit/s. */
const BYTES_PER_SECOND = 250_000;

/** Sizes on the wire of a start with a large payload and of a renewal. */
const START_BYTES = 4_000;
const RENEWAL_BYTES = 400;

/** Time that a command has before it is sent again. */
const COMMAND_TIMEOUT_MS = 250;

const JOB_COUNT = 40;
const TASKS_PER_JOB = 5;

/** Workers behind a narrow link, which carries calls in their order. */
class NarrowLinkWorkers implements workerClient.WorkerClient {
  longestDelayMs = 0;

  constructor(
    private readonly workers: fakeWorkers.FakeWorkers,
    private readonly link: networkLink.NetworkLink,
    private readonly time: simulatedClock.SimulatedClock,
  ) {}

  async start(
    entry: remoteWorker.RegistryEntry,
    command: workerClient.StartCommand,
  ): Promise<workerClient.CommandOutcome> {
    await this.carry('start', START_BYTES);
    return this.workers.start(entry, command);
  }

  stop(
    entry: remoteWorker.RegistryEntry,
    runId: remoteWorker.RunId,
    fencingToken: number,
  ): Promise<workerClient.CommandOutcome> {
    return this.workers.stop(entry, runId, fencingToken);
  }

  throttle(
    ...call: Parameters<workerClient.WorkerClient['throttle']>
  ): Promise<workerClient.CommandOutcome> {
    return this.workers.throttle(...call);
  }

  async renewLeases(
    entry: remoteWorker.RegistryEntry,
    command: workerClient.RenewalCommand,
  ): Promise<workerClient.RenewalOutcome> {
    await this.carry('renewal', RENEWAL_BYTES);
    return this.workers.renewLeases(entry, command);
  }

  private async carry(kind: string, byteCount: number): Promise<void> {
    this.link.recordSent(kind, byteCount);
    const delayMs = this.link.sendDelayMs;
    this.longestDelayMs = Math.max(this.longestDelayMs, delayMs);
    await this.time.delay(delayMs);
  }
}

describe('a burst of starts over a narrow link', () => {
  // Load: starts of 4 KB for 200 tasks that all have room, at once, on a link
  // that carries 62 of them a second. Guards against renewals and journal writes
  // that wait for seconds behind starts, so that leases lapse.
  test('renewals waited behind the starts: sends no more than the link carries soon', async () => {
    const cell = new jobCell.JobCell();
    const link = new networkLink.NetworkLink(
      cell.time,
      BYTES_PER_SECOND,
      {event: () => {}},
      {count: () => {}, observe: () => {}},
    );
    const workers = new NarrowLinkWorkers(cell.workers, link, cell.time);
    cell.workerClient = workers;
    cell.linkLoad = link;
    for (let index = 0; index < 60; index += 1) {
      cell.addWorkers(jobCell.ONE_SECOND_RUNS, `w${index}`);
    }
    const scheduler = await cell.startTerm(1);
    await cell.time.advance(500);
    workers.longestDelayMs = 0;
    const ids = Array.from(
      {length: JOB_COUNT},
      (_unused, index) => `j${index}`,
    );
    for (const id of ids) {
      jobCell.submit(scheduler, jobCell.jobOf(id, {count: TASKS_PER_JOB}));
    }
    await cell.time.advance(7_000);
    assert.ok(
      workers.longestDelayMs < COMMAND_TIMEOUT_MS,
      `a call waited ${workers.longestDelayMs} ms for the link`,
    );
    const started = ids.map(id => cell.startsOf(`${id}.`).length);
    assert.deepEqual(
      started,
      ids.map(() => TASKS_PER_JOB),
    );
    for (const id of ids) {
      assert.equal(scheduler.stateOf(jobCell.QUEUE.name, id), 'completed');
    }
  });
});
