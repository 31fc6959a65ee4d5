import type * as randomFaultKinds from './random_fault_kinds.js';
import type * as randomWorld from './random_world.js';

/** One in so many intervals leaves a command without an answer. */
const COPY_INTERVALS = 40;

/** Range of the time after which a command without an answer is carried out. */
const MINIMUM_COPY_DELAY_MS = 4_000;
const COPY_DELAY_RANGE_MS = 7_000;

/** Longest time from a worker's return until it carries the command out. */
const RETURN_LEAD_MS = 300;

/** Longest time for which a worker that comes back in place is dark. */
const MINIMUM_DARK_MS = 100;
const DARK_RANGE_MS = 700;

/** Longest time from a worker's return until the registry lists it. */
const LISTING_LAG_MS = 600;

/** Time within which a leader is lost after a command was sent. */
const LEADER_LOSS_RANGE_MS = 240;

/** Range of the duration of a cut, after which a worker counts as gone. */
const MINIMUM_CUT_MS = 5_200;
const CUT_RANGE_MS = 900;

/** Range of the time from a cut until the registry drops the worker. */
const MINIMUM_DROP_MS = 3_000;
const DROP_RANGE_MS = 500;

/** Longest time from the end of a cut until the worker writes its entry. */
const CUT_LISTING_LAG_MS = 1_500;

/** What happens around a command without an answer, between its sending and its arrival. */
export interface LateCopyScenario {
  /** Schedules the events; the command arrives at the worker after `delayMs`. */
  schedule(workerIndex: number, delayMs: number): void;
}

/** Restarts workers in place at given times. */
class WorkerRestarts {
  constructor(private readonly world: randomWorld.RandomWorld) {}

  /** Crashes a worker, and starts and lists its next incarnation later. */
  schedule(
    index: number,
    crashInMs: number,
    returnInMs: number,
    listInMs: number,
  ): void {
    const {world} = this;
    const {time} = world.cell;
    const now = time.now();
    time.runAt(now + crashInMs, () => {
      if (world.models[index].crashed) return;
      world.models[index].crash();
      time.runAt(now + returnInMs, () => world.addWorker(index, false));
      time.runAt(now + listInMs, () =>
        world.publishEntry(world.models[index].entry),
      );
    });
  }

  /** Restarts a worker shortly before a command arrives there. */
  scheduleBefore(index: number, arrivesInMs: number): void {
    const {world} = this;
    const returnInMs = arrivesInMs - 1 - world.below(RETURN_LEAD_MS);
    const darkMs = MINIMUM_DARK_MS + world.below(DARK_RANGE_MS);
    const listInMs = returnInMs + world.below(LISTING_LAG_MS);
    this.schedule(index, returnInMs - darkMs, returnInMs, listInMs);
  }
}

/** A worker that restarts twice; the second time as the command arrives. */
export class TwoRestarts implements LateCopyScenario {
  private readonly restarts: WorkerRestarts;

  constructor(private readonly world: randomWorld.RandomWorld) {
    this.restarts = new WorkerRestarts(world);
  }

  schedule(workerIndex: number, delayMs: number): void {
    const {world} = this;
    const crashInMs = 700 + world.below(delayMs - 3_500);
    const returnInMs = crashInMs + MINIMUM_DARK_MS + world.below(DARK_RANGE_MS);
    const listInMs = returnInMs + world.below(LISTING_LAG_MS);
    this.restarts.schedule(workerIndex, crashInMs, returnInMs, listInMs);
    this.restarts.scheduleBefore(workerIndex, delayMs);
  }
}

/** A leader that is lost right after it has sent the command. */
export class LeaderLoss implements LateCopyScenario {
  private readonly restarts: WorkerRestarts;

  constructor(private readonly world: randomWorld.RandomWorld) {
    this.restarts = new WorkerRestarts(world);
  }

  schedule(workerIndex: number, delayMs: number): void {
    const {world} = this;
    const {time} = world.cell;
    time.runAt(
      time.now() + 1 + world.below(LEADER_LOSS_RANGE_MS),
      () => void world.startSuccessor(),
    );
    this.restarts.scheduleBefore(workerIndex, delayMs);
  }
}

/** A worker that is cut off, and restarts behind the cut. */
export class RestartBehindCut implements LateCopyScenario {
  constructor(private readonly world: randomWorld.RandomWorld) {}

  schedule(workerIndex: number, delayMs: number): void {
    const {world} = this;
    const {time} = world.cell;
    const now = time.now();
    const cutMs = MINIMUM_CUT_MS + world.below(CUT_RANGE_MS);
    const healInMs = Math.max(
      cutMs + 1,
      delayMs - 1 - world.below(RETURN_LEAD_MS),
    );
    const cutInMs = healInMs - cutMs;
    const dropInMs = cutInMs + MINIMUM_DROP_MS + world.below(DROP_RANGE_MS);
    const listInMs = healInMs + world.below(CUT_LISTING_LAG_MS);
    time.runAt(now + cutInMs, () => {
      if (world.models[workerIndex].crashed) return;
      world.models[workerIndex].crash();
      world.addWorker(workerIndex, false);
      const model = world.models[workerIndex];
      model.partitioned = true;
      time.runAt(now + dropInMs, () => world.dropEntry(model.entry));
      time.runAt(now + healInMs, () => {
        model.partitioned = model.crashed;
      });
      time.runAt(now + listInMs, () =>
        world.publishEntry(world.models[workerIndex].entry),
      );
    });
  }
}

/** Commands without an answer, each with a scenario around it. */
export class RandomLateCopies implements randomFaultKinds.FaultKind {
  private isDue = false;
  private hasEnded = false;

  constructor(
    private readonly world: randomWorld.RandomWorld,
    private readonly scenario: LateCopyScenario,
  ) {}

  async inject(): Promise<void> {
    const {world} = this;
    const {workers} = world.cell;
    if (world.chance(COPY_INTERVALS)) this.isDue = true;
    // The usual faults draw the delays anew in each interval.
    const usualDelayMs = workers.commandDelayMs;
    workers.commandDelayMs = address =>
      this.drawDelayMs(address) ?? usualDelayMs(address);
  }

  end(): void {
    this.hasEnded = true;
  }

  private drawDelayMs(address: string): number | undefined {
    const {world} = this;
    if (!this.isDue || this.hasEnded) return undefined;
    const index = world.models.findIndex(
      ({entry}) => entry.address === address,
    );
    if (index < 0 || world.models[index].crashed) return undefined;
    this.isDue = false;
    const delayMs = MINIMUM_COPY_DELAY_MS + world.below(COPY_DELAY_RANGE_MS);
    world.noteFault(world.cell.time.now() + delayMs);
    this.scenario.schedule(index, delayMs);
    return delayMs;
  }
}
