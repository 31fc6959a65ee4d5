// Plays a case and ends with the exit code that the review asks for.
import * as path from 'node:path';
import * as cellStandIn from './cell.mjs';

/** Whether the disruption is played. */
export const TROUBLE = process.env.TROUBLE !== '0';

/** Time after the start in which earlier leases may end. */
export const SETTLE_MS = 9_000;

/** Limit on one play, below the 120 s that a script may take. */
const LIMIT_MS = 115_000;

const EXIT_HELD = 0;
const EXIT_BROKEN = 1;
const EXIT_NOT_RUN = 2;

/** What a case needs in order to run did not happen. */
class NotRun extends Error {}

/** Ends the case as not run unless a promise resolves to true. */
export async function require(promise, text) {
  if (!(await promise)) throw new NotRun(`not true: ${text}`);
}

/** Plays a case, which returns how often the rule was broken. */
export async function play(run) {
  const cell = new cellStandIn.Cell();
  const recordFile = path.resolve('record.txt');
  const limit = setTimeout(() => finish(EXIT_NOT_RUN, 'too long'), LIMIT_MS);
  async function finish(code, text) {
    clearTimeout(limit);
    cell.say(`exit ${code}: ${text}`);
    await cell.end(recordFile);
    console.log(text);
    process.exit(code);
  }
  for (const signal of ['SIGINT', 'SIGTERM']) {
    process.once(signal, () => finish(EXIT_NOT_RUN, signal));
  }
  process.once('uncaughtException', error =>
    finish(EXIT_NOT_RUN, String(error.stack)),
  );
  try {
    const count = await run(cell);
    if (count === 0) await finish(EXIT_HELD, 'the rule held');
    else await finish(EXIT_BROKEN, `the rule was broken ${count} times`);
  } catch (error) {
    await finish(EXIT_NOT_RUN, String(error?.stack ?? error));
  }
}
