import * as fs from 'node:fs';
import * as capacityBench from './capacity_bench.js';
import * as cellBench from './cell_bench.js';
import * as commandTypes from 'cmd-ts';
import * as configurationBench from './configuration_bench.js';
import * as overloadBench from './load_curve/overload_bench.js';
import * as placementBench from './placement_bench.js';
import * as processBench from './process_bench.js';
import type * as benchRow from './bench_row.js';

const RESULTS_FILE = 'bench/results/latest.json';

type MeasurePart = () => Promise<ReadonlyArray<benchRow.BenchRow>>;

/** Parts of the benchmark by the name that --part selects. */
const BENCH_PARTS: ReadonlyMap<string, MeasurePart> = new Map<
  string,
  MeasurePart
>([
  ['placement', placementBench.measure],
  ['capacity', async () => capacityBench.measureCapacity()],
  ['process', processBench.measureProcess],
  ['cell', cellBench.measureCell],
  ['overload', overloadBench.measureOverload],
  ['configuration', configurationBench.measureConfiguration],
]);

function readPreviousRows(): ReadonlyMap<string, benchRow.BenchRow> {
  if (!fs.existsSync(RESULTS_FILE)) return new Map();
  const rows = JSON.parse(
    fs.readFileSync(RESULTS_FILE, 'utf8'),
  ) as ReadonlyArray<benchRow.BenchRow>;
  return new Map(rows.map(row => [row.name, row]));
}

function printRow(
  row: benchRow.BenchRow,
  previous: ReadonlyMap<string, benchRow.BenchRow>,
): void {
  const previousFigure = previous.get(row.name)?.figure;
  const columns = [
    row.name.padEnd(56),
    row.figure.toFixed(2).padStart(12),
    row.unit.padEnd(14),
    row.goal === '' ? '' : `goal ${row.goal}`,
    row.baseline === '' ? '' : `baseline ${row.baseline}`,
    previousFigure === undefined ? '' : `previous ${previousFigure.toFixed(2)}`,
    `seed ${row.seed}`,
  ];
  console.log(columns.filter(column => column !== '').join('  '));
}

const bench = commandTypes.command({
  name: 'bench',
  description: 'Measures the system and compares with the committed results',
  args: {
    part: commandTypes.option({
      long: 'part',
      type: commandTypes.string,
      defaultValue: () => 'all',
    }),
    save: commandTypes.flag({long: 'save'}),
  },
  handler: async ({part, save}) => {
    const previous = readPreviousRows();
    const rows: benchRow.BenchRow[] = [];
    for (const [name, measure] of BENCH_PARTS) {
      if (part !== 'all' && part !== name) continue;
      for (const row of await measure()) {
        printRow(row, previous);
        rows.push(row);
      }
    }
    if (save) {
      // Keeps the previous rows of parts that did not run.
      const merged = new Map(previous);
      for (const row of rows) merged.set(row.name, row);
      const text = JSON.stringify([...merged.values()], null, 1);
      fs.writeFileSync(RESULTS_FILE, `${text}\n`);
    }
    process.exit(0);
  },
});

void commandTypes.run(bench, process.argv.slice(2));
