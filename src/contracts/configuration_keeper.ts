import * as configurationDocuments from './configuration_documents.js';
import * as configurationHistory from './configuration_history.js';
import * as configurationPeers from './configuration_peers.js';
import * as configurationPublications from './configuration_publications.js';
import * as effects from './effect.js';
import * as invariant from './invariant.js';
import * as result from '../result.js';
import * as snapshotSchedule from './configuration_snapshot_schedule.js';
import * as streamReplica from './stream_replica.js';
import type * as clock from '../machines/clock.js';
import type * as configuration from './configuration.js';
import type * as event from './event.js';
import type * as randomSource from '../machines/random_source.js';

/** The stream that holds the operators' documents. */
export const CONFIGURATION_STREAM = 'configuration';

/** Time between reads of the stream. */
const READ_INTERVAL_MS = 1_000;

/** Pause after an append whose answer was lost. */
const APPEND_RETRY_MS = 1_000;

/** Retention of the log's records when the settings state none: a day. */
const DEFAULT_RETENTION_MS = 86_400_000;

/** What the keeper needs to know of the log. */
export interface KeeperOptions {
  /** How long the log keeps a record. */
  readonly retentionMs?: clock.Milliseconds;
  /** Least time between two appends of this process. */
  readonly appendIntervalMs?: clock.Milliseconds;
  /** Where this process is. */
  readonly place?: configurationPeers.OwnPlace;
  /** Spreads the snapshots of the processes over time. */
  readonly random?: randomSource.RandomSource;
}

type EventOf<Kind extends event.Event['kind']> = Extract<
  event.Event,
  {readonly kind: Kind}
>;

/**
 * Keeps the documents in force. What the stream says is replayed apart from
 * what peers sent; of both, the higher version of a document is in force.
 */
export class ConfigurationKeeper {
  private readonly history: configurationHistory.ConfigurationHistory;
  private readonly replica: streamReplica.StreamReplica;
  private readonly inForce: configurationDocuments.DocumentSet;
  private readonly publications =
    new configurationPublications.ConfigurationPublications();
  private readonly snapshots: snapshotSchedule.SnapshotSchedule;
  private readonly appendIntervalMs: clock.Milliseconds;
  private configuration: configuration.Configuration;
  /** Versions that this process cannot read, so that each is reported once. */
  private readonly unusable = new Map<string, number>();
  /** Whether the documents were complete once, from the log or a peer. */
  private loaded = false;
  private caughtUpAt = -Infinity;
  private unreadableCounted = 0;
  private nextRead = 0;
  private nextAppend = 0;
  private readonly peers: configurationPeers.ConfigurationPeers;
  private appendNumber = 0;
  private appending = false;

  constructor(
    reader: configuration.DocumentReader,
    options: KeeperOptions = {},
  ) {
    this.history = new configurationHistory.ConfigurationHistory(reader);
    this.replica = new streamReplica.StreamReplica(this.history);
    this.inForce = new configurationDocuments.DocumentSet(reader);
    this.configuration = this.inForce.toConfiguration();
    this.peers = new configurationPeers.ConfigurationPeers(options.place);
    this.appendIntervalMs = options.appendIntervalMs ?? 0;
    this.snapshots = new snapshotSchedule.SnapshotSchedule(
      options.retentionMs ?? DEFAULT_RETENTION_MS,
      options.random,
    );
  }

  /** The documents in force; a new object after each change. */
  current(): configuration.Configuration {
    return this.configuration;
  }

  /** Whether requests can be judged: documents came from the log or a peer. */
  isLoaded(): boolean {
    return this.loaded;
  }

  /**
   * What a confirmation tells a peer: the newest document only. Versions are
   * offsets of one stream and a process takes over all documents of a peer at
   * once, so whoever has the newest has the others too.
   */
  news(): ReadonlyArray<event.DocumentVersion> {
    let newest: event.DocumentVersion | undefined;
    for (const [name, version] of this.configuration.versions) {
      if (newest === undefined || version > newest.version) {
        newest = {name, version};
      }
    }
    return newest === undefined ? [] : [newest];
  }

  /** Handles what concerns the documents; ignores other events. */
  handle(
    handled: event.Event,
    now: clock.Milliseconds,
  ): ReadonlyArray<effects.Effect> {
    switch (handled.kind) {
      case 'recordsRead':
        return this.read(handled, now);
      case 'appendAnswered':
        return this.appendAnswered(handled, now);
      case 'publishArrived':
        return this.publish(handled, now);
      case 'documentFetchArrived':
        return this.fetch(handled);
      case 'workloadsArrived':
        return this.listWorkloads(handled);
      case 'fetchDocumentsArrived':
        return this.answerPeer(handled);
      case 'documentsArrived':
        return this.takeFromPeer(handled);
      case 'confirmArrived':
      case 'confirmAnswered':
        return this.peers.compare(handled.status, this.inForce, now);
      case 'vmListRead':
        this.peers.noteList(handled.vms);
        return [];
      case 'timePassed':
        return this.timePassed(now);
      default:
        return [];
    }
  }

  /** When `timePassed` is wanted next. */
  nextDeadline(): clock.Milliseconds {
    const append =
      this.publications.hasUnsent() && !this.appending
        ? this.nextAppend
        : Infinity;
    return Math.min(this.nextRead, append, this.publications.nextDeadline());
  }

  private timePassed(now: clock.Milliseconds): ReadonlyArray<effects.Effect> {
    const done: effects.Effect[] = [];
    if (this.nextRead === 0) this.peers.noteLog(now);
    if (now >= this.nextRead) done.push(this.readOn(now));
    if (!this.loaded) {
      done.push(...this.peers.fetchFromListed(this.inForce, now));
    }
    done.push(...this.publications.expire(now));
    done.push(...this.append(now));
    return done;
  }

  private readOn(now: clock.Milliseconds): effects.Effect {
    this.nextRead = now + READ_INTERVAL_MS;
    return {
      kind: 'readStream',
      stream: CONFIGURATION_STREAM,
      from: this.replica.position,
    };
  }

  private read(
    handled: EventOf<'recordsRead'>,
    now: clock.Milliseconds,
  ): ReadonlyArray<effects.Effect> {
    if (handled.stream !== CONFIGURATION_STREAM) return [];
    const progress = this.replica.accept(handled);
    const done = [...this.countUnreadable(), ...this.takeFromLog()];
    done.push(...this.publications.resolve(name => this.history.outcome(name)));
    this.snapshots.observe(this.replica, now);
    switch (progress) {
      case 'behind':
        done.push(this.readOn(now));
        return done;
      case 'gap':
        done.push(effects.count('configuration_gap'));
        return done;
      case 'tail':
        this.loaded = true;
        this.caughtUpAt = Math.max(this.caughtUpAt, handled.sentAt);
        this.peers.noteLog(handled.sentAt);
        done.push(...this.judgeWaiting());
        done.push(...this.append(now));
        return done;
    }
  }

  private countUnreadable(): ReadonlyArray<effects.Effect> {
    const added = this.history.unreadableCount() - this.unreadableCounted;
    this.unreadableCounted += added;
    if (added === 0) return [];
    return [
      effects.count('configuration_unreadable', {}, added),
      effects.log('warn', 'configurationRecordUnreadable', {records: added}),
    ];
  }

  private takeFromLog(): ReadonlyArray<effects.Effect> {
    return this.takeAll(this.history.documents(), 'log');
  }

  private takeFromPeer(
    handled: EventOf<'documentsArrived'>,
  ): ReadonlyArray<effects.Effect> {
    const done = this.takeAll(handled.documents, 'peer');
    if (this.configuration.versions.size > 0) this.loaded = true;
    return done;
  }

  /** Puts in force what is newer than the versions in force. */
  private takeAll(
    documents: ReadonlyArray<event.Document>,
    source: 'log' | 'peer',
  ): ReadonlyArray<effects.Effect> {
    const newer = documents.filter(
      document =>
        configurationDocuments.isDocumentName(document.name) &&
        document.version > this.inForce.version(document.name) &&
        document.version !== this.unusable.get(document.name),
    );
    if (newer.length === 0) return [];
    const done = newer.flatMap(document => this.take(document, source));
    done.push(...this.expose());
    return done;
  }

  private take(
    document: event.Document,
    source: 'log' | 'peer',
  ): ReadonlyArray<effects.Effect> {
    const fields = {document: document.name, version: document.version, source};
    return this.inForce.read(document.name, document.content).caseOf({
      Left: fault => {
        this.unusable.set(document.name, document.version);
        const {detail} = fault;
        return [
          effects.count('document_refused', {source}),
          effects.log('warn', 'documentRefused', {...fields, detail}),
        ];
      },
      Right: parsed => {
        this.inForce.put(document, parsed);
        return [
          effects.count('document_in_force', {source}),
          effects.log('info', 'documentInForce', fields),
        ];
      },
    });
  }

  /** Shows the new documents unless one of them would fall back. */
  private expose(): ReadonlyArray<effects.Effect> {
    const next = this.inForce.toConfiguration();
    for (const [document, before] of this.configuration.versions) {
      const version = next.versions.get(document) ?? 0;
      if (version >= before) continue;
      const evidence = {document, before, version};
      return invariant.violation('versionNeverFalls', evidence);
    }
    this.configuration = next;
    return [];
  }

  private publish(
    call: EventOf<'publishArrived'>,
    now: clock.Milliseconds,
  ): ReadonlyArray<effects.Effect> {
    const {document, baseVersion, content, publication} = call;
    const fault = configurationPublications.checkPublication(call);
    if (fault !== undefined) {
      return configurationPublications.refusalEffects(call.call, fault);
    }
    const record = {
      kind: 'publish',
      document,
      baseVersion,
      content,
      publication,
    } as const;
    const reused = this.answerRepeat(call.call, record);
    if (reused !== undefined) return reused;
    if (this.publications.isFull(publication)) {
      return configurationPublications.refusalEffects(
        call.call,
        result.failure(
          'publicationUnknown',
          `publication: ${publication} was not taken, because too many wait ` +
            'for the log; publish again with the same identity',
        ),
      );
    }
    this.publications.add(call.call, record, now);
    const done = [...this.judgeWaiting(), ...this.append(now)];
    // A base that is not known here yet is judged after the next read.
    if (this.publications.unchecked().length > 0) done.push(this.readOn(now));
    return done;
  }

  /** Answers a publication whose identity was used before. */
  private answerRepeat(
    call: event.CallNumber,
    record: configurationHistory.PublishRecord,
  ): ReadonlyArray<effects.Effect> | undefined {
    const digest = configurationHistory.digestOf(record);
    const outcome = this.history.outcome(record.publication);
    const open = this.publications.record(record.publication);
    const first =
      outcome?.digest ??
      (open === undefined ? undefined : configurationHistory.digestOf(open));
    if (first !== undefined && first !== digest) {
      return configurationPublications.refusalEffects(
        call,
        result.failure(
          'identityConflict',
          `publication: ${record.publication} was used for another change`,
        ),
      );
    }
    if (outcome === undefined) return undefined;
    return configurationPublications.outcomeEffects(call, outcome);
  }

  private judgeWaiting(): ReadonlyArray<effects.Effect> {
    return this.publications
      .unchecked()
      .flatMap(waiting => this.judge(waiting));
  }

  private judge(
    waiting: configurationPublications.Unchecked,
  ): ReadonlyArray<effects.Effect> {
    const {record} = waiting;
    switch (this.judgeBase(waiting)) {
      case 'undecided':
        return [];
      case 'wrong':
        return this.refuseBase(record);
      case 'right':
        return this.judgeContent(record);
    }
  }

  private judgeBase(
    waiting: configurationPublications.Unchecked,
  ): 'right' | 'wrong' | 'undecided' {
    const {document, baseVersion} = waiting.record;
    // Had an earlier append of this record won, the replay would know it.
    if (baseVersion < this.history.version(document)) return 'wrong';
    if (!this.loaded) return 'undecided';
    const current = this.currentVersion(document);
    if (baseVersion === current) return 'right';
    // A lower base may have won by an earlier append that only a peer has
    // read; a higher one may come from a process that has read further.
    const fresh = this.caughtUpAt > waiting.arrivedAt;
    return baseVersion > current && fresh ? 'wrong' : 'undecided';
  }

  /** The higher of what the stream and the peers have shown. */
  private currentVersion(document: string): number {
    return Math.max(
      this.history.version(document),
      this.inForce.version(document),
    );
  }

  private refuseBase(
    record: configurationHistory.PublishRecord,
  ): ReadonlyArray<effects.Effect> {
    const current = this.currentVersion(record.document);
    const detail = configurationHistory.conflictDetail(record, current);
    return this.publications.refuse(
      record.publication,
      result.failure('versionConflict', detail),
    );
  }

  private judgeContent(
    record: configurationHistory.PublishRecord,
  ): ReadonlyArray<effects.Effect> {
    return this.inForce.check(record.document, record.content).caseOf({
      Left: fault => this.publications.refuse(record.publication, fault),
      Right: () => {
        this.publications.approve(record.publication);
        return [];
      },
    });
  }

  private append(now: clock.Milliseconds): ReadonlyArray<effects.Effect> {
    if (this.appending || now < this.nextAppend) return [];
    const records: string[] = [];
    const caughtUp =
      now - this.caughtUpAt < configurationPeers.LOG_HEAD_START_MS;
    if (this.snapshots.isDue(this.replica, now) && caughtUp) {
      this.snapshots.sent(now);
      records.push(JSON.stringify(this.replica.buildSnapshot()));
    }
    for (const record of this.publications.takeUnsent()) {
      records.push(JSON.stringify(record));
    }
    if (records.length === 0) return [];
    this.appending = true;
    this.appendNumber += 1;
    this.nextAppend = now + this.appendIntervalMs;
    return [
      {
        kind: 'append',
        stream: CONFIGURATION_STREAM,
        append: this.appendNumber,
        records,
      },
    ];
  }

  private appendAnswered(
    handled: EventOf<'appendAnswered'>,
    now: clock.Milliseconds,
  ): ReadonlyArray<effects.Effect> {
    if (handled.stream !== CONFIGURATION_STREAM) return [];
    if (handled.append !== this.appendNumber) return [];
    this.appending = false;
    if (handled.answer === 'appended') return [this.readOn(now)];
    this.publications.sendAgain();
    this.nextAppend = Math.max(this.nextAppend, now + APPEND_RETRY_MS);
    return [
      effects.count('retry', {reason: 'configurationAppendLost'}),
      this.readOn(now),
    ];
  }

  private fetch(
    call: EventOf<'documentFetchArrived'>,
  ): ReadonlyArray<effects.Effect> {
    const found = this.inForce.get(call.document);
    if (found !== undefined) {
      const code = result.RESULT_CODES.ok.code;
      const {content, version} = found;
      return [
        {
          kind: 'answerCaller',
          call: call.call,
          reply: {code, content, version},
        },
      ];
    }
    const refusal = this.loaded
      ? result.failure('unknownDocument', `document: no ${call.document}`)
      : result.failure('noConfiguration', 'no documents were read yet');
    return configurationPublications.refusalEffects(call.call, refusal);
  }

  private listWorkloads(
    call: EventOf<'workloadsArrived'>,
  ): ReadonlyArray<effects.Effect> {
    const teams = [...this.configuration.teams.values()];
    const content = teams.map(({name, workloads}) => ({team: name, workloads}));
    const reply = {code: result.RESULT_CODES.ok.code, content};
    return [{kind: 'answerCaller', call: call.call, reply}];
  }

  private answerPeer(
    call: EventOf<'fetchDocumentsArrived'>,
  ): ReadonlyArray<effects.Effect> {
    const have = new Map(call.have.map(item => [item.name, item.version]));
    const documents = this.inForce
      .all()
      .filter(document => document.version > (have.get(document.name) ?? 0));
    return [{kind: 'answerDocuments', call: call.call, documents}];
  }
}
