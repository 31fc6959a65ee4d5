import * as coreDriver from './core_driver.js';
import type * as benchRow from './bench_row.js';

/** Tasks a worker runs at the target: 25,000 on 2,700. */
const TASKS_PER_WORKER = 9;

const SEED = 11;

/** Injected time over which rates are taken. */
const IDLE_PERIOD_MS = 60_000;

/** Sizes of the owned part of the fleet at which the slopes are measured. */
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

const FLEET = `
zones = [{name = "zone-a", region = "region-a"}]

[[workerShapes]]
capacity = {processors = 16000, memory = 32768, accelerators = 2, slots = 16}
zones = ["zone-a"]
`;

function configurationDocuments(teams: number): ReadonlyMap<string, string> {
  const made = new Map([['fleet', FLEET]]);
  for (let index = 0; index < teams; index += 1) {
    made.set(`team/team-${index}`, teamDocument(index));
  }
  return made;
}

function heapBytes(): number {
  globalThis.gc?.();
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

function startDriver(
  workerCount: number,
  teams: number,
): coreDriver.CoreDriver {
  const driver = new coreDriver.CoreDriver({
    seed: SEED,
    workerCount,
    capacity: {processors: 16000, memory: 32768, accelerators: 2, slots: 16},
    documents: configurationDocuments(teams),
  });
  driver.advance(30_000);
  return driver;
}

function startTasks(driver: coreDriver.CoreDriver, tasks: number): void {
  for (let index = 0; index < tasks; index += 1) {
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

function totalMilliseconds(driver: coreDriver.CoreDriver): number {
  return sum([...driver.eventCosts().values()].map(cost => cost.milliseconds));
}

function measureFleet(workerCount: number): ReadonlyArray<benchRow.BenchRow> {
  const tasks = workerCount * TASKS_PER_WORKER;
  const before = heapBytes();
  const driver = startDriver(workerCount, 72);
  const empty = heapBytes();
  startTasks(driver, tasks);
  const full = heapBytes();
  const running = driver.runningCount();
  driver.resetCosts();
  driver.advance(IDLE_PERIOD_MS);
  const restMilliseconds = totalMilliseconds(driver);
  const messages = sum(
    [...driver.effectCounts()]
      .filter(([kind]) => !['count', 'observe', 'log'].includes(kind))
      .map(([, count]) => count),
  );
  driver.resetCosts();
  driver.finishTasks(running / 2);
  startTasks(driver, running / 2);
  const startMilliseconds = totalMilliseconds(driver);
  const name = `capacity/${workerCount} workers`;
  return [
    row(`${name}/tasks running`, running, 'tasks'),
    row(`${name}/heap of workers and 72 teams`, (empty - before) / 1024, 'KiB'),
    row(`${name}/heap per task`, (full - empty) / Math.max(1, running), 'B'),
    row(
      `${name}/core at rest`,
      restMilliseconds / (IDLE_PERIOD_MS / 1_000) / 10,
      '% of a core',
    ),
    row(
      `${name}/messages at rest`,
      messages / (IDLE_PERIOD_MS / 1_000),
      'a second',
    ),
    row(
      `${name}/core per start and end`,
      (1_000 * startMilliseconds) / (running / 2),
      'µs',
    ),
  ];
}

function row(name: string, figure: number, unit: string): benchRow.BenchRow {
  return {name, figure, unit, seed: SEED, goal: '', baseline: ''};
}

/** Measures the slopes of the decision core that docs/CAPACITY.md uses. */
export function measureCapacity(): ReadonlyArray<benchRow.BenchRow> {
  // The first run pays for compiling; its figures are dropped.
  measureFleet(WORKER_COUNTS[0]);
  return WORKER_COUNTS.flatMap(measureFleet);
}
