import * as resources from './resources.js';
import type * as randomSource from './random_source.js';
import type * as worker from './worker.js';

/** Whether a search starts with the least or the most available capacity. */
export type SearchOrder = 'tightest' | 'loosest';

/** Returns whether a worker with enough free capacity may be a candidate. */
export type CandidateFilter = (candidate: worker.Worker) => boolean;

/** Maximum number of workers that one search examines. */
export const SAMPLE_LIMIT = 16;

/**
 * Maximum number of workers without enough capacity that a search examines.
 * The lowest matching buckets also contain such workers; this limit keeps half
 * of the sample for buckets in which every worker has enough.
 */
const UNCERTAIN_SAMPLE_LIMIT = 8;

/** Lower bounds of the levels above 0. Doubling keeps the index small. */
const LEVEL_BOUNDS: Readonly<
  Record<resources.Dimension, ReadonlyArray<number>>
> = {
  processors: [250, 500, 1_000, 2_000, 4_000, 8_000, 16_000, 32_000],
  memory: [256, 512, 1_024, 2_048, 4_096, 8_192, 16_384, 32_768, 65_536],
  accelerators: [1, 2, 4, 8],
  slots: [1, 2, 4, 8],
};

const LEVEL_COUNTS = {
  processors: LEVEL_BOUNDS.processors.length + 1,
  memory: LEVEL_BOUNDS.memory.length + 1,
  accelerators: LEVEL_BOUNDS.accelerators.length + 1,
  slots: LEVEL_BOUNDS.slots.length + 1,
} as const;

interface BucketPosition {
  readonly bucket: number;
  /** Index in the bucket; changes when another worker is removed from it. */
  indexInBucket: number;
}

interface Search {
  readonly size: resources.Resources;
  readonly filter: CandidateFilter;
  readonly found: worker.Worker[];
  examined: number;
  /** Number of examined workers that lacked capacity. */
  uncertain: number;
}

/**
 * Index of workers by available capacity: one bucket per combination of levels,
 * with one level per dimension. The number of buckets is fixed, so the cost of
 * a search does not depend on the number of workers.
 */
export class FreeCapacityIndex {
  private readonly buckets: worker.Worker[][] = [];
  private readonly positions = new Map<worker.Worker, BucketPosition>();
  /** Number of workers per pair of accelerator and processor levels. */
  private readonly workersPerRow: number[] = [];

  constructor(private readonly random: randomSource.RandomSource) {
    const rowCount = LEVEL_COUNTS.accelerators * LEVEL_COUNTS.processors;
    const bucketCount = rowCount * LEVEL_COUNTS.memory * LEVEL_COUNTS.slots;
    for (let row = 0; row < rowCount; row += 1) this.workersPerRow.push(0);
    for (let index = 0; index < bucketCount; index += 1) this.buckets.push([]);
  }

  /** Adds a worker or moves it to the bucket of its available capacity. */
  put(moved: worker.Worker): void {
    const bucket = bucketOf(moved.available);
    const position = this.positions.get(moved);
    if (position?.bucket === bucket) return;
    if (position !== undefined) this.remove(moved);
    const members = this.buckets[bucket];
    this.positions.set(moved, {bucket, indexInBucket: members.length});
    members.push(moved);
    this.workersPerRow[rowOf(bucket)] += 1;
  }

  /** Removes a worker; does nothing when it is not in the index. */
  remove(removed: worker.Worker): void {
    const position = this.positions.get(removed);
    if (position === undefined) return;
    this.positions.delete(removed);
    this.workersPerRow[rowOf(position.bucket)] -= 1;
    const members = this.buckets[position.bucket];
    const last = members.pop();
    if (last === undefined || last === removed) return;
    members[position.indexInBucket] = last;
    const moved = this.positions.get(last);
    if (moved !== undefined) moved.indexInBucket = position.indexInBucket;
  }

  /** Returns at most `SAMPLE_LIMIT` workers with capacity for `size`. */
  sample(
    size: resources.Resources,
    order: SearchOrder,
    filter: CandidateFilter,
  ): ReadonlyArray<worker.Worker> {
    const search: Search = {size, filter, found: [], examined: 0, uncertain: 0};
    const firstAccelerators = levelOf('accelerators', size.accelerators);
    const firstProcessors = levelOf('processors', size.processors);
    for (
      let accelerators = firstAccelerators;
      accelerators < LEVEL_COUNTS.accelerators;
      accelerators += 1
    ) {
      // Low accelerator levels come first, so that tasks without accelerators
      // are placed on workers without accelerators as long as possible.
      for (
        let step = firstProcessors;
        step < LEVEL_COUNTS.processors;
        step += 1
      ) {
        const processors =
          order === 'tightest'
            ? step
            : LEVEL_COUNTS.processors - 1 - (step - firstProcessors);
        const row = accelerators * LEVEL_COUNTS.processors + processors;
        if (this.workersPerRow[row] > 0) this.searchRow(search, row, order);
        if (search.examined >= SAMPLE_LIMIT) return search.found;
      }
    }
    return search.found;
  }

  private searchRow(search: Search, row: number, order: SearchOrder): void {
    const firstMemory = levelOf('memory', search.size.memory);
    const firstSlots = levelOf('slots', search.size.slots);
    for (let step = firstMemory; step < LEVEL_COUNTS.memory; step += 1) {
      const memory =
        order === 'tightest'
          ? step
          : LEVEL_COUNTS.memory - 1 - (step - firstMemory);
      for (let slots = firstSlots; slots < LEVEL_COUNTS.slots; slots += 1) {
        const bucket =
          (row * LEVEL_COUNTS.memory + memory) * LEVEL_COUNTS.slots + slots;
        this.searchBucket(search, this.buckets[bucket]);
        if (search.examined >= SAMPLE_LIMIT) return;
      }
    }
  }

  private searchBucket(search: Search, members: worker.Worker[]): void {
    const count = members.length;
    if (count === 0) return;
    const start = count === 1 ? 0 : this.random.below(count);
    const visited = Math.min(count, SAMPLE_LIMIT - search.examined);
    for (let step = 0; step < visited; step += 1) {
      // Spread the sample over the bucket, because adjacent workers often share
      // a rack.
      const offset = Math.floor((step * count) / visited);
      const candidate = members[(start + offset) % count];
      if (!resources.fits(search.size, candidate.available)) {
        if (search.uncertain >= UNCERTAIN_SAMPLE_LIMIT) return;
        search.uncertain += 1;
      } else if (search.filter(candidate)) {
        search.found.push(candidate);
      }
      search.examined += 1;
    }
  }
}

function levelOf(dimension: resources.Dimension, amount: number): number {
  const bounds = LEVEL_BOUNDS[dimension];
  let found = 0;
  while (found < bounds.length && bounds[found] <= amount) found += 1;
  return found;
}

function bucketOf(available: resources.Resources): number {
  const row =
    levelOf('accelerators', available.accelerators) * LEVEL_COUNTS.processors +
    levelOf('processors', available.processors);
  const memory = levelOf('memory', available.memory);
  return (
    (row * LEVEL_COUNTS.memory + memory) * LEVEL_COUNTS.slots +
    levelOf('slots', available.slots)
  );
}

function rowOf(bucket: number): number {
  return Math.floor(bucket / (LEVEL_COUNTS.memory * LEVEL_COUNTS.slots));
}
