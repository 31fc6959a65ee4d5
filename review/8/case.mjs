// A worker fails what it starts, orders to it are carried out late, and it
// crashes and starts again: does a task run twice?
import * as cellStandIn from '../stand_ins_2/cell.mjs';
import * as checks from '../stand_ins_2/checks.mjs';
import * as script from '../stand_ins_2/script.mjs';

const ROUNDS = 6;
const JOBS_PER_ROUND = 3;
const TASKS_PER_JOB = 33;
const TASK_MS = 6_000;
const LATE_SHARE = 0.5;
const DOWN_MS = 1_000;

await script.play(async cell => {
  await cell.begin();
  await cell.addWorkers(8);
  for (const number of [1, 2, 3]) cell.startMachine(number);
  await script.require(cell.ready(), 'the machines are ready');
  await cellStandIn.sleep(script.SETTLE_MS);
  for (let round = 1; round <= ROUNDS; round += 1) await playRound(cell, round);
  const overlaps = checks.overlapsOf(checks.runsOf(cell.events, cell.now));
  for (const {left, right} of overlaps) {
    cell.say(`TWICE ${checks.describe(left)}`);
    cell.say(`      ${checks.describe(right)}`);
  }
  return overlaps.length;
});

async function playRound(cell, round) {
  // The scheduler fills one worker first: the one with the most tasks.
  const [worker] = cell.workers;
  if (script.TROUBLE) {
    worker.failsAll = true;
    worker.lateShare = LATE_SHARE;
  }
  for (let index = 0; index < JOBS_PER_ROUND; index += 1) {
    const id = `d00d5eed0000${round}${index}00`;
    const spec = JSON.stringify({ms: TASK_MS});
    const size = {cpu: 450, mem_mb: 64, est_runtime_ms: TASK_MS};
    const job = {spec, steps: [{count: TASKS_PER_JOB, ...size}]};
    await script.require(cell.submit(id, job), `${id} is accepted`);
  }
  await cellStandIn.sleep(1_500);
  if (script.TROUBLE) {
    worker.lateShare = 0;
    cell.say(`round ${round}: worker ${worker.id} crashes`);
    worker.crashFor(DOWN_MS, cell.store);
  }
  await cellStandIn.sleep(13_000);
}
