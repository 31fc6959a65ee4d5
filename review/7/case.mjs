// All machines of the system are lost for good at once, with one worker, and
// others come at new addresses: does the accepted work go on?
import * as cellStandIn from '../stand_ins_2/cell.mjs';
import * as script from '../stand_ins_2/script.mjs';

const TASK_MS = 4_000;
/** Job that is submitted after the loss, to show that the system serves. */
const LATER_ID = '7b3e90d41c5a8f99';
const IDS = [1, 2, 3, 4].map(number => `7b3e90d41c5a8f0${number}`);

/** ADDRESSES=same starts the machines again where they were: a comparison. */
const SAME_ADDRESSES = process.env.ADDRESSES === 'same';
const RECOVERY_S = 12;
const FINISH_S = 14;
const SEEN_FOR_S = 30;
const IDLE_LIMIT_S = 3;

await script.play(async cell => {
  await cell.begin();
  await cell.addWorkers(7);
  for (const number of [1, 2, 3]) cell.startMachine(number);
  await script.require(cell.ready(), 'the machines are ready');
  await cellStandIn.sleep(script.SETTLE_MS);
  for (const id of IDS) await submit(cell, id);
  await cellStandIn.sleep(1_500);
  if (script.TROUBLE) await replaceAll(cell);
  await cellStandIn.sleep(RECOVERY_S * 1_000);
  await submit(cell, LATER_ID);
  await cellStandIn.sleep(FINISH_S * 1_000);
  cell.say(`the later job ${LATER_ID} is ${await cell.stateOf(LATER_ID)}`);
  return countIdleJobs(cell);
});

async function submit(cell, id) {
  const spec = JSON.stringify({ms: TASK_MS});
  const size = {cpu: 1_500, mem_mb: 256, est_runtime_ms: TASK_MS};
  const steps = [
    {count: 12, ...size},
    {count: 6, ...size, after: [0]},
  ];
  await script.require(cell.submit(id, {spec, steps}), `${id} is accepted`);
}

async function replaceAll(cell) {
  for (const machine of [...cell.up]) cell.kill(machine);
  cell.say(`worker ${cell.workers[0].id} is lost for good`);
  cell.workers[0].crash(cell.store);
  await cellStandIn.sleep(2_000);
  for (const number of [1, 2, 3]) {
    cell.startMachine(SAME_ADDRESSES ? number : 10 + number, false);
  }
  await script.require(cell.ready(), 'the new machines are ready');
}

/**
 * Returns how many jobs had nothing running for 3 s although they were not
 * finished and the workers were idle.
 */
async function countIdleJobs(cell) {
  const idleFor = new Map(IDS.map(id => [id, 0]));
  const broken = new Set();
  for (let second = 0; second < SEEN_FOR_S; second += 1) {
    let openCount = 0;
    for (const id of IDS) {
      const state = await cell.stateOf(id);
      const isOpen = state === 'queued' || state === 'running';
      const isIdle = isOpen && cell.runningOf(id).length === 0;
      openCount += isOpen ? 1 : 0;
      idleFor.set(id, isIdle ? idleFor.get(id) + 1 : 0);
      if (idleFor.get(id) <= IDLE_LIMIT_S) continue;
      if (!broken.has(id)) cell.say(`LOST ${id} stands still, is ${state}`);
      broken.add(id);
    }
    if (openCount === 0) break;
    await cellStandIn.sleep(1_000);
  }
  const workers = cell.workers.filter(({alive}) => alive).length;
  const runs = cell.runningOf('').length;
  cell.say(`at the end ${runs} tasks run on ${workers} workers`);
  return broken.size;
}
