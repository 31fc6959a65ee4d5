import * as jobCell from './job_cell.js';
import type * as job from '../../src/jobs/job.js';
import type * as randomFaultKinds from './random_fault_kinds.js';
import type * as randomWorld from './random_world.js';
import type * as workerModel from '../../stand_ins/worker_model.js';

/** Response time that the serving tasks must stay below. */
export const TARGET_MS = 100;

/** Response time of a serving task without anything beside it. */
const UNDISTURBED_MS = 35;

/** Rise of the response time for each percent of a run that disturbs. */
const RISE_MS_PER_PERCENT = 0.8;

/** Interval at which the load of the serving tasks rises and falls. */
const LOAD_INTERVAL_MS = 6_000;

/** Runtime of a task that lasts; none ends by itself in a simulation. */
const LASTING_MS = 1_000_000;

const SMALL_SIZE = {processors: 100, memory: 64, accelerators: 0, slots: 1};

const SERVICE_STEP = {
  longRunning: true,
  size: SMALL_SIZE,
  estimatedRuntimeMs: LASTING_MS,
};

/** Tasks that serve their own users, on all workers. */
const SERVING = jobCell.jobOf('serving', {
  ...SERVICE_STEP,
  count: 10,
  targetMs: TARGET_MS,
  maximumPerWorker: 2,
});

/** Time before which no tasks serve: those that disturb them are placed first. */
const SERVING_FROM_MS = 5_000;

/** Tasks that use what the others leave idle, and disturb them. */
const FILLING = jobCell.jobOf('filling', {
  ...SERVICE_STEP,
  count: 8,
  usesIdleCapacity: true,
});

/** Tasks that end at once, each time. */
const FAILING = jobCell.jobOf('failing', {...SERVICE_STEP, count: 6});

const SERVICES: ReadonlyArray<job.JobDefinition> = [SERVING, FILLING, FAILING];

/** Most batches that use idle capacity. */
const FILLING_BATCH_COUNT = 3;

/**
 * Services: tasks that serve, tasks that use idle capacity and whose limits get
 * lost or are refused, and one whose tasks end at once.
 */
export class RandomServices implements randomFaultKinds.FaultKind {
  private batchCount = 0;
  private isCalm = false;
  private lastIsDelivered = true;

  constructor(private readonly world: randomWorld.RandomWorld) {
    world.taskPlans.push(({task}) => this.plan(task));
    const {workers, time} = world.cell;
    workers.throttle = async (...command) => {
      this.lastIsDelivered = !this.losesLimit();
      if (this.lastIsDelivered) return workers.deliverThrottle(...command);
      if (world.chance(2)) {
        return {kind: 'rejected', reason: 'unhealthy', clockMs: time.now()};
      }
      await time.delay(600);
      return {kind: 'unanswered', detail: 'lost'};
    };
  }

  async inject(): Promise<void> {
    const {world} = this;
    if (!world.chance(6)) return;
    for (const definition of SERVICES) {
      if (!this.isDue(definition)) continue;
      world.submitDefinition(definition);
    }
    if (this.batchCount === FILLING_BATCH_COUNT || !world.chance(8)) return;
    this.batchCount += 1;
    const step = {count: 3, size: SMALL_SIZE, usesIdleCapacity: true};
    world.submitDefinition(jobCell.jobOf(`idle${this.batchCount}`, step));
  }

  end(): void {
    this.isCalm = true;
  }

  /** Cancels all services. */
  cancel(onAnswer: (id: string, outcome: string) => void): void {
    const {scheduler, definitions} = this.world;
    for (const {id, queue} of SERVICES) {
      if (!definitions.has(id)) continue;
      scheduler?.cancel(queue, id, outcome => onAnswer(id, outcome));
    }
  }

  /**
   * Whether the next limit gets lost or is refused. In the calm phase no two in
   * a row are: a single one must not harm a serving task for long.
   */
  private losesLimit(): boolean {
    if (!this.isCalm) return this.world.chance(4);
    return this.lastIsDelivered && this.world.chance(8);
  }

  private isDue(definition: job.JobDefinition): boolean {
    if (this.world.definitions.has(definition.id)) return false;
    return (
      definition !== SERVING || this.world.cell.time.now() > SERVING_FROM_MS
    );
  }

  private plan(task: string): workerModel.PlannedRun | undefined {
    const lasting = {
      runTimeMs: LASTING_MS,
      outcome: 'done',
      lasts: true,
    } as const;
    const [id] = task.split('.');
    if (id === FILLING.id) return {...lasting, disturbs: true};
    if (id === FAILING.id) {
      return {
        ...lasting,
        runTimeMs: 60 + this.world.below(200),
        outcome: 'failed',
      };
    }
    if (id === SERVING.id) {
      return {...lasting, tailMs: percent => this.tailMs(percent)};
    }
    if (!id.startsWith('idle')) return undefined;
    const runTimeMs = 1_000 + this.world.below(2_000);
    return {runTimeMs, outcome: 'done', disturbs: true};
  }

  private tailMs(disturbingPercent: number): number {
    const interval = Math.floor(this.world.cell.time.now() / LOAD_INTERVAL_MS);
    const isLoaded = interval % 2 === 1;
    const riseMs = RISE_MS_PER_PERCENT * disturbingPercent;
    return UNDISTURBED_MS + (isLoaded ? riseMs : riseMs / 10);
  }
}
