import * as fleet from '../../src/machines/fleet.js';
import * as randomSource from '../../src/machines/random_source.js';
import * as requestCoordinator from '../../src/contracts/request_coordinator.js';
import * as contractSamples from './contract_samples.js';
import * as requestScheduler from '../../src/contracts/request_scheduler.js';
import * as schedulerQueue from '../../src/contracts/scheduler_queue.js';
import * as taskRunner from '../../src/machines/task_runner.js';
import type * as configuration from '../../src/contracts/configuration.js';
import type * as effect from '../../src/contracts/effect.js';
import type * as event from '../../src/contracts/event.js';
import type * as processDirectory from '../../src/contracts/process_directory.js';
import type * as task from '../../src/contracts/task.js';

/** Lead of the worker's clock over the local clock. */
const WORKER_CLOCK_OFFSET_MS = 50_000;

const QUOTA = {
  processors: 100_000,
  memory: 100_000,
  accelerators: 9,
  slots: 99,
};

const WORKLOADS = [
  contractSamples.buildWorkload(),
  contractSamples.buildWorkload({name: 'inspection', idempotent: true}),
  contractSamples.buildWorkload({name: 'pair', taskCount: 2}),
];

const DOCUMENTS: configuration.Configuration = {
  fleet: undefined,
  teams: new Map([
    [
      'dispatch',
      {
        name: 'dispatch',
        clients: ['alice', 'bob'],
        quota: QUOTA,
        share: 1,
        queueLimit: 100,
        workloads: WORKLOADS,
      },
    ],
  ]),
  versions: new Map(),
};

/** Other processes of the zone, by their state. */
export interface OtherProcesses {
  readonly live: ReadonlyArray<string>;
  readonly replaced: ReadonlyArray<string>;
}

/**
 * Drives a request coordinator with at most one worker, event by event. The log
 * acknowledges each append at once while `logAcknowledges` is true.
 */
export class CoordinatorHarness {
  now = 0;
  permitEnd = 4_000;
  logAcknowledges = true;
  hasJoined = true;
  peers: OtherProcesses = {live: [], replaced: []};
  /** All effects so far, in order. */
  readonly effects: effect.Effect[] = [];
  private readonly coordinator: requestCoordinator.RequestCoordinator;
  private nextCall = 1;

  constructor(
    readonly self = 'home',
    hasWorker = true,
  ) {
    const workers = new fleet.Fleet();
    const permits = {
      permitEnd: () => this.permitEnd,
      owns: () => true,
    };
    const runner = new taskRunner.TaskRunner(workers, permits);
    const documents = {current: () => DOCUMENTS};
    const queue = new schedulerQueue.SchedulerQueue(
      new requestScheduler.RequestScheduler(workers, runner, documents),
    );
    this.coordinator = new requestCoordinator.RequestCoordinator({
      self,
      random: new randomSource.SeededRandom(1),
      documents,
      queue,
      runner,
      directory: this.directory(),
      workers: {
        address: name => workers.get(name)?.description.address,
        isGone: () => false,
      },
      retries: {trySpend: () => true, recordSuccess: () => {}},
      isSuperseded: () => false,
    });
    if (!hasWorker) return;
    workers.ensure({name: 'worker-1', zone: 'kigali-a', address: 'w:1'});
    this.report();
  }

  /** Passes an event to the coordinator and returns its effects. */
  handle(handled: event.Event): ReadonlyArray<effect.Effect> {
    const effects = this.coordinator.handle(handled, this.now);
    this.effects.push(...effects);
    if (!this.logAcknowledges) return effects;
    const acknowledged = effects.flatMap(item => this.acknowledge(item));
    return [...effects, ...acknowledged];
  }

  advanceTime(milliseconds: number): ReadonlyArray<effect.Effect> {
    this.now += milliseconds;
    return this.handle({kind: 'timePassed'});
  }

  /** Reserves an identity; returns an empty text if that is refused. */
  reserve(client = 'alice'): string {
    const call = this.nextCallNumber();
    this.handle({kind: 'identitiesArrived', call, client, count: 1});
    return this.replyTo(call)?.identities?.[0] ?? '';
  }

  /** Submits a request whose call waits up to 60 s; returns the call number. */
  submit(
    identity: string | undefined,
    workload = 'order',
    client = 'alice',
  ): number {
    const call = this.nextCallNumber();
    const submission = {team: 'dispatch', workload, payload: 'stone'};
    const waitMs = 60_000;
    this.handle({
      kind: 'requestArrived',
      call,
      client,
      identity,
      submission,
      waitMs,
    });
    return call;
  }

  /** Makes a call about an identity; returns the call number. */
  callAbout(
    kind: 'cancelArrived' | 'explainArrived' | 'fetchArrived',
    identity: string,
    client = 'alice',
  ): number {
    const call = this.nextCallNumber();
    this.handle({kind, call, client, identity, waitMs: 0});
    return call;
  }

  /** Returns the reply to a call; undefined while the call waits. */
  replyTo(call: number): effect.Reply | undefined {
    for (const item of this.effects) {
      if (item.kind === 'answerCaller' && item.call === call) return item.reply;
    }
    return undefined;
  }

  /** Returns all effects of one kind so far. */
  effectsOfKind<Kind extends effect.Effect['kind']>(
    kind: Kind,
  ): ReadonlyArray<effect.Effect & {readonly kind: Kind}> {
    return this.effects.filter(
      (item): item is effect.Effect & {readonly kind: Kind} =>
        item.kind === kind,
    );
  }

  /** Passes the worker's answer to the start of a task to the coordinator. */
  answerStart(task: string, answer: 'started' | 'refused' | 'lost'): void {
    const worker = 'worker-1';
    this.handle({kind: 'startAnswered', worker, task, answer, detail: ''});
  }

  /** Reports the end of a task, with an answer that names its position. */
  endTask(
    task: string,
    state: Exclude<task.TaskState, 'running'> = 'finished',
  ): void {
    const worker = 'worker-1';
    const answer = `done ${task.split('/')[1].split('.')[0]}`;
    this.handle({kind: 'taskAnswerArrived', worker, task, state, answer});
  }

  report(tasks: ReadonlyArray<task.TaskReport> = []): void {
    const report = contractSamples.buildReport(
      this.now + WORKER_CLOCK_OFFSET_MS,
      tasks,
    );
    this.handle({kind: 'reportArrived', report, sentAt: this.now});
  }

  nextCallNumber(): number {
    this.nextCall += 1;
    return this.nextCall;
  }

  private acknowledge(item: effect.Effect): ReadonlyArray<effect.Effect> {
    if (item.kind !== 'append') return [];
    const {stream, append} = item;
    const answer = 'appended';
    return this.handle({kind: 'appendAnswered', stream, append, answer});
  }

  private directory(): processDirectory.ProcessDirectory {
    const isLive = (process: string): boolean =>
      this.peers.live.includes(process);
    const members = (): ReadonlyArray<processDirectory.PeerProcess> =>
      this.peers.live.map(process => ({process, address: process}));
    return {
      members,
      offerCandidates: members,
      isMember: isLive,
      address: process => (isLive(process) ? process : undefined),
      relayFor: () => undefined,
      hasJoined: () => this.hasJoined,
      hasSuccessor: process => this.peers.replaced.includes(process),
      joinedBefore: () => true,
      markUnreachable: () => {},
    };
  }
}
