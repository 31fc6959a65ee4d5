import * as url from 'node:url';
import * as decisionBench from './decision_bench.js';
import * as floodBench from './flood_bench.js';
import * as packingBench from './packing_bench.js';
import type * as benchRow from './bench_row.js';

/** Measures decisions, packing and floods. */
export function measure(): ReadonlyArray<benchRow.BenchRow> {
  return [
    ...decisionBench.measure(),
    ...packingBench.measure(),
    ...floodBench.measure(),
  ];
}

if (process.argv[1] === url.fileURLToPath(import.meta.url)) {
  for (const row of measure()) console.log(JSON.stringify(row));
}
