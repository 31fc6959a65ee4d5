import * as configurationKeeper from '../contracts/configuration_keeper.js';
import * as fleet from './fleet.js';
import * as requestDesk from '../contracts/request_desk.js';
import * as result from '../result.js';
import * as retryBudget from '../contracts/retry_budget.js';
import * as scheduler from '../contracts/scheduler.js';
import * as schedulerEffects from '../contracts/scheduler_effects.js';
import * as schedulerQueue from '../contracts/scheduler_queue.js';
import * as taskRunner from './task_runner.js';
import * as zoneControl from '../zones/zone_control.js';
import * as zoneDirectory from '../zones/zone_directory.js';
import type * as clock from './clock.js';
import type * as configuration from '../contracts/configuration.js';
import type * as effects from '../contracts/effect.js';
import type * as event from '../contracts/event.js';
import type * as loop from '../loop.js';
import type * as randomSource from './random_source.js';

/** What an entry process is made with. */
export interface EntryVmParts {
  readonly self: zoneControl.ProcessDescription;
  readonly reader: configuration.DocumentReader;
  readonly random: randomSource.RandomSource;
  /** Retention and append interval of the log. */
  readonly logTerms?: configurationKeeper.KeeperOptions;
}

/**
 * The decisions of one entry process: takes one event a turn and returns the
 * effects. It reads no clock and performs no input or output.
 */
export class EntryVm implements loop.EventHandler {
  private readonly workers = new fleet.Fleet();
  private readonly zone: zoneControl.ZoneControl;
  private readonly documents: configurationKeeper.ConfigurationKeeper;
  private readonly scheduler: scheduler.Scheduler;
  private readonly directory: zoneDirectory.ZoneDirectory;
  private readonly queue: schedulerQueue.SchedulerQueue;
  private readonly desk: requestDesk.RequestDesk;

  constructor(private readonly parts: EntryVmParts) {
    const {self, random} = parts;
    this.zone = new zoneControl.ZoneControl(self, this.workers, {
      documents: () => this.documents.news(),
    });
    this.documents = new configurationKeeper.ConfigurationKeeper(parts.reader, {
      random,
      ...parts.logTerms,
    });
    this.directory = new zoneDirectory.ZoneDirectory(self, this.zone);
    const runner = new taskRunner.TaskRunner(this.workers, this.zone);
    this.scheduler = new scheduler.Scheduler(
      this.workers,
      runner,
      this.documents,
    );
    this.queue = new schedulerQueue.SchedulerQueue(this.scheduler);
    this.desk = new requestDesk.RequestDesk({
      self: self.process,
      random,
      documents: this.documents,
      queue: this.queue,
      runner,
      directory: this.directory,
      workers: {
        address: name => this.workers.get(name)?.description.address,
      },
      retries: new retryBudget.RetryBudget(),
      isSuperseded: () => this.zone.isSuperseded(),
    });
  }

  /** Handles one event at local time `now`. */
  handle(
    handled: event.Event,
    now: clock.Milliseconds,
  ): ReadonlyArray<effects.Effect> {
    if (handled.kind === 'vmListRead') this.directory.noteVms(handled.vms);
    const done = [
      ...(isOwnDrain(handled) ? [] : this.zone.handle(handled, now)),
      ...this.documents.handle(handled, now),
      ...this.desk.handle(handled, now),
      ...(handled.kind === 'statusArrived' ? [this.status(handled.call)] : []),
      ...schedulerEffects.afterEvent(this.scheduler, handled, now),
    ];
    this.zone.setExpectedWait(this.scheduler.expectedWaitMs());
    this.leaveWhenIdle();
    return this.zone.guard(done);
  }

  /** When `timePassed` is wanted next. */
  nextDeadline(): clock.Milliseconds {
    return Math.min(
      this.zone.nextDeadline(),
      this.documents.nextDeadline(),
      this.desk.nextDeadline(),
      this.scheduler.nextDeadline(),
    );
  }

  /** The workers are needed until the last request has ended. */
  private leaveWhenIdle(): void {
    if (!this.desk.isDraining()) return;
    this.zone.announceLeaving();
    if (this.desk.isIdle()) this.zone.drain();
  }

  private status(call: event.CallNumber): effects.Effect {
    const owned = this.workers
      .all()
      .filter(item => this.zone.owns(item.name))
      .map(item => item.name);
    const content = {
      process: this.parts.self.process,
      zone: this.parts.self.zone,
      ownedWorkers: owned,
      documents: Object.fromEntries(this.documents.current().versions),
      waiting: this.queue.waitingCount(),
      unfinished: this.desk.unfinishedCount(),
      draining: this.desk.isDraining(),
      idle: this.desk.isIdle(),
      left: this.zone.hasLeft(),
    };
    const {code} = result.RESULT_CODES.ok;
    return {kind: 'answerCaller', call, reply: {code, content}};
  }
}

/** Whether an event drains this process, not one of its workers. */
function isOwnDrain(handled: event.Event): boolean {
  return handled.kind === 'drainArrived' && handled.worker === undefined;
}
