// A configuration removes a route and adds another one with the same host and
// path: does the accepted work stay known to its requester?
import * as cellStandIn from '../stand_ins_2/cell.mjs';
import * as script from '../stand_ins_2/script.mjs';

const TASK_MS = 2_000;
const KEPT = '9d24c6e8a07b1f31';
const CANCELLED = '9d24c6e8a07b1f32';
const APPLY_MS = 2_500;
const VISIBLE_MS = 3_000;
const CANCEL_MS = 3_000;

await script.play(async cell => {
  await cell.begin({name: 'orders-a'});
  await cell.addWorkers(4);
  for (const number of [1, 2, 3]) cell.startMachine(number);
  await script.require(cell.ready(), 'the machines are ready');
  await cellStandIn.sleep(script.SETTLE_MS);
  for (const id of [KEPT, CANCELLED]) await submit(cell, id);
  await cellStandIn.sleep(1_500);
  // Without the disruption, a version that changes a time-out only.
  const route = script.TROUBLE
    ? {name: 'orders-b'}
    : {name: 'orders-a', timeout_ms: 3_100};
  cell.configure(8, route);
  await cellStandIn.sleep(Math.max(APPLY_MS, VISIBLE_MS) + 1_000);
  const denials = await countDenials(cell);
  return denials + (await countLateStarts(cell));
});

async function submit(cell, id) {
  const spec = JSON.stringify({ms: TASK_MS});
  const size = {count: 8, cpu: 1_000, mem_mb: 256, est_runtime_ms: TASK_MS};
  const steps = Array.from({length: 8}, (_unused, index) =>
    index === 0 ? size : {...size, after: [index - 1]},
  );
  await script.require(cell.submit(id, {spec, steps}), `${id} is accepted`);
}

/** Counts the answers 410 to questions for a job that nobody has cancelled. */
async function countDenials(cell) {
  let count = 0;
  for (const machine of cell.up) {
    const {status} = await cell.request(machine, 'GET', KEPT);
    if (status !== 410) continue;
    cell.say(`LOST ${KEPT}: 410 at machine ${machine.number}`);
    count += 1;
  }
  return count;
}

/** Cancels the other job and counts the starts that come too late. */
async function countLateStarts(cell) {
  const {status} = await cell.request(cell.up[0], 'DELETE', CANCELLED);
  await script.require(status === 200 || status === 410, 'the cancel is acked');
  const acknowledgedAt = cell.now;
  await cellStandIn.sleep(CANCEL_MS + 3 * TASK_MS);
  const late = cell.events.filter(
    ({kind, at, task}) =>
      kind === 'start' &&
      task.startsWith(CANCELLED) &&
      at > acknowledgedAt + CANCEL_MS,
  );
  if (late.length > 0) cell.say(`UNASKED ${late.length} late starts`);
  return late.length;
}
