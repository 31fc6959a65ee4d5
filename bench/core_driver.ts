import * as entryVm from '../src/machines/entry_vm.js';
import * as fakeLog from './fakes/fake_log.js';
import * as randomSource from '../src/machines/random_source.js';
import * as tomlDocumentReader from '../src/links/toml_document_reader.js';
import type * as effect from '../src/contracts/effect.js';
import type * as event from '../src/contracts/event.js';
import type * as loop from '../src/loop.js';
import type * as resources from '../src/machines/resources.js';
import type * as task from '../src/contracts/task.js';

/** What the driven process has around it. */
export interface CoreDriverOptions {
  readonly seed: number;
  readonly workerCount: number;
  readonly capacity: resources.Resources;
  readonly documents: ReadonlyMap<string, string>;
}

/** Time that the core spent on events of one kind. */
export interface EventCost {
  readonly count: number;
  readonly milliseconds: number;
}

interface RunningTask {
  readonly worker: string;
  readonly start: task.TaskStart;
}

/**
 * Drives one decision core with injected time and answers every effect at
 * once, so that only the core's own cost is measured.
 */
export class CoreDriver {
  private readonly core: loop.EventHandler;
  private readonly log = new fakeLog.FakeLog(1_000_000);
  private readonly eventQueue: event.Event[] = [];
  private readonly running = new Map<string, Map<string, RunningTask>>();
  private readonly costsByKind = new Map<string, EventCost>();
  private readonly effectCountsByKind = new Map<string, number>();
  private readonly effectBytesByKind = new Map<string, number>();
  private readonly replies = new Map<event.CallNumber, effect.Reply>();
  private timeMs = 0;
  private nextCall = 1;

  constructor(private readonly options: CoreDriverOptions) {
    this.core = new entryVm.EntryVm({
      self: {
        process: 'zone-a.entry-1.1',
        vm: 'entry-1',
        zone: 'zone-a',
        region: 'region-a',
        address: '127.0.0.1:1',
      },
      reader: new tomlDocumentReader.TomlDocumentReader(),
      random: new randomSource.SeededRandom(options.seed),
    });
    for (const [document, content] of options.documents) {
      const record = {
        kind: 'publish',
        document,
        baseVersion: 0,
        content,
        publication: document,
      };
      this.log.append('configuration', [JSON.stringify(record)]);
    }
  }

  /** Current injected time in milliseconds. */
  now(): number {
    return this.timeMs;
  }

  /** Lets injected time pass, with a turn whenever one is due. */
  advance(duration: number): void {
    const end = this.timeMs + duration;
    for (;;) {
      this.drain();
      const due = this.core.nextDeadline(this.timeMs);
      if (due > end) break;
      this.timeMs = Math.max(this.timeMs + 1, due);
      this.eventQueue.push({kind: 'timePassed'});
    }
    this.timeMs = end;
  }

  /** Sends a request with a reserved identity and returns the identity. */
  submit(team: string, workload: string, payload: string): string {
    const client = 'client';
    const reserve = this.allocateCall();
    this.eventQueue.push({
      kind: 'identitiesArrived',
      call: reserve,
      client,
      count: 1,
    });
    this.drain();
    const identity = this.replies.get(reserve)?.identities?.[0] ?? '';
    this.replies.clear();
    this.eventQueue.push({
      kind: 'requestArrived',
      call: this.allocateCall(),
      client,
      identity,
      submission: {team, workload, payload},
      waitMs: 0,
    });
    this.drain();
    return identity;
  }

  /** Lets the oldest `count` running tasks finish. */
  finishTasks(count: number): void {
    let left = count;
    for (const tasks of this.running.values()) {
      for (const [name, driven] of tasks) {
        if (left === 0) break;
        left -= 1;
        tasks.delete(name);
        this.eventQueue.push({
          kind: 'taskAnswerArrived',
          worker: driven.worker,
          task: name,
          state: 'finished',
          answer: 'done',
        });
      }
    }
    this.drain();
  }

  /** Tasks that run now. */
  runningCount(): number {
    let count = 0;
    for (const tasks of this.running.values()) count += tasks.size;
    return count;
  }

  /** Cost by event kind since the last reset. */
  eventCosts(): ReadonlyMap<string, EventCost> {
    return this.costsByKind;
  }

  /** Effects by kind since the last reset. */
  effectCounts(): ReadonlyMap<string, number> {
    return this.effectCountsByKind;
  }

  /** Bytes of the JSON of the effects by kind since the last reset. */
  effectBytes(): ReadonlyMap<string, number> {
    return this.effectBytesByKind;
  }

  /** Forgets costs and counts. */
  resetCosts(): void {
    this.costsByKind.clear();
    this.effectCountsByKind.clear();
    this.effectBytesByKind.clear();
  }

  private allocateCall(): event.CallNumber {
    this.nextCall += 1;
    return this.nextCall;
  }

  private drain(): void {
    for (;;) {
      const next = this.eventQueue.shift();
      if (next === undefined) return;
      const before = performance.now();
      const effects = this.core.handle(next, this.timeMs);
      const spent = performance.now() - before;
      const known = this.costsByKind.get(next.kind);
      this.costsByKind.set(next.kind, {
        count: (known?.count ?? 0) + 1,
        milliseconds: (known?.milliseconds ?? 0) + spent,
      });
      for (const wanted of effects) this.perform(wanted);
    }
  }

  private perform(wanted: effect.Effect): void {
    const count = this.effectCountsByKind.get(wanted.kind) ?? 0;
    this.effectCountsByKind.set(wanted.kind, count + 1);
    const bytes = this.effectBytesByKind.get(wanted.kind) ?? 0;
    this.effectBytesByKind.set(
      wanted.kind,
      bytes + JSON.stringify(wanted).length,
    );
    switch (wanted.kind) {
      case 'startTask':
        this.startTask(wanted.worker, wanted.start);
        return;
      case 'readReport':
        this.eventQueue.push(this.report(wanted.worker));
        return;
      case 'append':
        this.log.append(wanted.stream, wanted.records);
        this.eventQueue.push({
          kind: 'appendAnswered',
          stream: wanted.stream,
          append: wanted.append,
          answer: 'appended',
        });
        return;
      case 'readStream':
        this.eventQueue.push(
          this.log.read(wanted.stream, wanted.from, this.timeMs),
        );
        return;
      case 'readVmList':
        this.eventQueue.push({
          kind: 'vmListRead',
          sentAt: this.timeMs,
          vms: this.listVms(),
        });
        return;
      case 'answerCaller':
        this.replies.set(wanted.call, wanted.reply);
        return;
    }
  }

  private startTask(worker: string, start: task.TaskStart): void {
    const tasks = this.running.get(worker) ?? new Map<string, RunningTask>();
    tasks.set(start.task, {worker, start});
    this.running.set(worker, tasks);
    this.eventQueue.push({
      kind: 'startAnswered',
      worker,
      task: start.task,
      answer: 'started',
      detail: '',
    });
  }

  private report(worker: string): event.Event {
    const tasks = [...(this.running.get(worker)?.values() ?? [])];
    return {
      kind: 'reportArrived',
      sentAt: this.timeMs,
      report: {
        worker,
        workerClock: this.timeMs,
        capacity: this.options.capacity,
        rack: `rack-${Number(worker.split('-')[1]) >> 3}`,
        leaving: false,
        tasks: tasks.map(driven => ({
          task: driven.start.task,
          label: driven.start.label,
          state: 'running',
          size: driven.start.size,
          usage: driven.start.size,
          leaseEnd: this.timeMs + 30_000,
        })),
      },
    };
  }

  private listVms(): ReadonlyArray<event.ListedVm> {
    const vms: event.ListedVm[] = [];
    for (let index = 0; index < this.options.workerCount; index += 1) {
      vms.push({
        vm: `worker-${index}`,
        role: 'worker',
        zone: 'zone-a',
        address: `10.0.0.${index}`,
        state: 'live',
      });
    }
    return vms;
  }
}
