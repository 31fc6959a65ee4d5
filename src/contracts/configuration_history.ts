import * as crypto from 'node:crypto';
import * as configurationDocuments from './configuration_documents.js';
import type * as configuration from './configuration.js';
import type * as event from './event.js';
import type * as streamReplica from './stream_replica.js';

/**
 * Number of publications whose outcomes are kept for repeats. At 2,200 changes
 * a day they cover more than five hours, and a snapshot stays small.
 */
const MAXIMUM_RETAINED_OUTCOMES = 512;

/** A record of the stream `configuration`. */
export interface PublishRecord {
  readonly kind: 'publish';
  readonly document: string;
  readonly baseVersion: number;
  readonly content: string;
  readonly publication: string;
}

/** Outcome of a publication at its position in the stream. */
export interface PublicationOutcome {
  readonly publication: string;
  /** Digest of the record, by which a reused identity is detected. */
  readonly digest: string;
  readonly document: string;
  readonly outcome: 'accepted' | 'conflict' | 'invalid';
  /** New version if accepted, else the version in force at that position. */
  readonly version: number;
  readonly detail: string;
}

interface HistoryState {
  readonly documents: ReadonlyArray<event.Document>;
  readonly publications: ReadonlyArray<PublicationOutcome>;
}

/**
 * Accepted versions of the documents, as a function of the stream's records:
 * a publication is accepted only if its base is the current version at its
 * position and its content passes the checks there.
 */
export class ConfigurationHistory implements streamReplica.ReplicatedState {
  private readonly acceptedDocuments: configurationDocuments.ConfigurationDocuments;
  private readonly outcomeByPublication = new Map<string, PublicationOutcome>();
  private unreadableRecords = 0;

  constructor(reader: configuration.DocumentReader) {
    this.acceptedDocuments = new configurationDocuments.ConfigurationDocuments(
      reader,
    );
  }

  /** Returns the documents in force after the records read so far. */
  documents(): ReadonlyArray<event.Document> {
    return this.acceptedDocuments.all();
  }

  /** Returns a document's version after the records read so far, else 0. */
  version(document: string): number {
    return this.acceptedDocuments.version(document);
  }

  /** Returns the outcome of a publication; undefined if none is retained. */
  outcome(publication: string): PublicationOutcome | undefined {
    return this.outcomeByPublication.get(publication);
  }

  /** Returns the number of records so far that were not a publication. */
  unreadableCount(): number {
    return this.unreadableRecords;
  }

  apply(record: event.StreamRecord): void {
    const parsed = parsePublishRecord(record.data);
    if (parsed === undefined) {
      this.unreadableRecords += 1;
      return;
    }
    // A lost acknowledgement leads to a second append of the same record.
    if (this.outcomeByPublication.has(parsed.publication)) return;
    this.storeOutcome(this.evaluate(parsed, record.offset));
  }

  snapshot(): string {
    const state: HistoryState = {
      documents: this.acceptedDocuments.all(),
      publications: [...this.outcomeByPublication.values()],
    };
    return JSON.stringify(state);
  }

  restore(snapshot: string): void {
    const {documents, publications} = parseState(snapshot);
    this.acceptedDocuments.clear();
    for (const document of documents) {
      this.acceptedDocuments.putAccepted(document);
    }
    this.outcomeByPublication.clear();
    for (const outcome of publications) this.storeOutcome(outcome);
  }

  private evaluate(record: PublishRecord, offset: number): PublicationOutcome {
    const current = this.acceptedDocuments.version(record.document);
    const common = {
      publication: record.publication,
      digest: digestOf(record),
      document: record.document,
      version: current,
    };
    if (record.baseVersion !== current) {
      const detail = conflictDetail(record, current);
      return {...common, outcome: 'conflict', detail};
    }
    return this.acceptedDocuments
      .parseAndCheck(record.document, record.content)
      .caseOf<PublicationOutcome>({
        Left: failure => ({
          ...common,
          outcome: 'invalid',
          detail: failure.detail,
        }),
        Right: parsed => {
          // Versions start at 1, because 0 stands for a missing document.
          const version = offset + 1;
          const {document: name, content} = record;
          this.acceptedDocuments.put({name, version, content}, parsed);
          return {...common, outcome: 'accepted', version, detail: ''};
        },
      });
  }

  private storeOutcome(outcome: PublicationOutcome): void {
    this.outcomeByPublication.set(outcome.publication, outcome);
    if (this.outcomeByPublication.size <= MAXIMUM_RETAINED_OUTCOMES) return;
    const [oldest] = this.outcomeByPublication.keys();
    this.outcomeByPublication.delete(oldest);
  }
}

/** Returns a digest of the document, base version and content. */
export function digestOf(record: PublishRecord): string {
  const {document, baseVersion, content} = record;
  const text = JSON.stringify([document, baseVersion, content]);
  return crypto.createHash('sha256').update(text).digest('hex').slice(0, 16);
}

/** Returns the text of a conflict, with the version to use as the base. */
export function conflictDetail(record: PublishRecord, current: number): string {
  return (
    `baseVersion: ${record.baseVersion} must be the current version of ` +
    `${record.document}, which is ${current}`
  );
}

function parsePublishRecord(data: string): PublishRecord | undefined {
  try {
    const parsed = JSON.parse(data) as Partial<PublishRecord>;
    const valid =
      parsed.kind === 'publish' &&
      typeof parsed.document === 'string' &&
      configurationDocuments.isDocumentName(parsed.document) &&
      Number.isInteger(parsed.baseVersion) &&
      typeof parsed.content === 'string' &&
      typeof parsed.publication === 'string';
    return valid ? (parsed as PublishRecord) : undefined;
  } catch {
    return undefined;
  }
}

/** Parses a snapshot; throws if it is not the state of a history. */
function parseState(snapshot: string): HistoryState {
  const state = JSON.parse(snapshot) as HistoryState;
  const valid =
    state.documents.every(
      document =>
        configurationDocuments.isDocumentName(document.name) &&
        Number.isInteger(document.version) &&
        typeof document.content === 'string',
    ) &&
    state.publications.every(
      outcome =>
        typeof outcome.publication === 'string' &&
        ['accepted', 'conflict', 'invalid'].includes(outcome.outcome),
    );
  if (!valid) {
    throw new Error(
      'invalid configuration snapshot: a document or publication is malformed',
    );
  }
  return state;
}
