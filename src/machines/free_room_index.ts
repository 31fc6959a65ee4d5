import * as resources from './resources.js';
import type * as randomSource from './random_source.js';
import type * as worker from './worker.js';

/** Which workers a search visits first. */
export type SearchOrder = 'tightest' | 'loosest';

/** Decides whether a worker with enough room may be a candidate. */
export type CandidateFilter = (candidate: worker.Worker) => boolean;

/** Workers that one search examines at most. */
export const SAMPLE_LIMIT = 16;

/**
 * Workers that a search examines at most in buckets that may hold too little
 * room, so that half of the sample is left for buckets that surely hold it.
 */
const UNCERTAIN_LIMIT = 8;

/** Lower bounds of the levels above 0; doubling keeps the index small. */
const LEVELS: Readonly<Record<resources.Dimension, ReadonlyArray<number>>> = {
  processors: [250, 500, 1_000, 2_000, 4_000, 8_000, 16_000, 32_000],
  memory: [256, 512, 1_024, 2_048, 4_096, 8_192, 16_384, 32_768, 65_536],
  accelerators: [1, 2, 4, 8],
  slots: [1, 2, 4, 8],
};

const WIDTHS = {
  processors: LEVELS.processors.length + 1,
  memory: LEVELS.memory.length + 1,
  accelerators: LEVELS.accelerators.length + 1,
  slots: LEVELS.slots.length + 1,
} as const;

interface Place {
  readonly bucket: number;
  /** Position in the bucket; changes when another worker leaves it. */
  position: number;
}

interface Search {
  readonly size: resources.Resources;
  readonly filter: CandidateFilter;
  readonly found: worker.Worker[];
  examined: number;
  /** Examined in buckets that may hold too little room. */
  uncertain: number;
}

/**
 * Workers in buckets by free room, one level per dimension. The number of
 * buckets is fixed, so a search costs the same whatever the number of workers.
 */
export class FreeRoomIndex {
  private readonly buckets: worker.Worker[][] = [];
  private readonly places = new Map<worker.Worker, Place>();
  /** Workers per pair of levels of accelerators and processors. */
  private readonly rows: number[] = [];

  constructor(private readonly random: randomSource.RandomSource) {
    const rowCount = WIDTHS.accelerators * WIDTHS.processors;
    const bucketCount = rowCount * WIDTHS.memory * WIDTHS.slots;
    for (let row = 0; row < rowCount; row += 1) this.rows.push(0);
    for (let index = 0; index < bucketCount; index += 1) this.buckets.push([]);
  }

  /** Adds a worker or moves it to the bucket of its available room. */
  put(moved: worker.Worker): void {
    const bucket = bucketOf(moved.available);
    const place = this.places.get(moved);
    if (place?.bucket === bucket) return;
    if (place !== undefined) this.remove(moved);
    const members = this.buckets[bucket];
    this.places.set(moved, {bucket, position: members.length});
    members.push(moved);
    this.rows[rowOf(bucket)] += 1;
  }

  /** Takes a worker out; does nothing when it is not in the index. */
  remove(removed: worker.Worker): void {
    const place = this.places.get(removed);
    if (place === undefined) return;
    this.places.delete(removed);
    this.rows[rowOf(place.bucket)] -= 1;
    const members = this.buckets[place.bucket];
    const last = members.pop();
    if (last === undefined || last === removed) return;
    members[place.position] = last;
    const moved = this.places.get(last);
    if (moved !== undefined) moved.position = place.position;
  }

  /** Returns at most `SAMPLE_LIMIT` workers that have room for `size`. */
  sample(
    size: resources.Resources,
    order: SearchOrder,
    filter: CandidateFilter,
  ): ReadonlyArray<worker.Worker> {
    const search: Search = {size, filter, found: [], examined: 0, uncertain: 0};
    const firstAccelerators = level('accelerators', size.accelerators);
    const firstProcessors = level('processors', size.processors);
    for (
      let accelerators = firstAccelerators;
      accelerators < WIDTHS.accelerators;
      accelerators += 1
    ) {
      // Tasks that need no accelerator fill workers without one first.
      for (let step = firstProcessors; step < WIDTHS.processors; step += 1) {
        const processors =
          order === 'tightest'
            ? step
            : WIDTHS.processors - 1 - (step - firstProcessors);
        const row = accelerators * WIDTHS.processors + processors;
        if (this.rows[row] > 0) this.searchRow(search, row, order);
        if (search.examined >= SAMPLE_LIMIT) return search.found;
      }
    }
    return search.found;
  }

  private searchRow(search: Search, row: number, order: SearchOrder): void {
    const firstMemory = level('memory', search.size.memory);
    const firstSlots = level('slots', search.size.slots);
    for (let step = firstMemory; step < WIDTHS.memory; step += 1) {
      const memory =
        order === 'tightest' ? step : WIDTHS.memory - 1 - (step - firstMemory);
      for (let slots = firstSlots; slots < WIDTHS.slots; slots += 1) {
        const bucket = (row * WIDTHS.memory + memory) * WIDTHS.slots + slots;
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
      // Spread over the bucket, as neighbours often share a rack.
      const offset = Math.floor((step * count) / visited);
      const candidate = members[(start + offset) % count];
      if (!resources.fits(search.size, candidate.available)) {
        if (search.uncertain >= UNCERTAIN_LIMIT) return;
        search.uncertain += 1;
      } else if (search.filter(candidate)) {
        search.found.push(candidate);
      }
      search.examined += 1;
    }
  }
}

function level(dimension: resources.Dimension, amount: number): number {
  const bounds = LEVELS[dimension];
  let found = 0;
  while (found < bounds.length && bounds[found] <= amount) found += 1;
  return found;
}

function bucketOf(room: resources.Resources): number {
  const row =
    level('accelerators', room.accelerators) * WIDTHS.processors +
    level('processors', room.processors);
  const memory = level('memory', room.memory);
  return (
    (row * WIDTHS.memory + memory) * WIDTHS.slots + level('slots', room.slots)
  );
}

function rowOf(bucket: number): number {
  return Math.floor(bucket / (WIDTHS.memory * WIDTHS.slots));
}
