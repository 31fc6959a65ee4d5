import * as cells from '../stand_ins/cell.mjs';

/** Times for which a crashed worker is dark; `srv_crash` allows 4,500. */
const DARK_TIMES_MS = [400, 500, 600, 700, 800, 900];

/** Time from a worker's return until its entry is in the store. */
const REGISTRATION_MS = 0;

const ROUNDS = 12;
const ROUND_MS = 5_000;
const JOB_INTERVAL_MS = 60;
const TASKS_PER_JOB = 4;
const RECENT_MS = 500;
const hasTrouble = process.env.TROUBLE !== '0';

const cell = new cells.Cell(import.meta.dirname);

function job() {
  return {
    spec: '900',
    steps: [{count: TASKS_PER_JOB, cpu: 700, mem_mb: 512, est_runtime_ms: 900}],
  };
}

/** Returns the worker that has started most tasks lately. */
function busiestWorker() {
  const since = cell.now() - RECENT_MS;
  const counts = new Map();
  for (const {atMs, kind, worker} of cell.events) {
    if (kind !== 'started' || atMs < since) continue;
    counts.set(worker, (counts.get(worker) ?? 0) + 1);
  }
  const countOf = worker => counts.get(worker.id) ?? 0;
  return [...cell.workers].sort(
    (left, right) => countOf(right) - countOf(left),
  )[0];
}

/** Crashes a worker silently; it starts again under its id. */
async function crash(worker, darkMs) {
  worker.relay.resetsDead = false;
  worker.relay.cut();
  worker.crash();
  await cell.delay(darkMs);
  worker.relay.heal();
  worker.beginLife();
  worker.relay.resetLost();
  await cell.delay(REGISTRATION_MS);
  worker.register();
}

/** Returns the tasks of which two runs were up at the same time. */
function doubleRuns() {
  const runs = new Map();
  const doubles = [];
  for (const {atMs, kind, worker, task, run} of cell.events) {
    if (!['started', 'ended', 'lost'].includes(kind)) continue;
    if (!runs.has(task)) runs.set(task, new Map());
    const active = runs.get(task);
    const key = `${worker}/${run}`;
    if (kind !== 'started') {
      active.delete(key);
      continue;
    }
    if (active.size > 0) doubles.push({atMs, task, run, worker});
    active.set(key, atMs);
  }
  return doubles;
}

async function run() {
  await cell.start({nodeCount: 3, workerCount: 8, cpu: 16_000});
  await cell.delay(2_000);
  let isOver = false;
  const submissions = [];
  const traffic = (async () => {
    for (let number = 1; !isOver; number += 1) {
      const id = cells.jobId('c', number);
      submissions.push(cell.submit(id, job()));
      await cell.delay(JOB_INTERVAL_MS);
    }
  })();
  for (let round = 0; round < ROUNDS; round += 1) {
    await cell.delay(ROUND_MS);
    const darkMs = DARK_TIMES_MS[round % DARK_TIMES_MS.length];
    if (hasTrouble) await crash(busiestWorker(), darkMs);
  }
  await cell.delay(ROUND_MS);
  isOver = true;
  await traffic;
  await Promise.all(submissions);
  await cell.delay(3_000);
  const doubles = doubleRuns();
  for (const double of doubles) cell.record('twice', double);
  return doubles.length > 0 ? 1 : 0;
}

let code = 2;
try {
  code = await run();
} catch (fault) {
  cell.record('fault', {fault: String(fault)});
}
const VERDICTS = ['TWICE held', 'TWICE broken', 'could not run'];
await cell.stop(`${VERDICTS[code]}, exit ${code}`);
process.exit(code);
