import * as coreDriver from './core_driver.js';
import type * as benchRow from './bench_row.js';

/** Running tasks per worker at the scale target: 25,000 on 2,700 workers. */
const TARGET_TASKS_PER_WORKER = 9;

const SEED = 11;

/** Virtual time over which the rates of an idle core are measured. */
const IDLE_PERIOD_MS = 60_000;

/** Numbers of owned workers at which the slopes are measured. */
const WORKER_COUNTS = [20, 43, 86, 172] as const;

function teamDocument(index: number): string {
  return `
name = "team-${index}"
clients = ["client"]
share = 1
queueLimit = 100000
quota = {processors = 100000000, memory = 100000000, accelerators = 10000, slots = 1000000}

[[workloads]]
name = "order"
kind = "batch"
urgency = "normal"
worth = 10
idempotent = false
size = {processors = 500, memory = 512, accelerators = 0, slots = 1}
runTimeMs = 60000
taskCount = 1
startDeadlineMs = 0
zones = []
maximumPerRack = 0
`;
}

const FLEET_DOCUMENT = `
zones = [{name = "zone-a", region = "region-a"}]

[[workerShapes]]
capacity = {processors = 16000, memory = 32768, accelerators = 2, slots = 16}
zones = ["zone-a"]
`;

function configurationDocuments(teams: number): ReadonlyMap<string, string> {
  const documents = new Map([['fleet', FLEET_DOCUMENT]]);
  for (let index = 0; index < teams; index += 1) {
    documents.set(`team/team-${index}`, teamDocument(index));
  }
  return documents;
}

function heapBytes(): number {
  globalThis.gc?.();
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

function startCore(workerCount: number, teams: number): coreDriver.CoreDriver {
  const driver = new coreDriver.CoreDriver({
    seed: SEED,
    workerCount,
    capacity: {processors: 16000, memory: 32768, accelerators: 2, slots: 16},
    documents: configurationDocuments(teams),
  });
  driver.advance(30_000);
  return driver;
}

function startTasks(driver: coreDriver.CoreDriver, count: number): void {
  for (let index = 0; index < count; index += 1) {
    driver.submit(`team-${index % 4}`, 'order', `payload ${index}`);
    if (index % 20 === 19) driver.advance(100);
  }
  driver.advance(2_000);
}

function sum(values: Iterable<number>): number {
  let total = 0;
  for (const value of values) total += value;
  return total;
}

function totalCostMs(driver: coreDriver.CoreDriver): number {
  return sum([...driver.eventCosts().values()].map(cost => cost.totalMs));
}

function measureFleet(workerCount: number): ReadonlyArray<benchRow.BenchRow> {
  const taskCount = workerCount * TARGET_TASKS_PER_WORKER;
  const baseHeapBytes = heapBytes();
  const driver = startCore(workerCount, 72);
  const idleHeapBytes = heapBytes();
  startTasks(driver, taskCount);
  const loadedHeapBytes = heapBytes();
  const runningCount = driver.runningCount();
  driver.resetCosts();
  driver.advance(IDLE_PERIOD_MS);
  const idleCostMs = totalCostMs(driver);
  const messages = sum(
    [...driver.effectCounts()]
      .filter(([kind]) => !['count', 'observe', 'log'].includes(kind))
      .map(([, count]) => count),
  );
  driver.resetCosts();
  driver.finishTasks(runningCount / 2);
  startTasks(driver, runningCount / 2);
  const startCostMs = totalCostMs(driver);
  const name = `capacity/${workerCount} workers`;
  return [
    row(`${name}/tasks running`, runningCount, 'tasks'),
    row(
      `${name}/heap of workers and 72 teams`,
      (idleHeapBytes - baseHeapBytes) / 1024,
      'KiB',
    ),
    row(
      `${name}/heap per task`,
      (loadedHeapBytes - idleHeapBytes) / Math.max(1, runningCount),
      'B',
    ),
    row(
      `${name}/core at rest`,
      idleCostMs / (IDLE_PERIOD_MS / 1_000) / 10,
      '% of a core',
    ),
    row(
      `${name}/messages at rest`,
      messages / (IDLE_PERIOD_MS / 1_000),
      'a second',
    ),
    row(
      `${name}/core per start and end`,
      (1_000 * startCostMs) / (runningCount / 2),
      'µs',
    ),
  ];
}

function row(name: string, figure: number, unit: string): benchRow.BenchRow {
  return {name, figure, unit, seed: SEED, goal: '', baseline: ''};
}

/** Measures how the cost of the decision core grows, for docs/CAPACITY.md. */
export function measureCapacity(): ReadonlyArray<benchRow.BenchRow> {
  // The first run includes JIT compilation, so its figures are dropped.
  measureFleet(WORKER_COUNTS[0]);
  return WORKER_COUNTS.flatMap(measureFleet);
}
