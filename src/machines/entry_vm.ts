import * as configurationStore from '../contracts/configuration_store.js';
import * as fleet from './fleet.js';
import * as requestCoordinator from '../contracts/request_coordinator.js';
import * as result from '../result.js';
import * as retryBudget from '../contracts/retry_budget.js';
import * as requestScheduler from '../contracts/request_scheduler.js';
import * as schedulerEffects from '../contracts/scheduler_effects.js';
import * as schedulerQueue from '../contracts/scheduler_queue.js';
import * as taskRunner from './task_runner.js';
import * as zoneController from '../zones/zone_controller.js';
import * as zoneDirectory from '../zones/zone_directory.js';
import type * as clock from './clock.js';
import type * as configuration from '../contracts/configuration.js';
import * as effect from '../contracts/effect.js';
import type * as event from '../contracts/event.js';
import type * as loop from '../loop.js';
import type * as randomSource from './random_source.js';

/**
 * Time that a drain gives the requests in progress to end. After it, the workers
 * are handed over regardless. A shutdown has 30 s; the remainder is for the
 * handover.
 */
const DRAIN_TIMEOUT_MS = 20_000;

/** Identity, dependencies and log options of an entry process. */
export interface EntryVmOptions {
  readonly self: zoneController.ProcessDescription;
  readonly reader: configuration.DocumentReader;
  readonly random: randomSource.RandomSource;
  /** Log options from the settings; defaults apply when omitted. */
  readonly logOptions?: LogOptions;
}

/** Retention, read lag and append interval of the log. */
export interface LogOptions {
  readonly retentionMs?: clock.Milliseconds;
  readonly stalenessMs?: clock.Milliseconds;
  readonly appendIntervalMs?: clock.Milliseconds;
}

/**
 * Decision logic of one entry process: handles one event per turn and returns
 * the resulting effects. It reads no clock and performs no input or output.
 */
export class EntryVm implements loop.EventHandler {
  private readonly workers = new fleet.Fleet();
  private readonly zone: zoneController.ZoneController;
  private readonly documents: configurationStore.ConfigurationStore;
  private readonly directory: zoneDirectory.ZoneDirectory;
  private readonly scheduler: requestScheduler.RequestScheduler;
  private readonly queue: schedulerQueue.SchedulerQueue;
  private readonly coordinator: requestCoordinator.RequestCoordinator;
  /** Latest time at which the workers are handed over. */
  private handOverBy = Infinity;
  private handoverBegun = false;

  constructor(private readonly options: EntryVmOptions) {
    const {self, random, logOptions} = options;
    this.documents = new configurationStore.ConfigurationStore(options.reader, {
      random,
      location: self,
      retentionMs: logOptions?.retentionMs,
      appendIntervalMs: logOptions?.appendIntervalMs,
    });
    this.zone = new zoneController.ZoneController(self, this.workers, {
      logStalenessMs: logOptions?.stalenessMs,
      documents: () => this.documents.newestDocument(),
    });
    this.directory = new zoneDirectory.ZoneDirectory(self, this.zone);
    const runner = new taskRunner.TaskRunner(this.workers, this.zone);
    this.scheduler = new requestScheduler.RequestScheduler(
      this.workers,
      runner,
      this.documents,
    );
    this.queue = new schedulerQueue.SchedulerQueue(this.scheduler);
    this.coordinator = new requestCoordinator.RequestCoordinator({
      self: self.process,
      random,
      documents: this.documents,
      queue: this.queue,
      runner,
      directory: this.directory,
      workers: {
        address: name => this.workers.get(name)?.description.address,
        isGone: name =>
          this.directory.hasVmList && this.workers.get(name) === undefined,
      },
      isSuperseded: () => this.zone.isSuperseded(),
      retries: new retryBudget.RetryBudget(),
    });
  }

  /** Handles one event at local time `now` and returns the effects. */
  handle(
    handled: event.Event,
    now: clock.Milliseconds,
  ): ReadonlyArray<effect.Effect> {
    if (handled.kind === 'vmListRead') this.directory.updateVms(handled.vms);
    const isDrain = isOwnDrain(handled);
    if (isDrain) {
      this.handOverBy = Math.min(this.handOverBy, now + DRAIN_TIMEOUT_MS);
    }
    const produced = [
      // The zone is drained later, in `handOverWhenIdle`, once the requests of
      // this process have ended.
      ...(isDrain ? [] : this.zone.handle(handled, now)),
      ...this.documents.handle(handled, now),
      ...this.coordinator.handle(handled, now),
      ...this.handOverWhenIdle(now),
      ...(handled.kind === 'statusArrived' ? [this.status(handled.call)] : []),
      ...schedulerEffects.handleEvent(this.scheduler, handled, now),
    ];
    this.zone.setExpectedWait(this.scheduler.expectedWaitMs());
    return this.zone.blockWithoutPermit(produced);
  }

  /** Returns the time at which the next `timePassed` event is due. */
  nextDeadline(): clock.Milliseconds {
    return Math.min(
      this.zone.nextDeadline(),
      this.documents.nextDeadline(),
      this.coordinator.nextDeadline(),
      this.handoverBegun ? Infinity : this.handOverBy,
      this.scheduler.nextDeadline(),
    );
  }

  /**
   * Returns whether other processes have taken over this process's workers and
   * identities, so that it can make no further decisions.
   */
  isSuperseded(): boolean {
    return this.zone.isSuperseded();
  }

  /**
   * Returns whether calls can be served. While no worker of the zone has an
   * owner, calls would only wait.
   */
  private isReady(): boolean {
    if (this.coordinator.isDraining() || this.isSuperseded()) return false;
    if (this.documents.current().versions.size === 0) return false;
    return this.workers
      .all()
      .some(item => this.zone.ownerOf(item.name) !== undefined);
  }

  private handOverWhenIdle(
    now: clock.Milliseconds,
  ): ReadonlyArray<effect.Effect> {
    if (this.handOverBy === Infinity || this.handoverBegun) return [];
    this.zone.announceLeaving();
    if (!this.coordinator.isIdle() && now < this.handOverBy) return [];
    this.handoverBegun = true;
    this.zone.drain();
    return [
      effect.log('info', 'handoverBegun', {idle: this.coordinator.isIdle()}),
    ];
  }

  private status(call: event.CallNumber): effect.Effect {
    const owned = this.workers
      .all()
      .filter(item => this.zone.owns(item.name))
      .map(item => item.name);
    const content = {
      process: this.options.self.process,
      zone: this.options.self.zone,
      ownedWorkers: owned,
      documents: Object.fromEntries(this.documents.current().versions),
      waiting: this.queue.waitingCount(),
      unfinished: this.coordinator.unfinishedCount(),
      draining: this.coordinator.isDraining(),
      idle: this.coordinator.isIdle(),
      left: this.zone.hasLeft(),
      ready: this.isReady(),
      members: this.zone.members(),
    };
    const {code} = result.RESULT_CODES.ok;
    return {kind: 'answerCaller', call, reply: {code, content}};
  }
}

/** Returns whether an event drains this process rather than a worker. */
function isOwnDrain(handled: event.Event): boolean {
  return handled.kind === 'drainArrived' && handled.worker === undefined;
}
