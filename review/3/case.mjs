import * as cells from '../stand_ins/cell.mjs';

/** Largest time for which workers are cut off (`node_cut`, how `servers`). */
const CUT_MS = 5_500;

/** `finish_s`: jobs are asked for this long after the end of the traffic. */
const FINISH_MS = 14_000;

/** For this long a job has nothing running while a task's turn has come. */
const IDLE_MS = 3_000;

const WORKER_CPU = 8_000;
const TASK_CPU = 700;
const TRAFFIC_MS = 60_000;
const JOB_INTERVAL_MS = 80;
const TASKS_PER_JOB = 8;
const hasTrouble = process.env.TROUBLE !== '0';

function step(fields) {
  return {cpu: TASK_CPU, mem_mb: 256, est_runtime_ms: 500, ...fields};
}

/** Jobs of two steps; every fourth uses capacity that others leave unused. */
function jobOf(number) {
  const fills = number % 4 === 0 ? {fills: true} : {};
  return {
    spec: '500',
    steps: [
      step({count: TASKS_PER_JOB, ...fills}),
      step({count: 1, after: [0]}),
    ],
  };
}

const cell = new cells.Cell(import.meta.dirname);

/** Returns the accepted jobs that stand still with all of step 0 done. */
function standStill(ids, from) {
  const done = new Map();
  const active = new Set();
  const lastAt = new Map();
  for (const {atMs, kind, task} of cell.events) {
    if (!['started', 'ended', 'lost'].includes(kind)) continue;
    const id = task.split('.')[0];
    lastAt.set(id, atMs);
  }
  for (const worker of cell.workers) {
    for (const task of worker.running.keys()) active.add(task.split('.')[0]);
  }
  for (const {kind, task, how} of cell.events) {
    if (kind !== 'ended' || how !== 'done') continue;
    const [id, , position] = task.split('.');
    if (position !== '0') continue;
    if (!done.has(id)) done.set(id, new Set());
    done.get(id).add(task);
  }
  return ids.filter(
    id =>
      !active.has(id) &&
      (lastAt.get(id) ?? 0) < from &&
      done.get(id)?.size === TASKS_PER_JOB,
  );
}

async function run() {
  await cell.start({nodeCount: 3, workerCount: 6, cpu: WORKER_CPU});
  await cell.delay(2_000);
  const first = cells.jobId('a', 1);
  const steps = [step({count: 62, est_runtime_ms: 2_500})];
  if (!(await cell.submit(first, {spec: '2500', steps}))) return 2;
  await cell.delay(500);
  const [worker] = cell.workers;
  if (hasTrouble) {
    cell.record('cut', {worker: worker.id});
    worker.relay.cut();
  }
  await cell.delay(CUT_MS);
  if (hasTrouble) {
    worker.relay.heal();
    cell.record('healed', {worker: worker.id});
  }
  await cell.delay(1_500);

  const accepted = [first];
  const submissions = [];
  const trafficEnd = performance.now() + TRAFFIC_MS;
  for (let number = 1; performance.now() < trafficEnd; number += 1) {
    const id = cells.jobId('b', number);
    submissions.push(
      cell.submit(id, jobOf(number)).then(isAccepted => {
        if (isAccepted) accepted.push(id);
      }),
    );
    await cell.delay(JOB_INTERVAL_MS);
  }
  await Promise.all(submissions);
  cell.record('trafficEnded', {accepted: accepted.length});
  await cell.delay(FINISH_MS);

  const states = new Map();
  for (const id of accepted) states.set(id, await cell.stateOf(id));
  const open = accepted.filter(id => states.get(id) !== 'completed');
  const from = cell.now();
  await cell.delay(IDLE_MS);
  const idle = standStill(open, from);
  for (const id of idle) await cell.stateOf(id);
  cell.record('verdict', {
    accepted: accepted.length,
    notCompleted: open.length,
    standStill: idle.length,
    unnotedEnds: cell.workers.map(item => item.ended.length).join('/'),
  });
  return idle.length > 0 ? 1 : 0;
}

let code = 2;
try {
  code = await run();
} catch (fault) {
  cell.record('fault', {fault: String(fault)});
}
const VERDICTS = ['LOST held', 'LOST broken', 'could not run'];
await cell.stop(`${VERDICTS[code]}, exit ${code}`);
process.exit(code);
