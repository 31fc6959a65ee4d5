import * as callReply from './call_reply.js';
import * as configurationDocuments from './configuration_documents.js';
import * as effect from './effect.js';
import * as result from '../result.js';
import type * as clock from '../machines/clock.js';
import type * as configurationHistory from './configuration_history.js';
import type * as event from './event.js';

/** Time after which a publication is answered with an unknown outcome. */
export const PUBLICATION_TIMEOUT_MS = 10_000;

/** Maximum number of open publications; each holds a whole document. */
const MAXIMUM_OPEN_PUBLICATIONS = 128;

/** Maximum length of the records of one append; a longer record goes alone. */
const MAXIMUM_APPEND_CHARACTERS = 1_000_000;

/** Maximum length of a publication's identity. */
const MAXIMUM_PUBLICATION_CHARACTERS = 100;

/**
 * Stage of a publication: waiting for a read that allows its validation,
 * waiting for its append, or appended and not read back from the stream yet.
 */
type Stage = 'unchecked' | 'unsent' | 'sent';

interface OpenPublication {
  readonly record: configurationHistory.PublishRecord;
  readonly arrivedAt: clock.Milliseconds;
  readonly calls: Set<event.CallNumber>;
  stage: Stage;
}

/** A publication that still waits for a read that allows its validation. */
export interface UncheckedPublication {
  readonly record: configurationHistory.PublishRecord;
  readonly arrivedAt: clock.Milliseconds;
}

/** Tracks the publications that operators wait for at this process. */
export class PublicationTracker {
  private readonly openPublications = new Map<string, OpenPublication>();

  /** Adds a publication, or another call that waits for an open one. */
  add(
    call: event.CallNumber,
    record: configurationHistory.PublishRecord,
    now: clock.Milliseconds,
  ): void {
    const open = this.openPublications.get(record.publication);
    if (open !== undefined) {
      open.calls.add(call);
      return;
    }
    this.openPublications.set(record.publication, {
      record,
      arrivedAt: now,
      calls: new Set([call]),
      stage: 'unchecked',
    });
  }

  /** Returns whether the limit is reached; an open publication is exempt. */
  isFull(publication: string): boolean {
    return (
      this.openPublications.size >= MAXIMUM_OPEN_PUBLICATIONS &&
      !this.openPublications.has(publication)
    );
  }

  /** Returns the record of an open publication. */
  record(publication: string): configurationHistory.PublishRecord | undefined {
    return this.openPublications.get(publication)?.record;
  }

  /** Returns the publications that still have to be validated. */
  uncheckedPublications(): ReadonlyArray<UncheckedPublication> {
    return [...this.openPublications.values()].filter(
      item => item.stage === 'unchecked',
    );
  }

  /** Marks a publication as ready to be appended. */
  approve(publication: string): void {
    const open = this.openPublications.get(publication);
    if (open !== undefined) open.stage = 'unsent';
  }

  /** Returns whether a record waits for its append. */
  hasUnsent(): boolean {
    for (const item of this.openPublications.values()) {
      if (item.stage === 'unsent') return true;
    }
    return false;
  }

  /** Returns the records to append now; the rest wait for the next append. */
  takeUnsent(): ReadonlyArray<configurationHistory.PublishRecord> {
    const records: configurationHistory.PublishRecord[] = [];
    let characters = 0;
    for (const item of this.openPublications.values()) {
      if (item.stage !== 'unsent') continue;
      characters += item.record.content.length;
      if (records.length > 0 && characters > MAXIMUM_APPEND_CHARACTERS) break;
      item.stage = 'sent';
      records.push(item.record);
    }
    return records;
  }

  /**
   * Marks the records of a lost append to be sent again. They keep their
   * identities, so readers drop the second copy.
   */
  markForResend(): void {
    for (const item of this.openPublications.values()) {
      if (item.stage === 'sent') item.stage = 'unsent';
    }
  }

  /** Answers every publication whose outcome has been read from the stream. */
  resolve(
    outcomeOf: (
      publication: string,
    ) => configurationHistory.PublicationOutcome | undefined,
  ): ReadonlyArray<effect.Effect> {
    return [...this.openPublications.keys()].flatMap(publication => {
      const outcome = outcomeOf(publication);
      return outcome === undefined
        ? []
        : this.answerCalls(publication, outcome);
    });
  }

  /** Refuses an open publication and answers its calls. */
  refuse(
    publication: string,
    refusal: result.Failure,
  ): ReadonlyArray<effect.Effect> {
    const open = this.openPublications.get(publication);
    this.openPublications.delete(publication);
    return [...(open?.calls ?? [])].flatMap(call =>
      callReply.refuse(call, refusal),
    );
  }

  /** Answers the publications that were not read back in time. */
  expire(now: clock.Milliseconds): ReadonlyArray<effect.Effect> {
    return [...this.openPublications.values()]
      .filter(item => now >= item.arrivedAt + PUBLICATION_TIMEOUT_MS)
      .flatMap(item =>
        this.refuse(item.record.publication, timeoutFailure(item)),
      );
  }

  /** Returns when the next publication expires. */
  nextDeadline(): clock.Milliseconds {
    let earliest = Infinity;
    for (const item of this.openPublications.values()) {
      earliest = Math.min(earliest, item.arrivedAt + PUBLICATION_TIMEOUT_MS);
    }
    return earliest;
  }

  private answerCalls(
    publication: string,
    outcome: configurationHistory.PublicationOutcome,
  ): ReadonlyArray<effect.Effect> {
    const open = this.openPublications.get(publication);
    this.openPublications.delete(publication);
    return [...(open?.calls ?? [])].flatMap(call =>
      outcomeEffects(call, outcome),
    );
  }
}

/** Answers a call with the outcome of its publication. */
export function outcomeEffects(
  call: event.CallNumber,
  outcome: configurationHistory.PublicationOutcome,
): ReadonlyArray<effect.Effect> {
  switch (outcome.outcome) {
    case 'accepted':
      return [
        effect.count('publication', {outcome: 'accepted'}),
        {
          kind: 'answerCaller',
          call,
          reply: {
            code: result.RESULT_CODES.ok.code,
            version: outcome.version,
            detail: `${outcome.document} is in force`,
          },
        },
      ];
    case 'conflict':
      return callReply.refuse(
        call,
        result.failure('versionConflict', outcome.detail),
      );
    case 'invalid':
      return callReply.refuse(
        call,
        result.failure('invalidDocument', outcome.detail),
      );
  }
}

/**
 * Returns the failure of a publication that timed out. The outcome is unknown
 * even if it was never appended here, because an earlier try may have appended
 * it through another process.
 */
function timeoutFailure(item: OpenPublication): result.Failure {
  return result.failure(
    'publicationUnknown',
    `publication: ${item.record.publication} was not read back from ` +
      `the log within ${PUBLICATION_TIMEOUT_MS} ms; publish again with the ` +
      'same identity',
  );
}

/** Returns a failure for the first invalid field of a publication, if any. */
export function checkPublication(
  call: Extract<event.Event, {readonly kind: 'publishArrived'}>,
): result.Failure | undefined {
  if (!configurationDocuments.isDocumentName(call.document)) {
    return result.failure(
      'unknownDocument',
      `document: "${call.document}" must be fleet or team/<name of a team>`,
    );
  }
  const {length} = call.publication;
  if (length === 0 || length > MAXIMUM_PUBLICATION_CHARACTERS) {
    return result.failure(
      'invalidField',
      `publication: "${call.publication}" must have 1 to ` +
        `${MAXIMUM_PUBLICATION_CHARACTERS} characters`,
    );
  }
  if (Number.isInteger(call.baseVersion) && call.baseVersion >= 0) {
    return undefined;
  }
  return result.failure(
    'invalidField',
    `baseVersion: ${call.baseVersion} must be a whole number from 0`,
  );
}
