import * as simulatedCell from '../test/support/simulated_cell.js';
import * as simulatedMember from '../test/support/simulated_member.js';
import type * as benchRow from './bench_row.js';

/** Sizes of the measured cells. */
const MEMBER_COUNTS = [9, 30, 44];

const SEED = 20;

/** Number of changes in each measurement, and the time between two of them. */
const CHANGE_COUNT = 40;
const CHANGE_INTERVAL_MS = 6_000;

/** Idle connections of a process that go silent together. */
const IDLE_CONNECTION_COUNT = 7;

/** How long a loop is busy without a pause. */
const BLOCKED_LOOP_MS = 800;

/** How far behind the store's reads are, and for how long. */
const STORE_LAG_MS = 3_000;

/** What happens shortly before each change. */
interface Disturbance {
  readonly name: string;
  readonly begin: (cell: simulatedCell.SimulatedCell) => void;
}

const DISTURBANCES: ReadonlyArray<Disturbance> = [
  {name: 'calm', begin: () => {}},
  {
    name: 'silent store connections',
    begin: cell => {
      for (const member of cell.members) {
        member.silenceConnections(IDLE_CONNECTION_COUNT);
      }
    },
  },
  {
    name: 'busy loops',
    begin: cell => {
      for (const member of cell.members) member.block(BLOCKED_LOOP_MS);
    },
  },
  {name: `store ${STORE_LAG_MS / 1_000} s behind`, begin: delayReads},
];

/** Measures the time from the store's acknowledgement to all members. */
export async function measureConfiguration(): Promise<
  ReadonlyArray<benchRow.BenchRow>
> {
  const rows: benchRow.BenchRow[] = [];
  for (const disturbance of DISTURBANCES) {
    for (const memberCount of MEMBER_COUNTS) {
      rows.push(...(await measureSpread(memberCount, disturbance)));
    }
  }
  return rows;
}

async function measureSpread(
  memberCount: number,
  disturbance: Disturbance,
): Promise<ReadonlyArray<benchRow.BenchRow>> {
  const cell = await simulatedCell.SimulatedCell.start(memberCount, SEED, true);
  for (let change = 0; change < CHANGE_COUNT; change += 1) {
    disturbance.begin(cell);
    await cell.time.advance(cell.random.below(BLOCKED_LOOP_MS));
    cell.publish(change + 2);
    await cell.time.advance(CHANGE_INTERVAL_MS);
  }
  const delaysMs = delaysOf(cell).sort((left, right) => left - right);
  const goal = `below ${simulatedMember.CONFIGURATION_MS}`;
  const row = (statistic: string, share: number): benchRow.BenchRow => ({
    name: `version to ${memberCount} members, ${disturbance.name}: ${statistic}`,
    figure: delaysMs[Math.ceil(share * delaysMs.length) - 1],
    unit: 'ms',
    seed: SEED,
    goal,
    baseline: '',
  });
  return [row('median', 0.5), row('99 in 100', 0.99), row('worst', 1)];
}

/** Returns the time that each version took to reach each member. */
function delaysOf(cell: simulatedCell.SimulatedCell): number[] {
  const delaysMs: number[] = [];
  for (const {version, at} of cell.publishedVersions.slice(1)) {
    for (const {self} of cell.members) {
      const taken = cell.takenVersions.find(
        event => event.node === self.node && event.version >= version,
      );
      delaysMs.push((taken?.at ?? Infinity) - at);
    }
  }
  return delaysMs;
}

/** Hides what was published lately until the store has caught up. */
function delayReads(cell: simulatedCell.SimulatedCell): void {
  const visibleCount = cell.operatorStore.records.length;
  cell.operatorStore.visibleCount = () => visibleCount;
  cell.time.runAt(cell.time.now() + STORE_LAG_MS, () => {
    cell.operatorStore.visibleCount = () => cell.operatorStore.records.length;
  });
}
