import * as heldRoom from './held_room.js';
import * as placement from './placement.js';
import type * as remoteWorker from '../machines/remote_worker.js';
import type * as stepInstance from './step_instance.js';

/**
 * Room that a pass sets aside for steps which wait for their tickets. Without
 * it, less urgent steps would take the room meanwhile, and ask for tickets that
 * they can't use.
 */
export class Pledges {
  private readonly room = new heldRoom.HeldRoom('pledge');

  /** Sets room aside for `count` tasks where they would be placed. */
  pledge(
    step: stepInstance.StepInstance,
    count: number,
    workers: ReadonlyArray<remoteWorker.RemoteWorker>,
    facts: placement.WorkerFacts,
  ): void {
    const size = placement.chargedSize(step.definition);
    const untested: placement.WorkerFacts = {...facts, ticket: () => ''};
    for (let task = 0; task < count; task += 1) {
      const place = placement.pickWorker(step, workers, untested);
      if (place === undefined) return;
      this.room.hold(place.worker, size);
    }
  }

  /** Frees all room at the end of the pass. */
  release(): void {
    this.room.release();
  }
}
