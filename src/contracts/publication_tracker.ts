import * as configurationDocuments from './configuration_documents.js';
import * as effects from './effect.js';
import * as result from '../result.js';
import type * as clock from '../machines/clock.js';
import type * as configurationHistory from './configuration_history.js';
import type * as event from './event.js';

/** Time after which an operator is told that the outcome is unknown. */
export const PUBLICATION_TIMEOUT_MS = 10_000;

/** Most publications that wait at once; each holds a whole document. */
const MAXIMUM_OPEN_PUBLICATIONS = 128;

/** Length of the records of one append; a longer one goes alone. */
const MAXIMUM_APPEND_CHARACTERS = 1_000_000;

/** Longest identity of a publication. */
const MAXIMUM_PUBLICATION_CHARACTERS = 100;

/**
 * Where a publication stands: waiting for a read that allows a judgement,
 * waiting for its append, or appended and not seen in the stream yet.
 */
type Stage = 'unchecked' | 'unsent' | 'sent';

interface Publication {
  readonly record: configurationHistory.PublishRecord;
  readonly arrivedAt: clock.Milliseconds;
  readonly calls: Set<event.CallNumber>;
  stage: Stage;
}

/** A publication that no read has allowed to judge yet. */
export interface UncheckedPublication {
  readonly record: configurationHistory.PublishRecord;
  readonly arrivedAt: clock.Milliseconds;
}

/** The publications that operators wait for at this process. */
export class PublicationTracker {
  private readonly openPublications = new Map<string, Publication>();

  /** Adds a publication, or a further call that waits for a known one. */
  add(
    call: event.CallNumber,
    record: configurationHistory.PublishRecord,
    now: clock.Milliseconds,
  ): void {
    const known = this.openPublications.get(record.publication);
    if (known !== undefined) {
      known.calls.add(call);
      return;
    }
    this.openPublications.set(record.publication, {
      record,
      arrivedAt: now,
      calls: new Set([call]),
      stage: 'unchecked',
    });
  }

  /** Whether no further publication can wait; a known one always can. */
  isFull(publication: string): boolean {
    return (
      this.openPublications.size >= MAXIMUM_OPEN_PUBLICATIONS &&
      !this.openPublications.has(publication)
    );
  }

  /** The record that an open publication asks to append. */
  record(publication: string): configurationHistory.PublishRecord | undefined {
    return this.openPublications.get(publication)?.record;
  }

  /** Publications that still have to be judged before an append. */
  uncheckedPublications(): ReadonlyArray<UncheckedPublication> {
    return [...this.openPublications.values()].filter(
      item => item.stage === 'unchecked',
    );
  }

  /** Lets a publication be appended. */
  approve(publication: string): void {
    const known = this.openPublications.get(publication);
    if (known !== undefined) known.stage = 'unsent';
  }

  /** Whether a record waits for its append. */
  hasUnsent(): boolean {
    for (const item of this.openPublications.values()) {
      if (item.stage === 'unsent') return true;
    }
    return false;
  }

  /** Returns the records to append now; others stay for the next append. */
  takeUnsent(): ReadonlyArray<configurationHistory.PublishRecord> {
    const taken: configurationHistory.PublishRecord[] = [];
    let length = 0;
    for (const item of this.openPublications.values()) {
      if (item.stage !== 'unsent') continue;
      length += item.record.content.length;
      if (taken.length > 0 && length > MAXIMUM_APPEND_CHARACTERS) break;
      item.stage = 'sent';
      taken.push(item.record);
    }
    return taken;
  }

  /**
   * Lets the records of a lost append be sent again. They keep their
   * identities, so readers drop the second copy.
   */
  markForResend(): void {
    for (const item of this.openPublications.values()) {
      if (item.stage === 'sent') item.stage = 'unsent';
    }
  }

  /** Answers every publication whose outcome the stream has shown. */
  resolve(
    outcomeOf: (
      publication: string,
    ) => configurationHistory.PublicationOutcome | undefined,
  ): ReadonlyArray<effects.Effect> {
    return [...this.openPublications.keys()].flatMap(publication => {
      const outcome = outcomeOf(publication);
      return outcome === undefined
        ? []
        : this.answerCalls(publication, outcome);
    });
  }

  /** Refuses an open publication. */
  refuse(
    publication: string,
    refusal: result.Failure,
  ): ReadonlyArray<effects.Effect> {
    const known = this.openPublications.get(publication);
    this.openPublications.delete(publication);
    return [...(known?.calls ?? [])].flatMap(call =>
      refusalEffects(call, refusal),
    );
  }

  /** Answers publications for which the log showed nothing in time. */
  expire(now: clock.Milliseconds): ReadonlyArray<effects.Effect> {
    return [...this.openPublications.values()]
      .filter(item => now >= item.arrivedAt + PUBLICATION_TIMEOUT_MS)
      .flatMap(item =>
        this.refuse(item.record.publication, timeoutFailure(item)),
      );
  }

  /** When `expire` has something to do next. */
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
  ): ReadonlyArray<effects.Effect> {
    const known = this.openPublications.get(publication);
    this.openPublications.delete(publication);
    return [...(known?.calls ?? [])].flatMap(call =>
      outcomeEffects(call, outcome),
    );
  }
}

/** Answers a call with what became of its publication. */
export function outcomeEffects(
  call: event.CallNumber,
  outcome: configurationHistory.PublicationOutcome,
): ReadonlyArray<effects.Effect> {
  switch (outcome.outcome) {
    case 'accepted':
      return [
        effects.count('publication', {outcome: 'accepted'}),
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
      return refusalEffects(
        call,
        result.failure('versionConflict', outcome.detail),
      );
    case 'invalid':
      return refusalEffects(
        call,
        result.failure('invalidDocument', outcome.detail),
      );
  }
}

/** Refuses a call and counts the reason. */
export function refusalEffects(
  call: event.CallNumber,
  refusal: result.Failure,
): ReadonlyArray<effects.Effect> {
  return [
    effects.count('refusal', {reason: refusal.result}),
    {
      kind: 'answerCaller',
      call,
      reply: {
        code: result.RESULT_CODES[refusal.result].code,
        detail: refusal.detail,
      },
    },
  ];
}

/**
 * Also covers a publication that was never appended here: an earlier try may
 * have appended it through another process.
 */
function timeoutFailure(item: Publication): result.Failure {
  return result.failure(
    'publicationUnknown',
    `publication: ${item.record.publication} was not shown by the log within ` +
      `${PUBLICATION_TIMEOUT_MS} ms; publish again with the same identity`,
  );
}

/** Names the first field of a publication that breaks a rule. */
export function checkPublication(
  call: Extract<event.Event, {readonly kind: 'publishArrived'}>,
): result.Failure | undefined {
  if (!configurationDocuments.isDocumentName(call.document)) {
    return result.failure(
      'unknownDocument',
      `document: "${call.document}" must be fleet or team/ with a name`,
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
