// A copy of a start gets no answer and is carried out seconds later. Its worker
// restarts twice under its id: its second life is reached, and the task goes on
// elsewhere; the third one carries the copy out.
import * as path from 'node:path';
import * as cells from '../stand_ins_3/cell.mjs';
import * as checks from '../stand_ins_3/checks.mjs';
import * as lateWorkers from '../stand_ins_3/late_worker.mjs';
import * as workers from '../stand_ins_3/worker.mjs';

const TROUBLE = process.env.TROUBLE !== '0';
const PROCESSES = 3;
const WORKERS = 8;
const FIRST_JOB = '00000000000000a1';
const SECOND_JOB = '00000000000000b2';

/** Small tasks of the traffic beside, so that one order is a small share. */
const OTHER_JOB = '00000000000000c3';
const OTHER_TASKS = 24;

/** Time for which the worker is dark; the order arrives as it returns again. */
const DARK_MS = 1_000;

const ROUTE = {
  name: 'orders',
  host: cells.HOST_NAME,
  path_prefix: cells.PREFIX,
  service_name: cells.SERVICE,
  kind: 'non_idempotent',
  priority: 0,
  attempts: 2,
  stretch: 1.5,
  slo_ms: 500,
  timeout_ms: 3_000,
};

/** Work of a task: the first one of the first job ends soon. */
function workMsOf(task) {
  if (task.startsWith(SECOND_JOB)) return 15_000;
  return task.endsWith('.0.0.0') ? 2_000 : 15_000;
}

async function submit(cell, id, count, cpu = 5_000) {
  const step = {count, cpu, mem_mb: 100, est_runtime_ms: 5_000};
  for (const target of cell.children) {
    if (target.exit !== undefined) continue;
    const {status} = await cell.call(target, 'POST', id, {
      spec: `work of ${id}`,
      steps: [step],
    });
    if (status === 200) return true;
  }
  return false;
}

async function waitFor(condition, timeoutMs) {
  const until = performance.now() + timeoutMs;
  while (!condition() && performance.now() < until) await cells.delay(5);
  return condition();
}

async function run() {
  const record = new cells.Record(path.join(import.meta.dirname, 'record.txt'));
  const cell = new cells.Cell(record);
  await cell.begin([ROUTE]);
  const world = new workers.WorkerWorld(
    task => ({workMs: workMsOf(task)}),
    record,
  );
  world.late = {
    job: undefined,
    order: undefined,
    onOrder: () => {},
    answersRepeats: true,
  };
  const zones = ['kigali-a', 'huye-a', 'musanze-a'];
  for (let index = 0; index < WORKERS; index += 1) {
    const worker = new lateWorkers.LateWorker(world, {
      id: `i-${index}`,
      service: cells.SERVICE,
      zone: zones[index % zones.length],
      machine: `m-${index}`,
      rack: 'r1-1',
      capacity: {cpu: 16_000, mem_mb: 32_768, gpu: 0},
    });
    await worker.listen(cell.host);
    worker.register(cell.store);
  }
  for (let index = 0; index < PROCESSES; index += 1) {
    await cell.startProcess(index);
  }
  await cells.delay(2_000);
  if (!(await submit(cell, FIRST_JOB, 3))) return 2;
  if (!(await submit(cell, OTHER_JOB, OTHER_TASKS, 10))) return 2;
  await cells.delay(1_000);
  const {late} = world;
  if (TROUBLE) {
    late.job = SECOND_JOB;
  }
  if (!(await submit(cell, SECOND_JOB, 1))) record.line('no ack in time');
  const outcome = TROUBLE ? await trouble(cell, world, record) : 0;
  await cells.delay(4_000);
  for (const line of cell.logLines(
    /workerEnded|runAdopted|taskHeld|restartHeld/,
  )) {
    record.line(line);
  }
  const overlaps = checks.overlappingRuns(record.runs);
  for (const overlap of overlaps) record.line(`TWICE ${overlap}`);
  const starts = record.runs.filter(({event}) => event === 'start').length;
  record.line(`overlaps ${overlaps.length}, starts ${starts}`);
  for (const worker of world.workers) worker.close();
  await cell.end();
  if (outcome !== 0) return outcome;
  return overlaps.length > 0 ? 1 : 0;
}

async function trouble(cell, world, record) {
  const {late} = world;
  if (!(await waitFor(() => late.order !== undefined, 5_000))) return 2;
  const {worker, body, sentAt} = late.order;
  const {id} = worker.options;
  if (!(await waitFor(() => worker.running.has(body.task), 2_000))) return 2;
  await cells.delay(1_500);
  const restart = async () => {
    record.line(`${id} loses power`);
    worker.goDark();
    await cells.delay(DARK_MS);
    worker.comeBack();
    record.line(`${id} is back`);
  };
  await restart();
  worker.register(cell.store);
  const isElsewhere = () =>
    world.workers.some(
      other => other !== worker && other.running.has(body.task),
    );
  if (!(await waitFor(isElsewhere, 5_000))) {
    record.line('the task was not started on another worker');
    return 2;
  }
  await cells.delay(500);
  await restart();
  const ageMs = Math.round(performance.now() - sentAt);
  record.line(`the order is carried out; it is ${ageMs} ms old`);
  worker.serveStart(body, {destroyed: true});
  worker.register(cell.store);
  return 0;
}

process.exitCode = await run().catch(error => {
  console.error(error);
  return 2;
});
process.exit();
