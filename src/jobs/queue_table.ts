import type * as job from './job.js';
import type * as stepInstance from './step_instance.js';

/** The queues of the newest configuration, and of those before it. */
export class QueueTable {
  private configuration: job.OperatorConfiguration | undefined;
  private readonly byName = new Map<string, job.Queue>();

  /** Takes a configuration; false when it is not newer. */
  update(configuration: job.OperatorConfiguration): boolean {
    if (configuration.version <= (this.configuration?.version ?? -1)) {
      return false;
    }
    this.configuration = configuration;
    // Jobs of a queue that is removed run on under its last rules.
    for (const queue of configuration.queues) {
      this.byName.set(queue.name, queue);
    }
    return true;
  }

  /** The queue of a step's job. */
  ofStep(step: stepInstance.StepInstance): job.Queue | undefined {
    return this.byName.get(step.owner.definition.queue);
  }

  /** Tells whether a configuration newer than the sender's has no such queue. */
  isRemoved(name: string, senderVersion: number): boolean {
    const {configuration} = this;
    if (configuration === undefined) return false;
    if (configuration.version <= senderVersion) return false;
    return !configuration.queues.some(queue => queue.name === name);
  }
}
