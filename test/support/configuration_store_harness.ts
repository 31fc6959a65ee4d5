import * as either from 'purify-ts/Either';
import * as configurationHistory from '../../src/contracts/configuration_history.js';
import * as configurationStore from '../../src/contracts/configuration_store.js';
import * as randomSource from '../../src/machines/random_source.js';
import * as result from '../../src/result.js';
import * as streamReplica from '../../src/contracts/stream_replica.js';
import type * as configuration from '../../src/contracts/configuration.js';
import type * as effect from '../../src/contracts/effect.js';
import type * as event from '../../src/contracts/event.js';
import type * as team from '../../src/contracts/team.js';

/** Retention time with which the stores of a test are configured. */
export const RETENTION_MS = 100_000;

type Read = Extract<event.Event, {readonly kind: 'recordsRead'}>;
type Append = Extract<effect.Effect, {readonly kind: 'append'}>;
type ReadStream = Extract<effect.Effect, {readonly kind: 'readStream'}>;
type Answer = Extract<effect.Effect, {readonly kind: 'answerCaller'}>;

/** Parses contents of the form `team name` or `zone,zone`. */
export class PlainTextReader implements configuration.DocumentReader {
  readFleet(
    content: string,
  ): either.Either<result.Failure, configuration.FleetDefinition> {
    if (content === 'broken') return either.Left(broken());
    const zones = content.split(',').map(name => ({name, region: 'r'}));
    return either.Right({zones, workerShapes: []});
  }

  readTeam(content: string): either.Either<result.Failure, team.Team> {
    if (content === 'broken') return either.Left(broken());
    const none = {processors: 0, memory: 0, accelerators: 0, slots: 0};
    return either.Right({
      name: content.split(' ')[0],
      clients: [],
      quota: none,
      share: 1,
      queueLimit: 1,
      workloads: [],
    });
  }
}

function broken(): result.Failure {
  return result.failure('invalidDocument', 'content: must not be broken');
}

/** A log with trimmed records, which keeps the whole history for the test. */
export class TrimmedLog {
  readonly history: event.StreamRecord[] = [];
  appendCount = 0;
  private firstOffset = 0;

  append(records: ReadonlyArray<string>): void {
    this.appendCount += 1;
    for (const data of records) {
      this.history.push({offset: this.history.length, data});
    }
  }

  /** Answers a read of at most `limit` records. */
  read(from: number, sentAt: number, limit = 500): Read {
    const start = Math.max(from, this.firstOffset);
    return {
      kind: 'recordsRead',
      stream: configurationStore.CONFIGURATION_STREAM,
      sentAt,
      first: this.firstOffset,
      next: this.history.length,
      records: this.history.slice(start, start + limit),
    };
  }

  /** Appends the snapshot of a process that lags by `lag` records. */
  appendSnapshot(lag: number): void {
    const state = new configurationHistory.ConfigurationHistory(
      new PlainTextReader(),
    );
    const replica = new streamReplica.StreamReplica(state);
    const read = this.history.slice(0, Math.max(0, this.history.length - lag));
    replica.applyRecords(read);
    this.append([JSON.stringify(replica.buildSnapshot())]);
  }

  /** Trims the records before `first` without checking for a snapshot. */
  trim(first: number): void {
    this.firstOffset = Math.max(
      this.firstOffset,
      Math.min(first, this.history.length),
    );
  }

  /** Trims records that a still readable snapshot includes. */
  trimThroughSnapshot(limit: number): void {
    let firstRetained = this.firstOffset;
    for (const record of this.history.slice(this.firstOffset)) {
      const parsed = JSON.parse(record.data) as Record<string, unknown>;
      if (parsed['kind'] !== 'snapshot') continue;
      const through = Number(parsed['through']);
      const target = Math.min(limit, through + 1, record.offset);
      firstRetained = Math.max(firstRetained, target);
    }
    this.trim(firstRetained);
  }
}

/** A store with its unserved calls and the answers not delivered yet. */
export class ConfigurationStoreHarness {
  store: configurationStore.ConfigurationStore;
  readonly replies = new Map<event.CallNumber, effect.Reply>();
  readonly counts: string[] = [];
  private pendingCalls: Array<Append | ReadStream> = [];
  private pendingAnswers: event.Event[] = [];

  constructor(private readonly log: TrimmedLog) {
    this.store = this.create();
  }

  /** Handles one event and sorts its effects. */
  handle(handled: event.Event, now: number): ReadonlyArray<effect.Effect> {
    const requested = this.store.handle(handled, now);
    for (const item of requested) {
      if (item.kind === 'append' || item.kind === 'readStream') {
        this.pendingCalls.push(item);
      } else if (item.kind === 'answerCaller') {
        this.replies.set(item.call, (item as Answer).reply);
      } else if (item.kind === 'count') {
        this.counts.push([item.metric, ...Object.values(item.labels)].join());
      }
    }
    return requested;
  }

  /** Restarts the process, which loses its state. */
  restart(): void {
    this.store = this.create();
    this.pendingAnswers = [];
  }

  /** Performs the pending call at a position on the log. */
  serve(position: number, now: number, lost: boolean, limit?: number): void {
    if (this.pendingCalls.length === 0) return;
    const [call] = this.pendingCalls.splice(
      position % this.pendingCalls.length,
      1,
    );
    if (call.kind === 'readStream') {
      this.pendingAnswers.push(this.log.read(call.from, now, limit));
      return;
    }
    this.log.append(call.records);
    this.pendingAnswers.push({
      kind: 'appendAnswered',
      stream: call.stream,
      append: call.append,
      answer: lost ? 'lost' : 'appended',
    });
  }

  /** Delivers a pending answer; one that is kept is delivered again later. */
  deliver(position: number, now: number, keep: boolean): void {
    if (this.pendingAnswers.length === 0) return;
    const index = position % this.pendingAnswers.length;
    const answer = this.pendingAnswers[index];
    if (!keep) this.pendingAnswers.splice(index, 1);
    this.handle(answer, now);
  }

  /** Advances the time by some seconds and delivers all pending answers. */
  settle(now: number, seconds = 4): number {
    let time = now;
    for (let round = 0; round < seconds; round += 1) {
      time += 1_000;
      this.handle({kind: 'timePassed'}, time);
      while (this.pendingCalls.length > 0) this.serve(0, time, false);
      while (this.pendingAnswers.length > 0) this.deliver(0, time, false);
    }
    return time;
  }

  versions(): ReadonlyMap<string, number> {
    return this.store.current().versions;
  }

  private create(): configurationStore.ConfigurationStore {
    return new configurationStore.ConfigurationStore(new PlainTextReader(), {
      location: {vm: 'own', zone: 'z-1'},
      retentionMs: RETENTION_MS,
      random: new randomSource.SeededRandom(1),
    });
  }
}
