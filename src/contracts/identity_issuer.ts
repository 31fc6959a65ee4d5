import * as crypto from 'node:crypto';
import type * as clock from '../machines/clock.js';
import type * as randomSource from '../machines/random_source.js';

/** Components of a request identity. */
export interface IdentityParts {
  /** Home of the identity: the process that issued it and keeps its request. */
  readonly home: string;
  readonly sequence: number;
  readonly secret: string;
}

/** Result of checking an identity that a client presents to its home. */
export type IdentityStatus =
  | 'valid'
  /** Malformed, issued by another process or to another client. */
  | 'foreign'
  /** Issued so long ago that its outcome may have been forgotten. */
  | 'expired'
  /** Its client was told that its request was not run. */
  | 'refused';

/** Time after its issue in which an identity must first be used. */
export const IDENTITY_VALIDITY_MS = 3_600_000;

/**
 * Maximum number of refused identities in memory, about 4 MB. Beyond it the
 * oldest refused identity expires, together with all issued before it.
 */
const MAXIMUM_REFUSED_IDENTITIES = 50_000;

/** Length of the secret: 96 bits, so that it can't be guessed. */
const SECRET_HEX_DIGITS = 24;

/** Length of the HMAC key that binds identities to clients. */
const KEY_HEX_DIGITS = 64;

/** Identities issued within this interval expire together. */
const ISSUE_BATCH_MS = 60_000;

const IDENTITY_PATTERN = /^([a-z0-9.-]{1,80})_([0-9]{1,15})_([0-9a-f]{24})$/;

/** Identities up to `lastSequence` that no earlier batch contains. */
interface IssueBatch {
  /** Issue time of the first identity in the batch. */
  readonly firstIssuedAt: clock.Milliseconds;
  readonly lastSequence: number;
}

/**
 * Issues identities whose home is one incarnation of a process. The secret is
 * a keyed hash of the sequence number and the client. The binding to the client
 * therefore needs no table, and identities that are reserved but never used
 * occupy no memory. The key is generated at start and never stored.
 */
export class IdentityIssuer {
  private readonly key: string;
  private lastSequence = 0;
  private lastExpiredSequence = 0;
  private batches: ReadonlyArray<IssueBatch> = [];
  /** Sequence numbers of refused identities, in the order of refusal. */
  private readonly refusedSequences = new Set<number>();

  constructor(
    private readonly home: string,
    random: randomSource.RandomSource,
  ) {
    this.key = random.hexadecimal(KEY_HEX_DIGITS);
  }

  /** Returns a new identity, bound to `client`. */
  issue(client: string, now: clock.Milliseconds): string {
    this.lastSequence += 1;
    this.addToBatch(now);
    const secret = this.secretFor(this.lastSequence, client);
    return `${this.home}_${this.lastSequence}_${secret}`;
  }

  /**
   * Checks an identity that is used for the first time. An outcome is kept for
   * at least `IDENTITY_VALIDITY_MS` after the end of the request. An identity
   * whose outcome was forgotten has therefore expired and can't run again.
   */
  check(
    identity: string,
    client: string,
    now: clock.Milliseconds,
  ): IdentityStatus {
    const parts = parse(identity);
    if (parts === undefined || parts.home !== this.home) return 'foreign';
    const expected = Buffer.from(this.secretFor(parts.sequence, client));
    const presented = Buffer.from(parts.secret);
    if (!crypto.timingSafeEqual(expected, presented)) return 'foreign';
    if (parts.sequence <= this.updateLastExpiredSequence(now)) return 'expired';
    return this.refusedSequences.has(parts.sequence) ? 'refused' : 'valid';
  }

  /**
   * Marks an identity as refused, so that it can't be used later. When its
   * client is told that the request was not run, an earlier call with the same
   * identity may still be in transit.
   */
  refuse(identity: string): void {
    const parts = parse(identity);
    if (parts === undefined || parts.home !== this.home) return;
    this.refusedSequences.add(parts.sequence);
    if (this.refusedSequences.size <= MAXIMUM_REFUSED_IDENTITIES) return;
    const [oldest] = this.refusedSequences;
    this.refusedSequences.delete(oldest);
    this.lastExpiredSequence = Math.max(this.lastExpiredSequence, oldest);
  }

  private addToBatch(now: clock.Milliseconds): void {
    const last = this.batches.at(-1);
    if (last === undefined || now - last.firstIssuedAt >= ISSUE_BATCH_MS) {
      this.batches = [
        ...this.batches,
        {firstIssuedAt: now, lastSequence: this.lastSequence},
      ];
      return;
    }
    const extended = {
      firstIssuedAt: last.firstIssuedAt,
      lastSequence: this.lastSequence,
    };
    this.batches = [...this.batches.slice(0, -1), extended];
  }

  private updateLastExpiredSequence(now: clock.Milliseconds): number {
    const isExpired = (batch: IssueBatch): boolean =>
      now - batch.firstIssuedAt >= IDENTITY_VALIDITY_MS;
    const newestExpired = this.batches.filter(isExpired).at(-1);
    if (newestExpired === undefined) return this.lastExpiredSequence;
    this.lastExpiredSequence = Math.max(
      this.lastExpiredSequence,
      newestExpired.lastSequence,
    );
    this.batches = this.batches.filter(batch => !isExpired(batch));
    this.forgetRefused(this.lastExpiredSequence);
    return this.lastExpiredSequence;
  }

  private forgetRefused(lastSequence: number): void {
    for (const sequence of this.refusedSequences) {
      if (sequence <= lastSequence) this.refusedSequences.delete(sequence);
    }
  }

  private secretFor(sequence: number, client: string): string {
    return crypto
      .createHmac('sha256', this.key)
      .update(`${this.home}_${sequence}_${client}`)
      .digest('hex')
      .slice(0, SECRET_HEX_DIGITS);
  }
}

/** Parses an identity; returns undefined if it is malformed. */
export function parse(identity: string): IdentityParts | undefined {
  const match = IDENTITY_PATTERN.exec(identity);
  if (match === null) return undefined;
  return {home: match[1], sequence: Number(match[2]), secret: match[3]};
}
