import * as ownership from './ownership.js';

/** Workers that one member hands to another. */
export interface Handover {
  readonly to: string;
  readonly workers: ReadonlyArray<string>;
}

/** Returns the workers that each of the given members owns. */
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
 * Assigns each worker without an owner to the member with the fewest workers.
 * Members that see the same table compute the same result, so that their
 * claims do not conflict.
 */
export function assignUnowned(
  workers: ReadonlyArray<string>,
  table: ownership.OwnershipTable,
  members: ReadonlyArray<string>,
): ReadonlyMap<string, string> {
  const counts = new Map<string, number>();
  for (const [member, ownedWorkers] of workersByOwner(table, members)) {
    counts.set(member, ownedWorkers.length);
  }
  const assigned = new Map<string, string>();
  for (const worker of [...workers].sort()) {
    const [nextMember] = [...counts].sort(byCountThenName)[0] ?? [];
    if (nextMember === undefined) break;
    assigned.set(worker, nextMember);
    counts.set(nextMember, (counts.get(nextMember) ?? 0) + 1);
  }
  return assigned;
}

/**
 * Returns the handovers of `self` after which the numbers of workers of all
 * members differ by one at most. Every member computes the same plan and
 * carries out its own part. Workers with the fewest tasks go first, because
 * the tasks of a worker lose their owner.
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
  for (const owner of [...workersByMember.keys()].sort()) {
    const workers = [...(workersByMember.get(owner) ?? [])].sort(
      (first, second) =>
        taskCount(second) - taskCount(first) || (first < second ? -1 : 1),
    );
    for (const worker of workers.slice(targets.get(owner))) {
      const to = receivers.shift();
      if (to === undefined || owner !== self) continue;
      plan.set(to, [...(plan.get(to) ?? []), worker]);
    }
  }
  return [...plan].map(([to, workers]) => ({to, workers}));
}

/**
 * Returns the number of workers that each member is to own. The members with
 * the most workers get the remainder, which needs the fewest moves.
 */
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

/** Returns each member below its target once for every missing worker. */
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
