import * as resources from '../machines/resources.js';
import type * as clock from '../machines/clock.js';
import type * as worker from '../machines/worker.js';

/** Time that each step has to take effect before the next one. */
const STEP_MS = 5_000;

/** Fraction of its processors that a throttled task keeps at least. */
const THROTTLE_FLOOR = 0.5;

/** What is asked of a task, and why. */
export interface Intervention {
  readonly kind: 'throttle' | 'checkpoint' | 'stop';
  readonly reason: 'reclaim' | 'overload';
  readonly worker: worker.Worker;
  readonly task: string;
  /** New limit of a throttled task. */
  readonly limit: resources.Resources;
}

const STEPS = ['throttle', 'checkpoint', 'stop'] as const;

interface Relief {
  readonly task: string;
  readonly step: number;
  readonly next: clock.Milliseconds;
}

/**
 * Brings an overcommitted worker back within its capacity: its least valuable
 * task is throttled, then checkpointed, then stopped.
 */
export class OverloadRelief {
  private readonly reliefs = new Map<worker.Worker, Relief>();

  /** Returns the next step for a worker that has just reported. */
  relieve(
    target: worker.Worker,
    now: clock.Milliseconds,
  ): ReadonlyArray<Intervention> {
    if (!target.overcommitted) {
      this.reliefs.delete(target);
      return [];
    }
    const current = this.reliefs.get(target);
    if (current !== undefined && now < current.next) return [];
    const task = this.taskOf(current, target);
    const held =
      task === undefined ? undefined : target.reservations().get(task);
    if (held === undefined) return [];
    const sameTask = current?.task === held.task;
    const step = sameTask ? Math.min(current.step + 1, STEPS.length - 1) : 0;
    this.reliefs.set(target, {task: held.task, step, next: now + STEP_MS});
    return [this.intervene(target, held, STEPS[step])];
  }

  private taskOf(
    current: Relief | undefined,
    target: worker.Worker,
  ): string | undefined {
    if (current !== undefined && target.reservations().has(current.task)) {
      return current.task;
    }
    return leastValuable(target)?.task;
  }

  private intervene(
    target: worker.Worker,
    held: worker.Reservation,
    kind: Intervention['kind'],
  ): Intervention {
    const limit = kind === 'throttle' ? throttled(target, held) : held.size;
    // The worker enforces the limit, so the reservation shrinks with it.
    if (kind === 'throttle') target.resize(held.task, limit);
    return {kind, reason: 'overload', worker: target, task: held.task, limit};
  }
}

/** Tasks that may run again go first, and among them the least worth. */
function leastValuable(target: worker.Worker): worker.Reservation | undefined {
  let least: worker.Reservation | undefined;
  for (const held of target.reservations().values()) {
    if (least === undefined || isLess(held, least)) least = held;
  }
  return least;
}

function isLess(left: worker.Reservation, right: worker.Reservation): boolean {
  if (left.label.idempotent !== right.label.idempotent) {
    return left.label.idempotent;
  }
  return left.label.worth < right.label.worth;
}

/** Only processors can be throttled; memory that is in use stays in use. */
function throttled(
  target: worker.Worker,
  held: worker.Reservation,
): resources.Resources {
  const excess = Math.max(0, -target.free.processors);
  const floor = Math.ceil(held.size.processors * THROTTLE_FLOOR);
  const processors = Math.max(floor, held.size.processors - excess);
  return {...held.size, processors};
}
