import * as effects from './contracts/effect.js';
import type * as clock from './machines/clock.js';
import type * as event from './contracts/event.js';

/** Decision logic: handles one event per turn and returns its effects. */
export interface EventHandler {
  handle(
    event: event.Event,
    now: clock.Milliseconds,
  ): ReadonlyArray<effects.Effect>;
  /** Returns when the next `timePassed` event is due; Infinity for none. */
  nextDeadline(now: clock.Milliseconds): clock.Milliseconds;
}

/** Performs effects and posts their results to the loop as events. */
export interface EffectPerformer {
  perform(effect: effects.Effect): void;
}

/**
 * The only event queue of a process. Links and timers post events; each turn
 * passes one event to the handler and the resulting effects to the performer.
 * The loop runs on Node's single thread, which blocks in the poll phase of
 * Node's event loop while the queue is empty.
 */
export class Loop {
  private readonly queue: event.Event[] = [];
  private turnScheduled = false;
  private timer: NodeJS.Timeout | undefined;
  private timerDueAt = Infinity;
  private stopped = false;

  constructor(
    private readonly handler: EventHandler,
    private readonly performer: EffectPerformer,
    private readonly clock: clock.Clock,
  ) {}

  /** Queues an event and returns before it is handled. */
  post(posted: event.Event): void {
    if (this.stopped) return;
    this.queue.push(posted);
    if (this.turnScheduled) return;
    this.turnScheduled = true;
    queueMicrotask(() => this.turn());
  }

  /** Discards the queued events and ignores any further ones. */
  stop(): void {
    this.stopped = true;
    this.queue.length = 0;
    clearTimeout(this.timer);
  }

  private turn(): void {
    let position = 0;
    while (position < this.queue.length) {
      const next = this.queue[position];
      position += 1;
      this.handle(next);
    }
    this.queue.length = 0;
    this.turnScheduled = false;
    this.armTimer();
  }

  /**
   * Handles one event. An exception is counted and logged, so that it does not
   * prevent the following turns.
   */
  private handle(handled: event.Event): void {
    try {
      for (const effect of this.handler.handle(handled, this.clock.now())) {
        this.performer.perform(effect);
      }
    } catch (fault) {
      this.performer.perform(
        effects.count('turn_failed', {event: handled.kind}),
      );
      this.performer.perform(
        effects.log('error', 'turnFailed', {
          taken: handled.kind,
          fault: fault instanceof Error ? String(fault.stack) : String(fault),
        }),
      );
    }
  }

  private armTimer(): void {
    if (this.stopped) return;
    const now = this.clock.now();
    const dueAt = this.handler.nextDeadline(now);
    if (dueAt === this.timerDueAt && this.timer !== undefined) return;
    clearTimeout(this.timer);
    this.timer = undefined;
    this.timerDueAt = dueAt;
    if (dueAt === Infinity) return;
    this.timer = setTimeout(
      () => {
        this.timer = undefined;
        this.post({kind: 'timePassed'});
      },
      Math.max(1, Math.ceil(dueAt - now)),
    );
  }
}
