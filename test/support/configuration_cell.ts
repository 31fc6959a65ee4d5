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

/** Retention that the keepers of a test are told. */
export const RETENTION_MS = 100_000;

type Read = Extract<event.Event, {readonly kind: 'recordsRead'}>;
type Append = Extract<effect.Effect, {readonly kind: 'append'}>;
type Reading = Extract<effect.Effect, {readonly kind: 'readStream'}>;
type Answer = Extract<effect.Effect, {readonly kind: 'answerCaller'}>;

/** Reads contents of the form `team name` or `zone,zone`. */
export class PlainReader implements configuration.DocumentReader {
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

/** A log whose records can be trimmed; the whole history stays for the test. */
export class TrimmedLog {
  readonly history: event.StreamRecord[] = [];
  appendCount = 0;
  private first = 0;

  append(records: ReadonlyArray<string>): void {
    this.appendCount += 1;
    for (const data of records) {
      this.history.push({offset: this.history.length, data});
    }
  }

  /** Answers a read of at most `limit` records. */
  read(from: number, sentAt: number, limit = 500): Read {
    const start = Math.max(from, this.first);
    return {
      kind: 'recordsRead',
      stream: configurationStore.CONFIGURATION_STREAM,
      sentAt,
      first: this.first,
      next: this.history.length,
      records: this.history.slice(start, start + limit),
    };
  }

  /** Appends the snapshot of a process that lags by `lag` records. */
  appendSnapshot(lag: number): void {
    const state = new configurationHistory.ConfigurationHistory(
      new PlainReader(),
    );
    const replica = new streamReplica.StreamReplica(state);
    const read = this.history.slice(0, Math.max(0, this.history.length - lag));
    replica.applyRecords(read);
    this.append([JSON.stringify(replica.buildSnapshot())]);
  }

  /** Drops records before `first`, whatever depends on them. */
  trim(first: number): void {
    this.first = Math.max(this.first, Math.min(first, this.history.length));
  }

  /** Drops what a snapshot that is still readable stands for. */
  trimCovered(wanted: number): void {
    let covered = this.first;
    for (const record of this.history.slice(this.first)) {
      const parsed = JSON.parse(record.data) as Record<string, unknown>;
      if (parsed['kind'] !== 'snapshot') continue;
      const through = Number(parsed['through']);
      const target = Math.min(wanted, through + 1, record.offset);
      covered = Math.max(covered, target);
    }
    this.trim(covered);
  }
}

/** A keeper with the calls that it has sent and the answers on their way. */
export class KeeperUnderTest {
  keeper: configurationStore.ConfigurationStore;
  readonly replies = new Map<event.CallNumber, effect.Reply>();
  readonly counted: string[] = [];
  private sent: Array<Append | Reading> = [];
  private arriving: event.Event[] = [];

  constructor(private readonly log: TrimmedLog) {
    this.keeper = this.create();
  }

  /** Handles one event and sorts its effects. */
  handle(handled: event.Event, now: number): ReadonlyArray<effect.Effect> {
    const done = this.keeper.handle(handled, now);
    for (const item of done) {
      if (item.kind === 'append' || item.kind === 'readStream') {
        this.sent.push(item);
      } else if (item.kind === 'answerCaller') {
        this.replies.set(item.call, (item as Answer).reply);
      } else if (item.kind === 'count') {
        this.counted.push([item.metric, ...Object.values(item.labels)].join());
      }
    }
    return done;
  }

  /** Starts again without state. */
  replace(): void {
    this.keeper = this.create();
    this.arriving = [];
  }

  /** Lets the log perform the call at a position of those sent. */
  serve(position: number, now: number, lost: boolean, limit?: number): void {
    if (this.sent.length === 0) return;
    const [call] = this.sent.splice(position % this.sent.length, 1);
    if (call.kind === 'readStream') {
      this.arriving.push(this.log.read(call.from, now, limit));
      return;
    }
    this.log.append(call.records);
    this.arriving.push({
      kind: 'appendAnswered',
      stream: call.stream,
      append: call.append,
      answer: lost ? 'lost' : 'appended',
    });
  }

  /** Delivers an answer; one that is kept arrives again later. */
  arrive(position: number, now: number, keep: boolean): void {
    if (this.arriving.length === 0) return;
    const index = position % this.arriving.length;
    const arrived = this.arriving[index];
    if (!keep) this.arriving.splice(index, 1);
    this.handle(arrived, now);
  }

  /** Reads on for some seconds with all earlier answers delivered. */
  settle(now: number, seconds = 4): number {
    let time = now;
    for (let round = 0; round < seconds; round += 1) {
      time += 1_000;
      this.handle({kind: 'timePassed'}, time);
      while (this.sent.length > 0) this.serve(0, time, false);
      while (this.arriving.length > 0) this.arrive(0, time, false);
    }
    return time;
  }

  versions(): ReadonlyMap<string, number> {
    return this.keeper.current().versions;
  }

  private create(): configurationStore.ConfigurationStore {
    return new configurationStore.ConfigurationStore(new PlainReader(), {
      location: {vm: 'own', zone: 'z-1'},
      retentionMs: RETENTION_MS,
      random: new randomSource.SeededRandom(1),
    });
  }
}
