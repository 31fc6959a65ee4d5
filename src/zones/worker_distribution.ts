import * as ownership from './ownership.js';

/** Workers that one member hands to another. */
export interface Handover {
  readonly to: string;
  readonly workers: ReadonlyArray<string>;
}

/** Workers of each of some members, by the records read. */
export function workersByOwner(
  table: ownership.OwnershipTable,
  members: ReadonlyArray<string>,
): ReadonlyMap<string, ReadonlyArray<string>> {
  const workersByMember = new Map<string, string[]>();
  for (const member of members) workersByMember.set(member, []);
  for (const [item, {owner}] of table.ownershipByItem()) {
    if (ownership.isWorker(item)) workersByMember.get(owner)?.push(item);
  }
  return workersByMember;
}

/**
 * Spreads workers without an owner over members so that those with the fewest
 * come first. Members that see the same table reach the same result, so that
 * their claims do not meet.
 */
export function assignUnowned(
  workers: ReadonlyArray<string>,
  table: ownership.OwnershipTable,
  members: ReadonlyArray<string>,
): ReadonlyMap<string, string> {
  const counts = new Map<string, number>();
  for (const [member, held] of workersByOwner(table, members)) {
    counts.set(member, held.length);
  }
  const assigned = new Map<string, string>();
  for (const worker of [...workers].sort()) {
    const [next] = [...counts].sort(byCountThenName)[0] ?? [];
    if (next === undefined) break;
    assigned.set(worker, next);
    counts.set(next, (counts.get(next) ?? 0) + 1);
  }
  return assigned;
}

/**
 * Workers that `self` hands over so that all members own equally many, give or
 * take one. Every member computes the same numbers and carries out its own
 * part. Workers with the fewest tasks go first: their tasks lose their owner.
 */
export function planHandovers(
  self: string,
  table: ownership.OwnershipTable,
  members: ReadonlyArray<string>,
  taskCount: (worker: string) => number,
): ReadonlyArray<Handover> {
  const workersByMember = workersByOwner(table, members);
  const targets = targetCounts(workersByMember);
  const receivers = membersBelowTarget(workersByMember, targets);
  const plan = new Map<string, string[]>();
  for (const donor of [...workersByMember.keys()].sort()) {
    const workers = [...(workersByMember.get(donor) ?? [])].sort(
      (first, second) =>
        taskCount(second) - taskCount(first) || (first < second ? -1 : 1),
    );
    for (const worker of workers.slice(targets.get(donor))) {
      const to = receivers.shift();
      if (to === undefined || donor !== self) continue;
      plan.set(to, [...(plan.get(to) ?? []), worker]);
    }
  }
  return [...plan].map(([to, workers]) => ({to, workers}));
}

/** The members with the most workers keep the remainder: fewest moves. */
function targetCounts(
  workersByMember: ReadonlyMap<string, ReadonlyArray<string>>,
): ReadonlyMap<string, number> {
  let total = 0;
  for (const workers of workersByMember.values()) total += workers.length;
  const base = Math.floor(total / workersByMember.size);
  const remainder = total % workersByMember.size;
  const ordered = [...workersByMember]
    .map(([member, workers]) => [member, workers.length] as const)
    .sort((first, second) => byCountThenName(second, first));
  return new Map(
    ordered.map(([member], rank) => [
      member,
      rank < remainder ? base + 1 : base,
    ]),
  );
}

/** Members below their target, each as often as it lacks workers. */
function membersBelowTarget(
  workersByMember: ReadonlyMap<string, ReadonlyArray<string>>,
  targets: ReadonlyMap<string, number>,
): string[] {
  const receivers: string[] = [];
  for (const member of [...workersByMember.keys()].sort()) {
    const missingCount =
      (targets.get(member) ?? 0) - (workersByMember.get(member)?.length ?? 0);
    for (let count = 0; count < missingCount; count += 1) {
      receivers.push(member);
    }
  }
  return receivers;
}

function byCountThenName(
  first: readonly [string, number],
  second: readonly [string, number],
): number {
  return first[1] - second[1] || (first[0] < second[0] ? -1 : 1);
}
