import * as url from 'node:url';
import * as backlogBench from './backlog_bench.js';
import * as decisionBench from './decision_bench.js';
import * as floodBench from './flood_bench.js';
import * as packingBench from './packing_bench.js';
import type * as benchRow from './bench_row.js';

/** Measures decisions, packing, floods and placement beside a backlog. */
export async function measure(): Promise<ReadonlyArray<benchRow.BenchRow>> {
  return [
    ...(await backlogBench.measureBacklog()),
    ...decisionBench.measure(),
    ...packingBench.measure(),
    ...floodBench.measure(),
  ];
}

if (process.argv[1] === url.fileURLToPath(import.meta.url)) {
  for (const row of await measure()) console.log(JSON.stringify(row));
}
