import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as backlogCell from '../support/backlog_cell.js';
import * as jobCell from '../support/job_cell.js';
import * as randomSource from '../../src/machines/random_source.js';
import type * as adviceCache from '../../src/jobs/advice_cache.js';
import type * as job from '../../src/jobs/job.js';

const WORKER_COUNT = 12;

/** Processors of each worker, in thousandths of a core. */
const WORKER_PROCESSORS = 4_000;

const EVENT_COUNT = 250;

/** First seed and number of seeds; set the variables to run more. */
const FIRST_SEED = Number(process.env['PLACEMENT_FIRST_SEED'] ?? 1);
const SEED_COUNT = Number(process.env['PLACEMENT_SEEDS'] ?? 8);

/** Calls that the advice service takes at a time. */
const MAXIMUM_CALLS = 3;

/** Rounds of answers of the advice service after each event. */
const ADVICE_ROUNDS = 6;

const ADVISED_QUEUE: job.Queue = {
  ...jobCell.QUEUE,
  name: 'advised',
  pathPrefix: '/advised/',
  priority: 1,
  advice: {decideMs: 10, eachMs: 0, validMs: 60_000},
};

interface SubmittedStep {
  readonly queue: string;
  readonly id: string;
  readonly count: number;
  readonly processors: number;
  readonly gang: boolean;
  readonly maximumPerWorker: number | undefined;
}

/**
 * Submits, ends and cancels jobs at random, and compares what waits after each
 * event with the capacity that is left on the workers.
 */
class RandomPlacement {
  private readonly cell = new backlogCell.BacklogCell({
    workerCount: WORKER_COUNT,
    queues: [jobCell.QUEUE, ADVISED_QUEUE],
    advice: {
      accepts: () => this.pendingAnswers.length < MAXIMUM_CALLS,
      ask: (_step, workerIds) => this.ask(workerIds),
    },
  });
  private readonly pendingAnswers: Array<() => void> = [];
  private readonly random: randomSource.SeededRandom;
  private readonly steps = new Map<string, SubmittedStep>();
  private readonly processorsByJob = new Map<string, number>();
  private readonly running = new Set<number>();
  private readonly drained = new Set<string>();
  private seenStartCount = 0;

  constructor(seed: number) {
    this.random = new randomSource.SeededRandom(seed);
  }

  async run(): Promise<void> {
    await this.cell.begin();
    for (let event = 0; event < EVENT_COUNT; event += 1) {
      // So little time passes that no examination expires.
      this.cell.nowMs += 1;
      await this.injectEvent(event);
      await this.cell.runTurns();
      for (let round = 0; round < ADVICE_ROUNDS; round += 1) {
        await this.answerCalls();
      }
      this.recordStarts();
      this.checkNothingFits(event);
    }
    assert.ok(this.seenStartCount > EVENT_COUNT / 4);
  }

  private async injectEvent(event: number): Promise<void> {
    const kind = this.random.below(10);
    if (kind < 5) this.submit(event);
    else if (kind < 9) this.endRun();
    else if (this.random.below(4) > 0) await this.cancel();
    else this.drain();
  }

  private ask(
    workerIds: ReadonlyArray<string>,
  ): Promise<adviceCache.AdviceOutcome> {
    const tickets = workerIds.map(workerId => ({workerId, ticket: 'ticket'}));
    return new Promise(resolve =>
      this.pendingAnswers.push(() => resolve({kind: 'advised', tickets})),
    );
  }

  private async answerCalls(): Promise<void> {
    for (const answer of this.pendingAnswers.splice(0)) answer();
    await this.cell.runTurns();
    this.cell.scheduler.tick();
    await this.cell.runTurns();
  }

  private submit(event: number): void {
    const step: SubmittedStep = {
      id: `job${event}`,
      queue: this.random.below(2) === 0 ? 'orders' : ADVISED_QUEUE.name,
      count: 1 + this.random.below(6),
      processors: 1_000 * (1 + this.random.below(4)),
      gang: this.random.below(4) === 0,
      maximumPerWorker: this.random.below(4) === 0 ? 1 : undefined,
    };
    this.steps.set(step.id, step);
    this.processorsByJob.set(step.id, step.processors);
    const {id, count, processors, gang, maximumPerWorker} = step;
    const size = {processors, memory: 1, accelerators: 0, slots: 1};
    const definition = this.cell.jobOf(id, {
      count,
      size,
      gang,
      maximumPerWorker,
    });
    jobCell.submit(this.cell.scheduler, {...definition, queue: step.queue});
  }

  private endRun(): void {
    const index = this.pick([...this.running]);
    if (index === undefined) return;
    const ended = this.cell.workers.starts[index];
    this.running.delete(index);
    this.cell.workers.endRun(ended);
    // The end of one member completes a gang.
    const id = this.idOf(index);
    if (this.steps.get(id)?.gang === true) this.steps.delete(id);
  }

  private async cancel(): Promise<void> {
    const id = this.pick([...this.steps.keys()]);
    const step = this.steps.get(id ?? '');
    if (id === undefined || step === undefined) return;
    this.cell.scheduler.cancel(step.queue, id, () => {});
    this.steps.delete(id);
    await this.cell.runTurns();
  }

  private drain(): void {
    if (this.drained.size > WORKER_COUNT / 4) return;
    const id = `w${this.random.below(WORKER_COUNT)}`;
    this.drained.add(id);
    this.cell.drain(id);
  }

  private recordStarts(): void {
    const {starts} = this.cell.workers;
    for (; this.seenStartCount < starts.length; this.seenStartCount += 1) {
      this.running.add(this.seenStartCount);
    }
  }

  /** Fails if a waiting step fits the workers' free capacity. */
  private checkNothingFits(event: number): void {
    for (const step of this.steps.values()) {
      const started = this.startedTasksOf(step.id).size;
      if (started === step.count) continue;
      const fitting = this.countFittingTasks(step);
      const needed = step.gang ? step.count : 1;
      assert.ok(
        fitting < needed,
        `after event ${event} ${step.id} waits although ${fitting} tasks fit`,
      );
    }
  }

  private countFittingTasks(step: SubmittedStep): number {
    let fitting = 0;
    for (let index = 0; index < WORKER_COUNT; index += 1) {
      const worker = `w${index}`;
      if (this.drained.has(worker)) continue;
      const runs = [...this.running].filter(
        run => this.cell.workers.starts[run].worker === worker,
      );
      const used = runs.reduce((sum, run) => sum + this.processorsOf(run), 0);
      const fit = Math.floor((WORKER_PROCESSORS - used) / step.processors);
      const ofStep = runs.filter(run => this.idOf(run) === step.id).length;
      const limit = (step.maximumPerWorker ?? Infinity) - ofStep;
      fitting += Math.max(0, Math.min(fit, limit));
    }
    return fitting;
  }

  private startedTasksOf(id: string): ReadonlySet<string> {
    const {starts} = this.cell.workers;
    const tasks = starts.map(({task}) => task);
    return new Set(tasks.filter(task => task.startsWith(`${id}.`)));
  }

  /** Runs of cancelled jobs count until their end is reported. */
  private processorsOf(run: number): number {
    return this.processorsByJob.get(this.idOf(run)) ?? 0;
  }

  private idOf(run: number): string {
    return this.cell.workers.starts[run].task.split('.')[0];
  }

  private pick<Item>(items: ReadonlyArray<Item>): Item | undefined {
    if (items.length === 0) return undefined;
    return items[this.random.below(items.length)];
  }
}

nodeTest.describe('placement under random events', () => {
  // Guards against steps that wait although workers have room for them, because
  // a change that concerns them was missed.
  for (let index = 0; index < SEED_COUNT; index += 1) {
    const seed = FIRST_SEED + index;
    nodeTest.test(`leaves no step that fits waiting with seed ${seed}`, () =>
      new RandomPlacement(seed).run(),
    );
  }
});
