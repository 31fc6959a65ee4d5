/** Quantities of resources: the capacity of a worker or the size of a task. */
export interface Resources {
  /** Thousandths of a processor. */
  readonly processors: number;
  /** Mebibytes. */
  readonly memory: number;
  /** Whole accelerators. */
  readonly accelerators: number;
  /** Concurrent tasks. */
  readonly slots: number;
}

/** Names of all dimensions, for code that treats them uniformly. */
export const DIMENSIONS = [
  'processors',
  'memory',
  'accelerators',
  'slots',
] as const;

/** One dimension of `Resources`. */
export type Dimension = (typeof DIMENSIONS)[number];

/** Zero in every dimension. */
export const NONE: Resources = {
  processors: 0,
  memory: 0,
  accelerators: 0,
  slots: 0,
};

/** Returns the sum of two quantities. */
export function add(left: Resources, right: Resources): Resources {
  return {
    processors: left.processors + right.processors,
    memory: left.memory + right.memory,
    accelerators: left.accelerators + right.accelerators,
    slots: left.slots + right.slots,
  };
}

/** Returns the difference of two quantities, which may be negative. */
export function subtract(left: Resources, right: Resources): Resources {
  return {
    processors: left.processors - right.processors,
    memory: left.memory - right.memory,
    accelerators: left.accelerators - right.accelerators,
    slots: left.slots - right.slots,
  };
}

/** Returns whether `size` is at most `available` in every dimension. */
export function fits(size: Resources, available: Resources): boolean {
  return (
    size.processors <= available.processors &&
    size.memory <= available.memory &&
    size.accelerators <= available.accelerators &&
    size.slots <= available.slots
  );
}

/** Returns the first dimension in which `size` exceeds `available`, if any. */
export function exceededDimension(
  size: Resources,
  available: Resources,
): Dimension | undefined {
  return DIMENSIONS.find(dimension => size[dimension] > available[dimension]);
}

/** Returns the maximum of both quantities per dimension. */
export function maximum(left: Resources, right: Resources): Resources {
  return {
    processors: Math.max(left.processors, right.processors),
    memory: Math.max(left.memory, right.memory),
    accelerators: Math.max(left.accelerators, right.accelerators),
    slots: Math.max(left.slots, right.slots),
  };
}

/** Returns the minimum of both quantities per dimension. */
export function minimum(left: Resources, right: Resources): Resources {
  return {
    processors: Math.min(left.processors, right.processors),
    memory: Math.min(left.memory, right.memory),
    accelerators: Math.min(left.accelerators, right.accelerators),
    slots: Math.min(left.slots, right.slots),
  };
}

/** Returns whether both quantities are equal in every dimension. */
export function equal(left: Resources, right: Resources): boolean {
  return fits(left, right) && fits(right, left);
}

/** Returns `size` multiplied by `factor` in every dimension. */
export function scale(size: Resources, factor: number): Resources {
  return {
    processors: size.processors * factor,
    memory: size.memory * factor,
    accelerators: size.accelerators * factor,
    slots: size.slots * factor,
  };
}

/** Returns how many times `size` fits into `available`. */
export function fitCount(size: Resources, available: Resources): number {
  let count = Infinity;
  for (const dimension of DIMENSIONS) {
    if (size[dimension] <= 0) continue;
    count = Math.min(count, Math.floor(available[dimension] / size[dimension]));
  }
  return Math.max(0, count);
}

/** Returns the largest share of `whole` that `part` takes in any dimension. */
export function dominantShare(part: Resources, whole: Resources): number {
  // Written out: placement calls this for each step and worker, and a loop over
  // the dimensions takes several times as long.
  return Math.max(
    shareOf(part.processors, whole.processors),
    shareOf(part.memory, whole.memory),
    shareOf(part.accelerators, whole.accelerators),
    shareOf(part.slots, whole.slots),
  );
}

function shareOf(part: number, whole: number): number {
  if (part <= 0) return 0;
  return whole <= 0 ? Infinity : part / whole;
}

/** Returns the maximum per dimension, rounded up to whole units. */
export function roundedUpMaximum(left: Resources, right: Resources): Resources {
  const larger = maximum(left, right);
  return {
    processors: Math.ceil(larger.processors),
    memory: Math.ceil(larger.memory),
    accelerators: Math.ceil(larger.accelerators),
    slots: Math.ceil(larger.slots),
  };
}
