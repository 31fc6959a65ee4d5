import * as entryVm from '../../src/machines/entry_vm.js';
import * as peerFailure from '../../src/links/peer_failure.js';
import * as peerMessages from './peer_messages.js';
import type * as configuration from '../../src/contracts/configuration.js';
import type * as effect from '../../src/contracts/effect.js';
import type * as event from '../../src/contracts/event.js';
import type * as loop from '../../src/loop.js';
import type * as network from './network.js';
import type * as platform from './platform.js';
import type * as randomSource from '../../src/machines/random_source.js';
import type * as timeline from './timeline.js';
import type * as worker from './worker.js';

/** What every entry process of a run shares. */
export interface Surroundings {
  readonly time: timeline.Timeline;
  readonly network: network.FakeNetwork;
  readonly log: platform.FakeLog;
  readonly workers: ReadonlyMap<string, worker.FakeWorker>;
  readonly hosts: Map<string, EntryHost>;
  readonly random: randomSource.RandomSource;
  readonly reader: configuration.DocumentReader;
  listVms(): ReadonlyArray<event.ListedVm>;
  runTimeMs(payload: string): number;
  logged(host: EntryHost, effect: effect.Effect): void;
  /** Takes note of a process that has to be started again. */
  ended(host: EntryHost): void;
}

const PLATFORM: network.Place = {name: 'platform', zone: ''};

/** Longest wait for the answer of a running task. */
const ANSWER_DEADLINE_MS = 600_000;

/** Longest wait of a call that another process holds open. */
const OFFER_DEADLINE_MS = 30_000;

/** Time beyond the caller's wait that a forwarded call may take. */
const FORWARD_MARGIN_MS = 1_500;

type Reply = (reply: effect.Reply) => void;

/**
 * One incarnation of an entry process: the real decision core between fakes,
 * on its own drifting clock, which can be paused or killed.
 */
export class EntryHost implements network.Place {
  private readonly core: loop.EventHandler;
  private readonly open = new Map<event.CallNumber, Reply>();
  private readonly peerCalls = new Map<
    event.CallNumber,
    (answer: effect.Effect) => void
  >();
  private readonly callEvents = new Map<event.CallNumber, event.CallEvent>();
  private readonly held: Array<() => void> = [];
  private nextCall = 1;
  private timerDue = Infinity;
  private paused = false;
  alive = true;

  constructor(
    readonly name: string,
    readonly vm: string,
    readonly zone: string,
    private readonly clock: timeline.DriftingClock,
    private readonly around: Surroundings,
  ) {
    this.core = new entryVm.EntryVm({
      self: {process: name, vm, zone, region: zone, address: vm},
      reader: around.reader,
      random: around.random,
    });
  }

  /** Begins to work. */
  boot(): void {
    this.post({kind: 'timePassed'});
  }

  /** Ends the process at once; nothing of it remains. */
  kill(): void {
    this.alive = false;
    this.held.length = 0;
    this.around.hosts.delete(this.name);
  }

  /** Stops the process; what it was about to do is done when it resumes. */
  pause(): void {
    this.paused = true;
  }

  /** Lets a paused process go on. */
  resume(): void {
    this.paused = false;
    const actions = this.held.splice(0);
    for (const action of actions) this.whenRunning(action);
  }

  /** Hands in a caller's call. */
  receive(
    build: (call: event.CallNumber) => event.CallEvent,
    reply: Reply,
  ): void {
    this.whenRunning(() => {
      const call = this.register();
      const arrived = build(call);
      this.open.set(call, reply);
      this.callEvents.set(call, arrived);
      this.turn(arrived);
    });
  }

  /** Hands in another process's call. */
  receivePeer(
    build: (call: event.CallNumber) => event.PeerEvent,
    reply: (answer: effect.Effect) => void,
  ): void {
    this.whenRunning(() => {
      const call = this.register();
      this.peerCalls.set(call, reply);
      this.turn(build(call));
    });
  }

  private register(): event.CallNumber {
    const call = this.nextCall;
    this.nextCall += 1;
    return call;
  }

  private post(posted: event.Event): void {
    this.whenRunning(() => this.turn(posted));
  }

  private whenRunning(action: () => void): void {
    if (!this.alive) return;
    if (this.paused) this.held.push(action);
    else action();
  }

  private turn(handled: event.Event): void {
    const effects = this.core.handle(handled, this.clock.now());
    // A pause may fall between a decision and the messages it sends.
    for (const wanted of effects) this.whenRunning(() => this.perform(wanted));
    this.armTimer();
  }

  private armTimer(): void {
    const due = this.core.nextDeadline(this.clock.now());
    if (due === Infinity || due === this.timerDue) return;
    this.timerDue = due;
    const wait = Math.max(1, this.clock.until(due));
    this.around.time.after(wait, () => {
      if (this.timerDue !== due) return;
      this.timerDue = Infinity;
      this.post({kind: 'timePassed'});
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
        this.performAtWorker(wanted);
        return;
      case 'append':
      case 'readStream':
      case 'readVmList':
        this.performAtPlatform(wanted);
        return;
      case 'answerCaller':
        this.open.get(wanted.call)?.(wanted.reply);
        this.open.delete(wanted.call);
        this.callEvents.delete(wanted.call);
        return;
      case 'answerConfirm':
      case 'answerOffer':
      case 'answerWithdraw':
      case 'answerDocuments':
      case 'answerWitness':
      case 'answerReadWitness':
        this.peerCalls.get(wanted.call)?.(wanted);
        this.peerCalls.delete(wanted.call);
        return;
      case 'count':
      case 'observe':
      case 'log':
        this.around.logged(this, wanted);
        return;
      case 'endProcess':
        this.around.ended(this);
        return;
      default:
        this.performAtPeer(wanted);
    }
  }

  private performAtWorker(wanted: effect.WorkerEffect): void {
    const target = this.around.workers.get(wanted.worker);
    const lost = (): void => this.workerAnswerLost(wanted);
    const place = {name: wanted.worker, zone: target?.zone ?? this.zone};
    const deadline =
      wanted.kind === 'fetchTaskAnswer' ? ANSWER_DEADLINE_MS : undefined;
    this.around.network.call<event.Event | undefined>(
      this,
      place,
      respond => {
        if (target === undefined || target.dead) return;
        this.serveAtWorker(wanted, target, respond);
      },
      answer => {
        if (answer !== undefined) this.post(answer);
      },
      lost,
      deadline,
    );
  }

  private serveAtWorker(
    wanted: effect.WorkerEffect,
    target: worker.FakeWorker,
    respond: (answer: event.Event | undefined) => void,
  ): void {
    const name = target.name;
    switch (wanted.kind) {
      case 'startTask': {
        const runTime = this.around.runTimeMs(wanted.start.payload);
        const started = target.start(wanted.start, runTime);
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
        target.answer(wanted.task, ended => {
          if (ended === undefined) {
            respond({kind: 'taskAnswerLost', worker: name, task: wanted.task});
            return;
          }
          const ran = ended.state === 'finished' || ended.state === 'failed';
          respond({
            kind: 'taskAnswerArrived',
            worker: name,
            task: wanted.task,
            state: ran ? (ended.state as 'finished' | 'failed') : 'stopped',
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

  private workerAnswerLost(wanted: effect.WorkerEffect): void {
    const worker = wanted.worker;
    if (wanted.kind === 'startTask') {
      this.post({
        kind: 'startAnswered',
        worker,
        task: wanted.start.task,
        answer: 'lost',
        detail: 'no answer',
      });
    } else if (wanted.kind === 'readReport') {
      this.post({kind: 'reportFailed', worker});
    } else if (wanted.kind === 'fetchTaskAnswer') {
      this.post({kind: 'taskAnswerLost', worker, task: wanted.task});
    } else if (wanted.kind === 'stopTask') {
      const {task} = wanted;
      this.post({kind: 'stopAnswered', worker, task, done: false});
    }
  }

  private performAtPlatform(wanted: effect.PlatformEffect): void {
    const sentAt = this.clock.now();
    this.around.network.call<event.Event>(
      this,
      PLATFORM,
      respond => {
        if (this.around.log.down && wanted.kind !== 'readVmList') return;
        respond(this.serveAtPlatform(wanted, sentAt));
      },
      answer => this.post(answer),
      () => this.platformAnswerLost(wanted),
    );
  }

  private serveAtPlatform(
    wanted: effect.PlatformEffect,
    sentAt: number,
  ): event.Event {
    switch (wanted.kind) {
      case 'append':
        this.around.log.append(wanted.stream, wanted.records);
        return {
          kind: 'appendAnswered',
          stream: wanted.stream,
          append: wanted.append,
          answer: 'appended',
        };
      case 'readStream':
        return this.around.log.read(wanted.stream, wanted.from, sentAt);
      case 'readVmList':
        return {kind: 'vmListRead', sentAt, vms: this.around.listVms()};
    }
  }

  private platformAnswerLost(wanted: effect.PlatformEffect): void {
    if (wanted.kind === 'append') {
      const {stream, append} = wanted;
      this.post({kind: 'appendAnswered', stream, append, answer: 'lost'});
    } else if (wanted.kind === 'readStream') {
      this.post({kind: 'readFailed', stream: wanted.stream});
    } else {
      this.post({kind: 'vmListFailed'});
    }
  }

  private performAtPeer(wanted: effect.PeerEffect): void {
    if (!('peer' in wanted)) return;
    if (wanted.kind === 'forwardCall') {
      this.forward(wanted);
      return;
    }
    const sentAt = this.clock.now();
    const peer = this.hostAt(wanted.address);
    const place = {name: wanted.peer, zone: peer?.zone ?? this.zone};
    this.around.network.call<event.Event>(
      this,
      place,
      respond => {
        peer?.receivePeer(
          call => peerMessages.toPeerEvent(this.name, wanted, call),
          answer => {
            const answered = peerMessages.toAnswerEvent(wanted, answer, sentAt);
            if (answered !== undefined) respond(answered);
          },
        );
      },
      answer => this.post(answer),
      () => this.post(peerFailure.toFailureEvent(wanted)),
      wanted.kind === 'offerRequest' ? OFFER_DEADLINE_MS : undefined,
    );
  }

  /** A VM keeps its address when its process is started again. */
  private hostAt(address: string): EntryHost | undefined {
    return [...this.around.hosts.values()].find(host => host.vm === address);
  }

  private forward(
    wanted: Extract<effect.PeerEffect, {kind: 'forwardCall'}>,
  ): void {
    const original = this.callEvents.get(wanted.call);
    const peer = this.hostAt(wanted.address);
    if (original === undefined) return;
    const waitMs = 'waitMs' in original ? original.waitMs : 0;
    const place = {name: wanted.address, zone: peer?.zone ?? this.zone};
    this.around.network.call<effect.Reply>(
      this,
      place,
      respond => peer?.receive(call => ({...original, call}), respond),
      reply =>
        this.post({
          kind: 'forwardAnswered',
          call: wanted.call,
          code: reply.code,
          body: JSON.stringify(reply),
        }),
      () => this.post({kind: 'forwardFailed', call: wanted.call}),
      waitMs + FORWARD_MARGIN_MS,
    );
  }
}
