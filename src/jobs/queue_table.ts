import * as util from 'node:util';
import type * as job from './job.js';
import type * as jobJournal from './job_journal.js';
import type * as stepInstance from './step_instance.js';

/**
 * Queues of the newest configuration and those removed from earlier ones. Jobs
 * of a removed queue continue under its last definition, also in later terms:
 * the definition of each queue with jobs is stored in the journal.
 */
export class QueueTable {
  private configuration: job.OperatorConfiguration | undefined;
  private readonly byName = new Map<string, jobJournal.StoredQueue>();
  /** Names of the queues whose definitions are, or will be, in the journal. */
  private readonly storedNames = new Set<string>();

  constructor(private readonly journal: jobJournal.JobJournal) {}

  /** Version of the newest configuration; 0 while none is known. */
  get version(): number {
    return this.configuration?.version ?? 0;
  }

  /** Applies a configuration; returns false if it is not newer. */
  update(configuration: job.OperatorConfiguration): boolean {
    const {version, queues} = configuration;
    if (version <= (this.configuration?.version ?? -1)) return false;
    this.configuration = configuration;
    // Of two queues with one host and path, the first serves all requests.
    for (const queue of [...queues].reverse()) this.define({version, queue});
    return true;
  }

  /**
   * Stores the definition of a queue, before the first of its jobs; one that is
   * not known yet, as soon as it is.
   */
  keep(name: string): void {
    if (this.storedNames.has(name)) return;
    this.storedNames.add(name);
    if (this.byName.has(name)) this.store(name);
  }

  /**
   * Takes over the definitions that earlier terms stored. Drops those of
   * removed queues without jobs; `usedNames` are the queues of all stored jobs.
   */
  restore(
    storedQueues: ReadonlyArray<jobJournal.StoredQueue>,
    usedNames: ReadonlySet<string>,
  ): void {
    for (const stored of storedQueues) {
      const {name} = stored.queue;
      if (this.isConfigured(name) || usedNames.has(name)) {
        this.takeOver(stored);
      } else {
        this.journal.put(queueKey(name), () => ({kind: 'queueRemoved', name}));
      }
    }
    // Earlier releases stored jobs without their queues.
    for (const name of usedNames) this.keep(name);
  }

  /**
   * Returns the name of a queue, given that or its label, by which members and
   * journals of earlier versions refer to it.
   */
  nameOf(reference: string): string {
    if (this.byName.has(reference)) return reference;
    const queues = this.configuration?.queues ?? [];
    const labelled = queues.find(({label}) => label === reference);
    return labelled?.name ?? reference;
  }

  /** Returns whether two references name one queue; see `nameOf`. */
  areSame(left: string, right: string): boolean {
    return this.nameOf(left) === this.nameOf(right);
  }

  /** Returns what the operator calls a queue. */
  labelOf(name: string): string {
    return this.find(name)?.label ?? name;
  }

  /** Returns the newest definition of a queue. */
  find(name: string): job.Queue | undefined {
    return this.byName.get(name)?.queue;
  }

  /** Returns whether a queue uses a service; true while no queue is known. */
  usesService(service: string): boolean {
    if (this.byName.size === 0) return true;
    return [...this.byName.values()].some(
      ({queue}) => queue.service === service,
    );
  }

  /** Returns the queue of a step's job. */
  ofStep(step: stepInstance.StepInstance): job.Queue | undefined {
    return this.find(step.jobRecord.definition.queue);
  }

  /** Returns whether a configuration newer than the sender's lacks a queue. */
  isRemoved(name: string, senderVersion: number): boolean {
    if (this.configuration === undefined) return false;
    return this.version > senderVersion && !this.isConfigured(name);
  }

  private isConfigured(name: string): boolean {
    const queues = this.configuration?.queues ?? [];
    return queues.some(queue => queue.name === name);
  }

  /** Uses a definition unless that of a later version is known. */
  private define({version, queue}: jobJournal.StoredQueue): void {
    const {name} = queue;
    const known = this.byName.get(name);
    if (known !== undefined && known.version > version) return;
    // An unchanged definition stays the same object, by which placement sees
    // that its results still hold. Only queues with jobs are compared.
    const hasJobs = this.storedNames.has(name);
    if (known !== undefined && hasJobs && isSameQueue(known.queue, queue)) {
      this.byName.set(name, {version, queue: known.queue});
      return;
    }
    this.byName.set(name, {version, queue});
    if (hasJobs) this.store(name);
  }

  private takeOver(stored: jobJournal.StoredQueue): void {
    const {name} = stored.queue;
    const known = this.byName.get(name);
    this.define(stored);
    this.storedNames.add(name);
    const isOutdated =
      known !== undefined &&
      known.version > stored.version &&
      !isSameQueue(known.queue, stored.queue);
    if (isOutdated) this.store(name);
  }

  private store(name: string): void {
    this.journal.put(queueKey(name), () => ({
      kind: 'queue',
      stored: this.byName.get(name) as jobJournal.StoredQueue,
    }));
  }
}

function isSameQueue(left: job.Queue, right: job.Queue): boolean {
  return util.isDeepStrictEqual(left, right);
}

function queueKey(name: string): string {
  return `queue/${name}`;
}
