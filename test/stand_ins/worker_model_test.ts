import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as clock from '../../src/machines/clock.js';
import * as workerModel from '../../stand_ins/worker_model.js';

const LEASE_MS = 5_000;
const RUN_TIME_MS = 800;
const START_MS = 1_000;

/** Long after the run and the lease have ended. */
const LATER_MS = 60_000;

/** A worker on which one run starts at `START_MS`. */
class WorkerWithRun {
  readonly events: workerModel.RunEvent[] = [];
  readonly model: workerModel.WorkerModel;
  readonly time = new clock.ManualClock(START_MS);

  constructor(runTimeMs: number, clockRate: number) {
    const capacity = {processors: 4_000, memory: 16_384, accelerators: 0};
    const entry = {
      id: 'worker-0',
      born: 1,
      machine: 'machine-0',
      address: '127.0.0.1:1',
      service: 'dispatch',
      zone: 'zone-a',
      state: 'ready' as const,
      capacity: {...capacity, slots: 8},
      labels: [],
    };
    this.model = new workerModel.WorkerModel(
      entry,
      this.time,
      () => ({runTimeMs, outcome: 'done'}),
      this.events,
      [],
      START_MS,
      clockRate,
    );
    this.model.start({
      task: 'job.0.0.0',
      run: 1,
      payload: '',
      fencingToken: 2_000,
      deadlineMs: LEASE_MS,
      checkpoint: '',
    });
  }

  /** Returns the end of the run as it is recorded when it is noticed late. */
  lateEnd(): {readonly atMs: number; readonly outcome: string} {
    this.time.advance(LATER_MS);
    this.model.endDueRuns();
    const {atMs, outcome} = this.events[1];
    return {atMs, outcome};
  }
}

nodeTest.describe('a worker that nobody calls', () => {
  // Guards against runs that seem to overlap with later ones elsewhere because
  // their end is recorded for the time of the next call.
  nodeTest.test('records the end of a run when it was due', () => {
    const end = new WorkerWithRun(RUN_TIME_MS, 1).lateEnd();
    assert.deepEqual(end, {atMs: START_MS + RUN_TIME_MS, outcome: 'done'});
  });

  // Guards against the same for runs that end with their lease.
  nodeTest.test('records the end of its lease when it was due', () => {
    const end = new WorkerWithRun(LATER_MS, 1).lateEnd();
    assert.deepEqual(end, {atMs: START_MS + LEASE_MS, outcome: 'lapsed'});
  });

  // Guards against leases that end early on a worker whose clock runs slow.
  nodeTest.test('keeps its lease longer with a slow clock', () => {
    const end = new WorkerWithRun(LATER_MS, 0.98).lateEnd();
    assert.equal(end.outcome, 'lapsed');
    assert.equal(Math.round(end.atMs), START_MS + Math.round(LEASE_MS / 0.98));
  });

  // Guards against runs that are called lost after their lease had ended.
  nodeTest.test('records what was due before it crashes', () => {
    const worker = new WorkerWithRun(LATER_MS, 1);
    worker.time.advance(LATER_MS);
    worker.model.crash();
    assert.equal(worker.events[1].outcome, 'lapsed');
  });
});
