import type * as job from './job.js';
import type * as stepInstance from './step_instance.js';

/** Queues of the newest configuration and those removed from earlier ones. */
export class QueueTable {
  private configuration: job.OperatorConfiguration | undefined;
  private readonly byName = new Map<string, job.Queue>();

  /** Version of the newest configuration; 0 while none is known. */
  get version(): number {
    return this.configuration?.version ?? 0;
  }

  /** Applies a configuration; returns false if it is not newer. */
  update(configuration: job.OperatorConfiguration): boolean {
    if (configuration.version <= (this.configuration?.version ?? -1)) {
      return false;
    }
    this.configuration = configuration;
    // Jobs of a removed queue continue under its last definition.
    for (const queue of configuration.queues) {
      this.byName.set(queue.name, queue);
    }
    return true;
  }

  /** Returns the newest definition of a queue. */
  find(name: string): job.Queue | undefined {
    return this.byName.get(name);
  }

  /** Returns the queue of a step's job. */
  ofStep(step: stepInstance.StepInstance): job.Queue | undefined {
    return this.byName.get(step.jobRecord.definition.queue);
  }

  /** Returns whether a configuration newer than the sender's lacks a queue. */
  isRemoved(name: string, senderVersion: number): boolean {
    const {configuration} = this;
    if (configuration === undefined) return false;
    if (configuration.version <= senderVersion) return false;
    return !configuration.queues.some(queue => queue.name === name);
  }
}
