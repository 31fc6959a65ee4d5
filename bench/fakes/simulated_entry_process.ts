import * as entryVm from '../../src/machines/entry_vm.js';
import * as peerFailure from '../../src/links/peer_failure.js';
import * as peerEvents from './peer_events.js';
import type * as configuration from '../../src/contracts/configuration.js';
import type * as effect from '../../src/contracts/effect.js';
import type * as event from '../../src/contracts/event.js';
import type * as loop from '../../src/loop.js';
import type * as fakeNetwork from './fake_network.js';
import type * as fakeLog from './fake_log.js';
import type * as randomSource from '../../src/machines/random_source.js';
import type * as virtualTime from './virtual_time.js';
import type * as fakeWorker from './fake_worker.js';

/** Environment that all entry processes of a run share. */
export interface Simulation {
  readonly time: virtualTime.VirtualTime;
  readonly network: fakeNetwork.FakeNetwork;
  readonly log: fakeLog.FakeLog;
  readonly workers: ReadonlyMap<string, fakeWorker.FakeWorker>;
  readonly processes: Map<string, SimulatedEntryProcess>;
  readonly random: randomSource.RandomSource;
  readonly reader: configuration.DocumentReader;
  listVms(): ReadonlyArray<event.ListedVm>;
  runTimeMs(payload: string): number;
  recordEffect(entry: SimulatedEntryProcess, effect: effect.Effect): void;
  /** Called when a process ends itself and has to be restarted. */
  processEnded(entry: SimulatedEntryProcess): void;
}

const PLATFORM_ENDPOINT: fakeNetwork.NetworkEndpoint = {
  name: 'platform',
  zone: '',
};

/** Time-out of a call that waits for the end of a task. */
const TASK_ANSWER_TIMEOUT_MS = 600_000;

/** Time-out of an offer, which its receiver may keep open. */
const OFFER_TIMEOUT_MS = 30_000;

/** Time that a forwarded call may take beyond the wait of its caller. */
const FORWARD_MARGIN_MS = 1_500;

type ReplyCallback = (reply: effect.Reply) => void;

/**
 * One incarnation of an entry process: the real decision core with fakes around
 * it and a drifting clock. It can be paused and killed.
 */
export class SimulatedEntryProcess implements fakeNetwork.NetworkEndpoint {
  private readonly decisionCore: loop.EventHandler;
  private readonly openCalls = new Map<event.CallNumber, ReplyCallback>();
  private readonly openPeerCalls = new Map<
    event.CallNumber,
    (answer: effect.Effect) => void
  >();
  private readonly callEvents = new Map<event.CallNumber, event.CallEvent>();
  private readonly deferredActions: Array<() => void> = [];
  private nextCall = 1;
  private timerDueMs = Infinity;
  private paused = false;
  alive = true;

  constructor(
    readonly name: string,
    readonly vm: string,
    readonly zone: string,
    private readonly clock: virtualTime.DriftingClock,
    private readonly simulation: Simulation,
  ) {
    this.decisionCore = new entryVm.EntryVm({
      self: {process: name, vm, zone, region: zone, address: vm},
      reader: simulation.reader,
      random: simulation.random,
    });
  }

  /** Runs the first turn of the decision core. */
  boot(): void {
    this.handleEvent({kind: 'timePassed'});
  }

  /** Ends the process at once and drops its deferred actions. */
  kill(): void {
    this.alive = false;
    this.deferredActions.length = 0;
    this.simulation.processes.delete(this.name);
  }

  /** Pauses the process; its actions are deferred until it resumes. */
  pause(): void {
    this.paused = true;
  }

  /** Resumes a paused process and runs its deferred actions. */
  resume(): void {
    this.paused = false;
    const actions = this.deferredActions.splice(0);
    for (const action of actions) this.whenRunning(action);
  }

  /** Delivers a call of a client. */
  receive(
    buildEvent: (call: event.CallNumber) => event.CallEvent,
    reply: ReplyCallback,
  ): void {
    this.whenRunning(() => {
      const call = this.allocateCall();
      const callEvent = buildEvent(call);
      this.openCalls.set(call, reply);
      this.callEvents.set(call, callEvent);
      this.runTurn(callEvent);
    });
  }

  /** Delivers a call of another process. */
  receivePeer(
    buildEvent: (call: event.CallNumber) => event.PeerEvent,
    reply: (answer: effect.Effect) => void,
  ): void {
    this.whenRunning(() => {
      const call = this.allocateCall();
      this.openPeerCalls.set(call, reply);
      this.runTurn(buildEvent(call));
    });
  }

  private allocateCall(): event.CallNumber {
    const call = this.nextCall;
    this.nextCall += 1;
    return call;
  }

  private handleEvent(posted: event.Event): void {
    this.whenRunning(() => this.runTurn(posted));
  }

  private whenRunning(action: () => void): void {
    if (!this.alive) return;
    if (this.paused) this.deferredActions.push(action);
    else action();
  }

  private runTurn(handled: event.Event): void {
    const effects = this.decisionCore.handle(handled, this.clock.now());
    // The process may be paused between a decision and its messages.
    for (const wanted of effects) this.whenRunning(() => this.perform(wanted));
    this.armTimer();
  }

  private armTimer(): void {
    const dueMs = this.decisionCore.nextDeadline(this.clock.now());
    if (dueMs === Infinity || dueMs === this.timerDueMs) return;
    this.timerDueMs = dueMs;
    const waitMs = Math.max(1, this.clock.until(dueMs));
    this.simulation.time.after(waitMs, () => {
      if (this.timerDueMs !== dueMs) return;
      this.timerDueMs = Infinity;
      this.handleEvent({kind: 'timePassed'});
    });
  }

  private perform(wanted: effect.Effect): void {
    switch (wanted.kind) {
      case 'startTask':
      case 'renewLeases':
      case 'stopTask':
      case 'checkpointTask':
      case 'fetchTaskAnswer':
      case 'throttleTask':
      case 'readReport':
        this.performOnWorker(wanted);
        return;
      case 'append':
      case 'readStream':
      case 'readVmList':
        this.performOnPlatform(wanted);
        return;
      case 'answerCaller':
        this.openCalls.get(wanted.call)?.(wanted.reply);
        this.openCalls.delete(wanted.call);
        this.callEvents.delete(wanted.call);
        return;
      case 'answerConfirm':
      case 'answerOffer':
      case 'answerWithdraw':
      case 'answerDocuments':
      case 'answerWitness':
      case 'answerReadWitness':
        this.openPeerCalls.get(wanted.call)?.(wanted);
        this.openPeerCalls.delete(wanted.call);
        return;
      case 'count':
      case 'observe':
      case 'log':
        this.simulation.recordEffect(this, wanted);
        return;
      case 'endProcess':
        this.simulation.processEnded(this);
        return;
      default:
        this.performOnPeer(wanted);
    }
  }

  private performOnWorker(wanted: effect.WorkerEffect): void {
    const target = this.simulation.workers.get(wanted.worker);
    const onLost = (): void => this.handleLostWorkerAnswer(wanted);
    const endpoint = {name: wanted.worker, zone: target?.zone ?? this.zone};
    const timeoutMs =
      wanted.kind === 'fetchTaskAnswer' ? TASK_ANSWER_TIMEOUT_MS : undefined;
    this.simulation.network.call<event.Event | undefined>(
      this,
      endpoint,
      respond => {
        if (target === undefined || target.dead) return;
        this.serveOnWorker(wanted, target, respond);
      },
      answer => {
        if (answer !== undefined) this.handleEvent(answer);
      },
      onLost,
      timeoutMs,
    );
  }

  private serveOnWorker(
    wanted: effect.WorkerEffect,
    target: fakeWorker.FakeWorker,
    respond: (answer: event.Event | undefined) => void,
  ): void {
    const name = target.name;
    switch (wanted.kind) {
      case 'startTask': {
        const runTimeMs = this.simulation.runTimeMs(wanted.start.payload);
        const started = target.start(wanted.start, runTimeMs);
        respond({
          kind: 'startAnswered',
          worker: name,
          task: wanted.start.task,
          answer: started ? 'started' : 'refused',
          detail: started ? '' : 'the lease has lapsed',
        });
        return;
      }
      case 'renewLeases':
        target.renew(wanted.tasks, wanted.leaseEnd);
        respond(undefined);
        return;
      case 'readReport':
        respond({
          kind: 'reportArrived',
          report: target.report(),
          sentAt: this.clock.now(),
        });
        return;
      case 'fetchTaskAnswer':
        target.awaitAnswer(wanted.task, ended => {
          if (ended === undefined) {
            respond({kind: 'taskAnswerLost', worker: name, task: wanted.task});
            return;
          }
          const ranToEnd =
            ended.state === 'finished' || ended.state === 'failed';
          respond({
            kind: 'taskAnswerArrived',
            worker: name,
            task: wanted.task,
            state: ranToEnd
              ? (ended.state as 'finished' | 'failed')
              : 'stopped',
            answer: ended.answer,
          });
        });
        return;
      case 'stopTask':
        target.end(wanted.task, 'stopped');
        respond({
          kind: 'stopAnswered',
          worker: name,
          task: wanted.task,
          done: true,
        });
        return;
      case 'checkpointTask':
        target.end(wanted.task, 'checkpointed');
        respond(undefined);
        return;
      case 'throttleTask':
        respond(undefined);
        return;
    }
  }

  private handleLostWorkerAnswer(wanted: effect.WorkerEffect): void {
    const worker = wanted.worker;
    if (wanted.kind === 'startTask') {
      this.handleEvent({
        kind: 'startAnswered',
        worker,
        task: wanted.start.task,
        answer: 'lost',
        detail: 'no answer',
      });
    } else if (wanted.kind === 'readReport') {
      this.handleEvent({kind: 'reportFailed', worker});
    } else if (wanted.kind === 'fetchTaskAnswer') {
      this.handleEvent({kind: 'taskAnswerLost', worker, task: wanted.task});
    } else if (wanted.kind === 'stopTask') {
      const {task} = wanted;
      this.handleEvent({kind: 'stopAnswered', worker, task, done: false});
    }
  }

  private performOnPlatform(wanted: effect.PlatformEffect): void {
    const sentAt = this.clock.now();
    this.simulation.network.call<event.Event>(
      this,
      PLATFORM_ENDPOINT,
      respond => {
        if (this.simulation.log.down && wanted.kind !== 'readVmList') return;
        respond(this.serveOnPlatform(wanted, sentAt));
      },
      answer => this.handleEvent(answer),
      () => this.handleLostPlatformAnswer(wanted),
    );
  }

  private serveOnPlatform(
    wanted: effect.PlatformEffect,
    sentAt: number,
  ): event.Event {
    switch (wanted.kind) {
      case 'append':
        this.simulation.log.append(wanted.stream, wanted.records);
        return {
          kind: 'appendAnswered',
          stream: wanted.stream,
          append: wanted.append,
          answer: 'appended',
        };
      case 'readStream':
        return this.simulation.log.read(wanted.stream, wanted.from, sentAt);
      case 'readVmList':
        return {kind: 'vmListRead', sentAt, vms: this.simulation.listVms()};
    }
  }

  private handleLostPlatformAnswer(wanted: effect.PlatformEffect): void {
    if (wanted.kind === 'append') {
      const {stream, append} = wanted;
      this.handleEvent({
        kind: 'appendAnswered',
        stream,
        append,
        answer: 'lost',
      });
    } else if (wanted.kind === 'readStream') {
      this.handleEvent({kind: 'readFailed', stream: wanted.stream});
    } else {
      this.handleEvent({kind: 'vmListFailed'});
    }
  }

  private performOnPeer(wanted: effect.PeerEffect): void {
    if (!('peer' in wanted)) return;
    if (wanted.kind === 'forwardCall') {
      this.forward(wanted);
      return;
    }
    const sentAt = this.clock.now();
    const peer = this.processAt(wanted.address);
    const endpoint = {name: wanted.peer, zone: peer?.zone ?? this.zone};
    this.simulation.network.call<event.Event>(
      this,
      endpoint,
      respond => {
        peer?.receivePeer(
          call => peerEvents.toPeerEvent(this.name, wanted, call),
          answer => {
            const answered = peerEvents.toAnswerEvent(wanted, answer, sentAt);
            if (answered !== undefined) respond(answered);
          },
        );
      },
      answer => this.handleEvent(answer),
      () => this.handleEvent(peerFailure.toFailureEvent(wanted)),
      wanted.kind === 'offerRequest' ? OFFER_TIMEOUT_MS : undefined,
    );
  }

  /** Returns the process on a VM, whose address survives restarts. */
  private processAt(address: string): SimulatedEntryProcess | undefined {
    return [...this.simulation.processes.values()].find(
      entry => entry.vm === address,
    );
  }

  private forward(
    wanted: Extract<effect.PeerEffect, {kind: 'forwardCall'}>,
  ): void {
    const original = this.callEvents.get(wanted.call);
    const peer = this.processAt(wanted.address);
    if (original === undefined) return;
    const waitMs = 'waitMs' in original ? original.waitMs : 0;
    const endpoint = {name: wanted.address, zone: peer?.zone ?? this.zone};
    this.simulation.network.call<effect.Reply>(
      this,
      endpoint,
      respond => peer?.receive(call => ({...original, call}), respond),
      reply =>
        this.handleEvent({
          kind: 'forwardAnswered',
          call: wanted.call,
          code: reply.code,
          body: JSON.stringify(reply),
        }),
      () => this.handleEvent({kind: 'forwardFailed', call: wanted.call}),
      waitMs + FORWARD_MARGIN_MS,
    );
  }
}
