import * as jobCell from './job_cell.js';
import * as pausableProcess from './pausable_process.js';
import * as randomSource from '../../src/machines/random_source.js';
import * as scriptedConfigurationSource from './scripted_configuration_source.js';
import * as earlierLeases from '../../src/jobs/earlier_leases.js';
import type * as job from '../../src/jobs/job.js';
import type * as jobScheduler from '../../src/jobs/job_scheduler.js';
import type * as organisation from '../../src/jobs/organisation.js';
import type * as remoteWorker from '../../src/machines/remote_worker.js';
import type * as workerClient from '../../src/machines/worker_client.js';
import type * as workerModel from '../../stand_ins/worker_model.js';

/** Number of workers in the cell. */
export const WORKER_COUNT = 5;

/** Organisation of every other job in cells with quotas. */
export const LIMITED_ORGANISATION: organisation.Organisation = {
  name: 'limited',
  apiKeys: ['key'],
  quota: {processors: 2_000, memory: 0, accelerators: 0},
};

/** Service to which the queue moves and from which it moves back. */
const OTHER_SERVICE = 'annex';

/** Workers of the other service; the remaining ones are of the queue's own. */
const OTHER_SERVICE_WORKERS: ReadonlySet<number> = new Set([3, 4]);

interface SimulatedTerm {
  readonly scheduler: jobScheduler.JobScheduler;
  readonly proof: {until: number};
  /** When the next term began. */
  readonly replaced: {at: number};
  readonly process: pausableProcess.PausableProcess | undefined;
}

/** What became of the submissions of a job. */
interface Submissions {
  readonly count: number;
  readonly refusedCount: number;
}

/** Plan of the tasks of some jobs; undefined for other tasks. */
export type TaskPlan = (
  command: workerClient.StartCommand,
) => workerModel.PlannedRun | undefined;

/** Range of task runtimes: uniform from `minimumMs`, `rangeMs` wide. */
export interface RuntimeRange {
  readonly minimumMs: number;
  readonly rangeMs: number;
}

/** What differs between simulated cells. */
export interface WorldOptions {
  readonly seed: number;
  readonly runtimes: RuntimeRange;
  /** Whether the queue is removed, added and moved. */
  readonly changesConfiguration: boolean;
  /** Whether crashed workers come back under their id and address. */
  readonly restartsInPlace: boolean;
  /** Whether the processes of leaders can be paused. */
  readonly pausesLeaders: boolean;
  /**
   * Whether the workers tell when they were started, as on the platform. Earlier
   * seeds number the incarnations.
   */
  readonly tellsBirthTimes?: boolean;
  /** Whether every other job is of an organisation with a quota. */
  readonly hasQuotas?: boolean;
}

/** Returns the label that only one worker has. */
export function labelOf(workerIndex: number): string {
  return `w${workerIndex}`;
}

/** Jobs, workers and terms of a simulated cell, drawn from one seed. */
export class RandomWorld {
  readonly cell = new jobCell.JobCell();
  /** Accepted jobs. */
  readonly definitions = new Map<string, job.JobDefinition>();
  /** Newest incarnation of each worker. */
  readonly models: workerModel.WorkerModel[] = [];
  /** Service of the queue in each version; undefined where it was removed. */
  readonly serviceByVersion: Array<string | undefined> = [
    undefined,
    jobCell.QUEUE.service,
  ];
  /**
   * Version that was in force at the first submission of each job that was not
   * refused.
   */
  readonly submittedVersions = new Map<string, number>();
  /** Plans of jobs that are not drawn from the usual runtimes. */
  readonly taskPlans: TaskPlan[] = [];
  /** Jobs whose cancellation was acknowledged, and when. */
  readonly cancelledAtMs = new Map<string, number>();
  /** When each accepted job was accepted. */
  readonly acceptedAtMs = new Map<string, number>();
  /** Whether the store refuses records for their size. */
  hasRecordLimit = false;
  private lastFaultEndMs = 0;
  private readonly submissions = new Map<string, Submissions>();
  private readonly random: randomSource.SeededRandom;
  private newestTerm: SimulatedTerm | undefined;
  private term = 0;
  private incarnationCount = 0;

  constructor(readonly options: WorldOptions) {
    this.random = new randomSource.SeededRandom(options.seed);
    if (options.hasQuotas) this.cell.organisations = [LIMITED_ORGANISATION];
  }

  get termCount(): number {
    return this.term;
  }

  /**
   * End of the last fault: a return or a loss of a worker, a succession, or one
   * of those that `noteFault` names.
   */
  get lastFaultAtMs(): number {
    return this.lastFaultEndMs;
  }

  /** Scheduler of the newest term. */
  get scheduler(): jobScheduler.JobScheduler | undefined {
    return this.newestTerm?.scheduler;
  }

  /** Returns a whole number from 0, below a bound. */
  below(bound: number): number {
    return this.random.below(bound);
  }

  chance(oneIn: number): boolean {
    return this.random.below(oneIn) === 0;
  }

  /** Submits a job of one or two steps. */
  submit(): void {
    const id = `job${this.definitions.size}`;
    const count = 1 + this.random.below(5);
    const steps: Array<Partial<job.Step>> = [{count}];
    if (this.chance(3)) steps.push({count: 2, after: [0]});
    const definition = jobCell.jobOf(id, ...steps);
    const isLimited = this.options.hasQuotas && this.definitions.size % 2 === 0;
    this.submitDefinition(
      isLimited
        ? {...definition, organisation: LIMITED_ORGANISATION.name}
        : definition,
    );
  }

  /** Submits a job, or submits it again, to the newest scheduler. */
  submitDefinition(definition: job.JobDefinition): void {
    const {id} = definition;
    // A process that has not loaded the jobs yet does not submit any.
    if (!this.scheduler?.isServing) return;
    const {configurationVersion: version} = this.cell;
    if (this.serviceByVersion[version] === undefined) return;
    // A repeated call finds the job that an earlier one has brought.
    if (!this.submittedVersions.has(id)) {
      this.submittedVersions.set(id, version);
    }
    this.countSubmission(id, 1, 0);
    this.scheduler.submit(definition, version, outcome => {
      if (outcome.kind === 'accepted') this.accept(definition);
      if (outcome.kind !== 'refused') return;
      this.submittedVersions.delete(id);
      this.countSubmission(id, 0, 1);
    });
  }

  private accept(definition: job.JobDefinition): void {
    const {id} = definition;
    this.definitions.set(id, definition);
    if (this.acceptedAtMs.has(id)) return;
    this.acceptedAtMs.set(id, this.cell.time.now());
  }

  /** Returns whether all submissions of a job were refused. */
  isRefused(id: string): boolean {
    const submissions = this.submissions.get(id);
    if (submissions === undefined) return false;
    return submissions.refusedCount === submissions.count;
  }

  private countSubmission(id: string, count: number, refused: number): void {
    const earlier = this.submissions.get(id);
    this.submissions.set(id, {
      count: (earlier?.count ?? 0) + count,
      refusedCount: (earlier?.refusedCount ?? 0) + refused,
    });
  }

  /** Notes that a fault ends now or later. */
  noteFault(endsAtMs = this.cell.time.now()): void {
    this.lastFaultEndMs = Math.max(this.lastFaultEndMs, endsAtMs);
  }

  /** Removes the queue, adds it again, moves it or changes its timeout. */
  changeConfiguration(): void {
    const {cell} = this;
    const service = this.serviceByVersion[cell.configurationVersion];
    const isOwn = service === jobCell.QUEUE.service;
    const moved = isOwn ? OTHER_SERVICE : jobCell.QUEUE.service;
    const choices = [service ?? moved, moved, undefined];
    this.configure(
      choices[this.random.below(choices.length)],
      1_000 + this.random.below(3_000),
    );
  }

  /** Puts the next version of the configuration in force. */
  configure(service: string | undefined, timeoutMs: number): void {
    const {cell} = this;
    cell.configurationVersion += 1;
    this.serviceByVersion[cell.configurationVersion] = service;
    cell.queues =
      service === undefined ? [] : [{...jobCell.QUEUE, service, timeoutMs}];
    this.scheduler?.configure(
      scriptedConfigurationSource.configurationOf(
        cell.configurationVersion,
        cell.queues,
      ),
    );
  }

  /** Starts the next scheduler while the previous one may continue. */
  async startSuccessor(): Promise<void> {
    const now = this.cell.time.now();
    this.noteFault();
    if (this.newestTerm !== undefined) {
      const longestMs = earlierLeases.LEADERSHIP_PROOF_LIFETIME_MS;
      this.newestTerm.proof.until = now + this.random.below(longestMs);
      this.newestTerm.replaced.at = now;
    }
    this.term += 1;
    const proof = {until: Infinity};
    const replaced = {at: Infinity};
    const process = this.options.pausesLeaders
      ? new pausableProcess.PausableProcess(this.cell.time)
      : undefined;
    const successor = await this.cell.startTerm(
      this.term,
      () => this.cell.time.now() < proof.until,
      () => Math.min(this.cell.time.now(), replaced.at),
      process,
    );
    this.newestTerm = {scheduler: successor, proof, replaced, process};
  }

  /** Pauses the process of the newest scheduler. */
  pauseLeader(milliseconds: number): void {
    this.newestTerm?.process?.pause(milliseconds);
    this.noteFault(this.cell.time.now() + milliseconds);
  }

  /** Starts the next incarnation of a worker. */
  addWorker(index: number, isListed = true): void {
    this.incarnationCount += 1;
    this.noteFault();
    const port = this.options.restartsInPlace ? 1 : this.incarnationCount;
    const entry = jobCell.registryEntry(`w${index}`, {
      born: this.bornNow(),
      address: `w${index}:${port}`,
      service: this.serviceOf(index),
      labels: ['a', 'r1-1', labelOf(index)],
    });
    // The clock of an incarnation under the same id starts anew, so that the
    // deadline of a call meant for the last one lies far ahead.
    const clockStartMs = this.options.restartsInPlace
      ? this.cell.time.now()
      : 0;
    const model = this.cell.workers.add(
      entry,
      command => this.plan(command),
      clockStartMs,
    );
    this.models[index] = model;
    if (isListed) this.publishEntry(entry);
  }

  private bornNow(): number {
    if (!this.options.tellsBirthTimes) return this.incarnationCount;
    return 1 + Math.round(this.cell.time.now());
  }

  /**
   * Ends a worker that does not come back. The registry drops its entry after a
   * time without its reports.
   */
  loseWorker(index: number, dropAfterMs: number): void {
    const {time} = this.cell;
    const model = this.models[index];
    model.crash();
    this.noteFault();
    time.runAt(time.now() + dropAfterMs, () => this.dropEntry(model.entry));
  }

  private plan(command: workerClient.StartCommand): workerModel.PlannedRun {
    for (const taskPlan of this.taskPlans) {
      const planned = taskPlan(command);
      if (planned !== undefined) return planned;
    }
    const {minimumMs, rangeMs} = this.options.runtimes;
    const runTimeMs = minimumMs + this.random.below(rangeMs);
    return {runTimeMs, outcome: this.chance(60) ? 'failed' : 'done'};
  }

  private serviceOf(index: number): string {
    const isOther =
      this.options.changesConfiguration && OTHER_SERVICE_WORKERS.has(index);
    return isOther ? OTHER_SERVICE : jobCell.QUEUE.service;
  }

  /** Lists a worker in the registry. */
  publishEntry(entry: remoteWorker.RegistryEntry): void {
    this.publishEntries([...this.entriesBeside(entry), entry]);
  }

  /** Drops a worker from the registry. */
  dropEntry(entry: remoteWorker.RegistryEntry): void {
    this.publishEntries(this.entriesBeside(entry));
  }

  private entriesBeside({
    id,
  }: remoteWorker.RegistryEntry): ReadonlyArray<remoteWorker.RegistryEntry> {
    return this.cell.entries.filter(entry => entry.id !== id);
  }

  private publishEntries(
    entries: ReadonlyArray<remoteWorker.RegistryEntry>,
  ): void {
    this.cell.entries = entries;
    this.scheduler?.updateWorkers(entries);
  }
}
