import * as resources from '../machines/resources.js';
import type * as clock from '../machines/clock.js';
import type * as worker from '../machines/worker.js';

/** Time for a step to take effect before the next step. */
const MITIGATION_STEP_INTERVAL_MS = 5_000;

/** Smallest fraction of its processors that throttling leaves a task. */
const MINIMUM_THROTTLED_FRACTION = 0.5;

/** Action on a running task, with the reason for it. */
export interface Intervention {
  readonly kind: 'throttle' | 'checkpoint' | 'stop';
  readonly reason: 'reclaim' | 'overload';
  readonly worker: worker.Worker;
  readonly task: string;
  /** New limit of a throttled task; otherwise its current size. */
  readonly limit: resources.Resources;
}

const MITIGATION_STEPS = ['throttle', 'checkpoint', 'stop'] as const;

interface Mitigation {
  readonly task: string;
  readonly stepIndex: number;
  readonly nextStepAt: clock.Milliseconds;
}

/**
 * Brings an overcommitted worker back within its capacity by throttling, then
 * checkpointing, then stopping its least valuable task.
 */
export class OverloadMitigator {
  private readonly mitigations = new Map<worker.Worker, Mitigation>();

  /** Returns the next intervention for a worker that has just reported. */
  mitigate(
    target: worker.Worker,
    now: clock.Milliseconds,
  ): ReadonlyArray<Intervention> {
    if (!target.overcommitted) {
      this.mitigations.delete(target);
      return [];
    }
    const current = this.mitigations.get(target);
    if (current !== undefined && now < current.nextStepAt) return [];
    const task = this.chooseTask(current, target);
    const reservation =
      task === undefined ? undefined : target.reservations().get(task);
    if (reservation === undefined) return [];
    const sameTask = current?.task === reservation.task;
    const stepIndex = sameTask
      ? Math.min(current.stepIndex + 1, MITIGATION_STEPS.length - 1)
      : 0;
    this.mitigations.set(target, {
      task: reservation.task,
      stepIndex,
      nextStepAt: now + MITIGATION_STEP_INTERVAL_MS,
    });
    return [this.intervene(target, reservation, MITIGATION_STEPS[stepIndex])];
  }

  private chooseTask(
    current: Mitigation | undefined,
    target: worker.Worker,
  ): string | undefined {
    if (current !== undefined && target.reservations().has(current.task)) {
      return current.task;
    }
    return leastValuable(target)?.task;
  }

  private intervene(
    target: worker.Worker,
    reservation: worker.Reservation,
    kind: Intervention['kind'],
  ): Intervention {
    const limit =
      kind === 'throttle'
        ? throttledSize(target, reservation)
        : reservation.size;
    // The worker enforces the limit, so the reservation can shrink to it.
    if (kind === 'throttle') target.resize(reservation.task, limit);
    return {
      kind,
      reason: 'overload',
      worker: target,
      task: reservation.task,
      limit,
    };
  }
}

/** Prefers idempotent tasks, and among these the task of the least worth. */
function leastValuable(target: worker.Worker): worker.Reservation | undefined {
  let least: worker.Reservation | undefined;
  for (const reservation of target.reservations().values()) {
    if (least === undefined || isLessValuable(reservation, least)) {
      least = reservation;
    }
  }
  return least;
}

function isLessValuable(
  left: worker.Reservation,
  right: worker.Reservation,
): boolean {
  if (left.label.idempotent !== right.label.idempotent) {
    return left.label.idempotent;
  }
  return left.label.worth < right.label.worth;
}

/** Reduces only processors; throttling does not free memory in use. */
function throttledSize(
  target: worker.Worker,
  reservation: worker.Reservation,
): resources.Resources {
  const excess = Math.max(0, -target.free.processors);
  const floor = Math.ceil(
    reservation.size.processors * MINIMUM_THROTTLED_FRACTION,
  );
  const processors = Math.max(floor, reservation.size.processors - excess);
  return {...reservation.size, processors};
}
