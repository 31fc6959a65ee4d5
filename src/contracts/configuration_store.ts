import * as callReply from './call_reply.js';
import * as configurationDocuments from './configuration_documents.js';
import * as configurationHistory from './configuration_history.js';
import * as configurationPeerFetcher from './configuration_peer_fetcher.js';
import * as publicationTracker from './publication_tracker.js';
import * as effect from './effect.js';
import * as invariant from './invariant.js';
import * as result from '../result.js';
import * as snapshotSchedule from './snapshot_schedule.js';
import * as streamReplica from './stream_replica.js';
import type * as clock from '../machines/clock.js';
import type * as configuration from './configuration.js';
import type * as event from './event.js';
import type * as randomSource from '../machines/random_source.js';

/** Name of the stream that holds the operators' documents. */
export const CONFIGURATION_STREAM = 'configuration';

/** Time between reads of the stream. */
const READ_INTERVAL_MS = 1_000;

/** Delay of the next append after an append whose answer was lost. */
const APPEND_RETRY_DELAY_MS = 1_000;

/** Retention of the log's records if the settings state none: one day. */
const DEFAULT_RETENTION_MS = 86_400_000;

/** Options of `ConfigurationStore`, all with defaults. */
export interface ConfigurationStoreOptions {
  /** Time for which the log keeps a record. */
  readonly retentionMs?: clock.Milliseconds;
  /** Minimum time between two appends of this process. */
  readonly appendIntervalMs?: clock.Milliseconds;
  /** VM and zone of this process. */
  readonly location?: configurationPeerFetcher.ProcessLocation;
  /** Spreads the snapshots of the processes over time. */
  readonly random?: randomSource.RandomSource;
}

type EventOf<Kind extends event.Event['kind']> = Extract<
  event.Event,
  {readonly kind: Kind}
>;

/**
 * Holds the documents in force. The stream is replayed separately from the
 * documents that peers send; the higher version of a document is in force.
 */
export class ConfigurationStore {
  private readonly history: configurationHistory.ConfigurationHistory;
  private readonly replica: streamReplica.StreamReplica;
  private readonly documentsInForce: configurationDocuments.ConfigurationDocuments;
  private readonly publications = new publicationTracker.PublicationTracker();
  private readonly snapshotSchedule: snapshotSchedule.SnapshotSchedule;
  private readonly appendIntervalMs: clock.Milliseconds;
  private configuration: configuration.Configuration;
  /** Versions that this process cannot parse, so that each is reported once. */
  private readonly unreadableVersions = new Map<string, number>();
  /** Whether a complete set of documents has come from the log or a peer. */
  private isLoadedValue = false;
  private lastTailReadSentAt = -Infinity;
  private countedUnreadableRecords = 0;
  private nextReadAt = 0;
  private nextAppendAt = 0;
  private readonly peerFetcher: configurationPeerFetcher.ConfigurationPeerFetcher;
  private appendNumber = 0;
  private appendInProgress = false;

  constructor(
    reader: configuration.DocumentReader,
    options: ConfigurationStoreOptions = {},
  ) {
    this.history = new configurationHistory.ConfigurationHistory(reader);
    this.replica = new streamReplica.StreamReplica(this.history);
    this.documentsInForce = new configurationDocuments.ConfigurationDocuments(
      reader,
    );
    this.configuration = this.documentsInForce.toConfiguration();
    this.peerFetcher = new configurationPeerFetcher.ConfigurationPeerFetcher(
      options.location,
    );
    this.appendIntervalMs = options.appendIntervalMs ?? 0;
    this.snapshotSchedule = new snapshotSchedule.SnapshotSchedule(
      options.retentionMs ?? DEFAULT_RETENTION_MS,
      options.random,
    );
  }

  /** Returns the documents in force; a new object after each change. */
  current(): configuration.Configuration {
    return this.configuration;
  }

  /**
   * Returns whether documents have come from the log or a peer, without which
   * requests cannot be validated.
   */
  isLoaded(): boolean {
    return this.isLoadedValue;
  }

  /**
   * Returns the newest document, the only one that a confirmation reports.
   * Versions are offsets of one stream and a process adopts all documents of a
   * peer at once, so a process that has the newest has the others too.
   */
  newestDocument(): ReadonlyArray<event.DocumentVersion> {
    let newest: event.DocumentVersion | undefined;
    for (const [name, version] of this.configuration.versions) {
      if (newest === undefined || version > newest.version) {
        newest = {name, version};
      }
    }
    return newest === undefined ? [] : [newest];
  }

  /** Handles the events that concern the documents; ignores others. */
  handle(
    handled: event.Event,
    now: clock.Milliseconds,
  ): ReadonlyArray<effect.Effect> {
    switch (handled.kind) {
      case 'recordsRead':
        return this.handleRecords(handled, now);
      case 'appendAnswered':
        return this.handleAppendAnswer(handled, now);
      case 'publishArrived':
        return this.publish(handled, now);
      case 'documentFetchArrived':
        return this.answerFetch(handled);
      case 'workloadsArrived':
        return this.listWorkloads(handled);
      case 'fetchDocumentsArrived':
        return this.answerPeer(handled);
      case 'documentsArrived':
        return this.adoptFromPeer(handled);
      case 'confirmArrived':
      case 'confirmAnswered':
        return this.peerFetcher.fetchIfBehind(
          handled.status,
          this.documentsInForce,
          now,
        );
      case 'vmListRead':
        this.peerFetcher.updateEntryVms(handled.vms);
        return [];
      case 'timePassed':
        return this.handleTimePassed(now);
      default:
        return [];
    }
  }

  /** Returns when the next `timePassed` is due. */
  nextDeadline(): clock.Milliseconds {
    const appendAt =
      this.publications.hasUnsent() && !this.appendInProgress
        ? this.nextAppendAt
        : Infinity;
    return Math.min(
      this.nextReadAt,
      appendAt,
      this.publications.nextDeadline(),
    );
  }

  private handleTimePassed(
    now: clock.Milliseconds,
  ): ReadonlyArray<effect.Effect> {
    const requested: effect.Effect[] = [];
    if (this.nextReadAt === 0) this.peerFetcher.recordLogProgress(now);
    if (now >= this.nextReadAt) requested.push(this.readNext(now));
    if (!this.isLoadedValue) {
      requested.push(
        ...this.peerFetcher.fetchFromEntryVm(this.documentsInForce, now),
      );
    }
    requested.push(...this.publications.expire(now));
    requested.push(...this.appendUnsent(now));
    return requested;
  }

  private readNext(now: clock.Milliseconds): effect.Effect {
    this.nextReadAt = now + READ_INTERVAL_MS;
    return {
      kind: 'readStream',
      stream: CONFIGURATION_STREAM,
      from: this.replica.position,
    };
  }

  private handleRecords(
    handled: EventOf<'recordsRead'>,
    now: clock.Milliseconds,
  ): ReadonlyArray<effect.Effect> {
    if (handled.stream !== CONFIGURATION_STREAM) return [];
    const progress = this.replica.applyRead(handled);
    const requested = [...this.countUnreadable(), ...this.adoptFromLog()];
    requested.push(
      ...this.publications.resolve(name => this.history.outcome(name)),
    );
    this.snapshotSchedule.observe(this.replica, now);
    switch (progress) {
      case 'behind':
        requested.push(this.readNext(now));
        return requested;
      case 'gap':
        requested.push(effect.count('configuration_gap'));
        return requested;
      case 'tail':
        this.isLoadedValue = true;
        this.lastTailReadSentAt = Math.max(
          this.lastTailReadSentAt,
          handled.sentAt,
        );
        this.peerFetcher.recordLogProgress(handled.sentAt);
        requested.push(...this.validateUnchecked());
        requested.push(...this.appendUnsent(now));
        return requested;
    }
  }

  private countUnreadable(): ReadonlyArray<effect.Effect> {
    const added =
      this.history.unreadableCount() - this.countedUnreadableRecords;
    this.countedUnreadableRecords += added;
    if (added === 0) return [];
    return [
      effect.count('configuration_unreadable', {}, added),
      effect.log('warn', 'configurationRecordUnreadable', {records: added}),
    ];
  }

  private adoptFromLog(): ReadonlyArray<effect.Effect> {
    return this.adoptNewer(this.history.documents(), 'log');
  }

  private adoptFromPeer(
    handled: EventOf<'documentsArrived'>,
  ): ReadonlyArray<effect.Effect> {
    const requested = this.adoptNewer(handled.documents, 'peer');
    if (this.configuration.versions.size > 0) this.isLoadedValue = true;
    return requested;
  }

  /** Adopts the documents that are newer than the versions in force. */
  private adoptNewer(
    documents: ReadonlyArray<event.Document>,
    source: 'log' | 'peer',
  ): ReadonlyArray<effect.Effect> {
    const newer = documents.filter(
      document =>
        configurationDocuments.isDocumentName(document.name) &&
        document.version > this.documentsInForce.version(document.name) &&
        document.version !== this.unreadableVersions.get(document.name),
    );
    if (newer.length === 0) return [];
    const requested = newer.flatMap(document => this.adopt(document, source));
    requested.push(...this.updateConfiguration());
    return requested;
  }

  private adopt(
    document: event.Document,
    source: 'log' | 'peer',
  ): ReadonlyArray<effect.Effect> {
    const fields = {document: document.name, version: document.version, source};
    return this.documentsInForce.parse(document.name, document.content).caseOf({
      Left: failure => {
        this.unreadableVersions.set(document.name, document.version);
        const {detail} = failure;
        return [
          effect.count('document_refused', {source}),
          effect.log('warn', 'documentRefused', {...fields, detail}),
        ];
      },
      Right: parsed => {
        this.documentsInForce.put(document, parsed);
        return [
          effect.count('document_in_force', {source}),
          effect.log('info', 'documentInForce', fields),
        ];
      },
    });
  }

  /** Exposes the new documents unless the version of one would decrease. */
  private updateConfiguration(): ReadonlyArray<effect.Effect> {
    const next = this.documentsInForce.toConfiguration();
    for (const [document, previousVersion] of this.configuration.versions) {
      const version = next.versions.get(document) ?? 0;
      if (version >= previousVersion) continue;
      const fields = {document, before: previousVersion, version};
      return invariant.violation('versionNeverFalls', fields);
    }
    this.configuration = next;
    return [];
  }

  private publish(
    call: EventOf<'publishArrived'>,
    now: clock.Milliseconds,
  ): ReadonlyArray<effect.Effect> {
    const {document, baseVersion, content, publication} = call;
    const failure = publicationTracker.checkPublication(call);
    if (failure !== undefined) {
      return callReply.refuse(call.call, failure);
    }
    const record = {
      kind: 'publish',
      document,
      baseVersion,
      content,
      publication,
    } as const;
    const repeatAnswer = this.answerKnownPublication(call.call, record);
    if (repeatAnswer !== undefined) return repeatAnswer;
    if (this.publications.isFull(publication)) {
      return callReply.refuse(
        call.call,
        result.failure(
          'publicationUnknown',
          `publication: ${publication} was not accepted, because too many ` +
            'publications wait for the log; publish again with the same ' +
            'identity',
        ),
      );
    }
    this.publications.add(call.call, record, now);
    const requested = [...this.validateUnchecked(), ...this.appendUnsent(now)];
    // A base that is not known here yet is validated after the next read.
    if (this.publications.uncheckedPublications().length > 0) {
      requested.push(this.readNext(now));
    }
    return requested;
  }

  /** Answers a publication whose identity was used; undefined if it was not. */
  private answerKnownPublication(
    call: event.CallNumber,
    record: configurationHistory.PublishRecord,
  ): ReadonlyArray<effect.Effect> | undefined {
    const digest = configurationHistory.digestOf(record);
    const outcome = this.history.outcome(record.publication);
    const openRecord = this.publications.record(record.publication);
    const earlierDigest =
      outcome?.digest ??
      (openRecord === undefined
        ? undefined
        : configurationHistory.digestOf(openRecord));
    if (earlierDigest !== undefined && earlierDigest !== digest) {
      return callReply.refuse(
        call,
        result.failure(
          'identityConflict',
          `publication: ${record.publication} was used for another change; ` +
            'use a new identity',
        ),
      );
    }
    if (outcome === undefined) return undefined;
    return publicationTracker.outcomeEffects(call, outcome);
  }

  private validateUnchecked(): ReadonlyArray<effect.Effect> {
    return this.publications
      .uncheckedPublications()
      .flatMap(unchecked => this.validate(unchecked));
  }

  private validate(
    unchecked: publicationTracker.UncheckedPublication,
  ): ReadonlyArray<effect.Effect> {
    const {record} = unchecked;
    switch (this.validateBase(unchecked)) {
      case 'undecided':
        return [];
      case 'wrong':
        return this.refuseWrongBase(record);
      case 'right':
        return this.validateContent(record);
    }
  }

  private validateBase(
    unchecked: publicationTracker.UncheckedPublication,
  ): 'right' | 'wrong' | 'undecided' {
    const {document, baseVersion} = unchecked.record;
    // If an earlier append of this record had been accepted, the replay would
    // have its outcome.
    if (baseVersion < this.history.version(document)) return 'wrong';
    if (!this.isLoadedValue) return 'undecided';
    const current = this.currentVersion(document);
    if (baseVersion === current) return 'right';
    // A lower base may have been accepted by an earlier append that only a peer
    // has read. A higher one may come from a process that has read further.
    const hasReadSinceArrival = this.lastTailReadSentAt > unchecked.arrivedAt;
    return baseVersion > current && hasReadSinceArrival ? 'wrong' : 'undecided';
  }

  /** Returns the higher of the versions from the stream and from peers. */
  private currentVersion(document: string): number {
    return Math.max(
      this.history.version(document),
      this.documentsInForce.version(document),
    );
  }

  private refuseWrongBase(
    record: configurationHistory.PublishRecord,
  ): ReadonlyArray<effect.Effect> {
    const current = this.currentVersion(record.document);
    const detail = configurationHistory.conflictDetail(record, current);
    return this.publications.refuse(
      record.publication,
      result.failure('versionConflict', detail),
    );
  }

  private validateContent(
    record: configurationHistory.PublishRecord,
  ): ReadonlyArray<effect.Effect> {
    return this.documentsInForce
      .parseAndCheck(record.document, record.content)
      .caseOf({
        Left: failure => this.publications.refuse(record.publication, failure),
        Right: () => {
          this.publications.approve(record.publication);
          return [];
        },
      });
  }

  private appendUnsent(now: clock.Milliseconds): ReadonlyArray<effect.Effect> {
    if (this.appendInProgress || now < this.nextAppendAt) return [];
    const records: string[] = [];
    const isCurrent =
      now - this.lastTailReadSentAt <
      configurationPeerFetcher.LOG_GRACE_PERIOD_MS;
    if (this.snapshotSchedule.isDue(this.replica, now) && isCurrent) {
      this.snapshotSchedule.recordSent(now);
      records.push(JSON.stringify(this.replica.buildSnapshot()));
    }
    for (const record of this.publications.takeUnsent()) {
      records.push(JSON.stringify(record));
    }
    if (records.length === 0) return [];
    this.appendInProgress = true;
    this.appendNumber += 1;
    this.nextAppendAt = now + this.appendIntervalMs;
    return [
      {
        kind: 'append',
        stream: CONFIGURATION_STREAM,
        append: this.appendNumber,
        records,
      },
    ];
  }

  private handleAppendAnswer(
    handled: EventOf<'appendAnswered'>,
    now: clock.Milliseconds,
  ): ReadonlyArray<effect.Effect> {
    if (handled.stream !== CONFIGURATION_STREAM) return [];
    if (handled.append !== this.appendNumber) return [];
    this.appendInProgress = false;
    if (handled.answer === 'appended') return [this.readNext(now)];
    this.publications.markForResend();
    this.nextAppendAt = Math.max(
      this.nextAppendAt,
      now + APPEND_RETRY_DELAY_MS,
    );
    return [
      effect.count('retry', {reason: 'configurationAppendLost'}),
      this.readNext(now),
    ];
  }

  private answerFetch(
    call: EventOf<'documentFetchArrived'>,
  ): ReadonlyArray<effect.Effect> {
    const found = this.documentsInForce.get(call.document);
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
    const refusal = this.isLoadedValue
      ? result.failure(
          'unknownDocument',
          `document: "${call.document}" does not exist`,
        )
      : result.failure(
          'noConfiguration',
          'no documents have been read from the log or a peer yet; try again',
        );
    return callReply.refuse(call.call, refusal);
  }

  private listWorkloads(
    call: EventOf<'workloadsArrived'>,
  ): ReadonlyArray<effect.Effect> {
    const teams = [...this.configuration.teams.values()];
    const content = teams.map(({name, workloads}) => ({team: name, workloads}));
    const reply = {code: result.RESULT_CODES.ok.code, content};
    return [{kind: 'answerCaller', call: call.call, reply}];
  }

  private answerPeer(
    call: EventOf<'fetchDocumentsArrived'>,
  ): ReadonlyArray<effect.Effect> {
    const peerVersions = new Map(
      call.have.map(item => [item.name, item.version]),
    );
    const documents = this.documentsInForce
      .all()
      .filter(
        document => document.version > (peerVersions.get(document.name) ?? 0),
      );
    return [{kind: 'answerDocuments', call: call.call, documents}];
  }
}
