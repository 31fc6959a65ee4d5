import * as crypto from 'node:crypto';
import type * as clock from '../machines/clock.js';
import type * as randomSource from '../machines/random_source.js';

/** The parts of a request identity. */
export interface IdentityParts {
  readonly home: string;
  readonly sequence: number;
  readonly secret: string;
}

/** What the home knows of an identity that a client presents. */
export type IdentityStatus =
  | 'valid'
  /** Malformed, issued elsewhere or to another client. */
  | 'foreign'
  /** Issued so long ago that its outcome may have been forgotten. */
  | 'expired'
  /** Its client was told that its request was not run. */
  | 'refused';

/** Time in which an identity has to be used for the first time. */
export const IDENTITY_VALIDITY_MS = 3_600_000;

/**
 * Refused identities that are remembered, about 4 MB. Past it the oldest ones
 * expire, with all that were issued before them.
 */
const MAX_REFUSED_IDENTITIES = 50_000;

/** Hexadecimal digits of the part that nobody can guess: 96 bits. */
const SECRET_HEX_DIGITS = 24;

/** Hexadecimal digits of the key that binds identities to clients. */
const KEY_HEX_DIGITS = 64;

/** Identities issued within this time expire together. */
const ISSUE_BATCH_MS = 60_000;

const IDENTITY_PATTERN = /^([a-z0-9.-]{1,80})_([0-9]{1,15})_([0-9a-f]{24})$/;

/** Identities up to `through` that no earlier mark covers. */
interface IssueBatch {
  /** When the first of them was issued. */
  readonly firstIssuedAt: clock.Milliseconds;
  readonly lastSequence: number;
}

/**
 * Issues identities whose home is one incarnation of a process. The secret is
 * a keyed hash over the sequence number and the client, so that the binding to
 * the client needs no table: clients that reserve identities without using
 * them occupy no memory. The key lives and dies with the process.
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

  /** Returns an identity that this issuer has not returned before. */
  issue(client: string, now: clock.Milliseconds): string {
    this.lastSequence += 1;
    this.addToBatch(now);
    const secret = this.secret(this.lastSequence, client);
    return `${this.home}_${this.lastSequence}_${secret}`;
  }

  /**
   * Checks an identity that is used for the first time. An outcome is kept for
   * `IDENTITY_LIFETIME_MS` after its end, so that an identity whose outcome
   * was forgotten is always expired and can't run again.
   */
  check(
    identity: string,
    client: string,
    now: clock.Milliseconds,
  ): IdentityStatus {
    const parts = parse(identity);
    if (parts === undefined || parts.home !== this.home) return 'foreign';
    const expected = Buffer.from(this.secret(parts.sequence, client));
    const presented = Buffer.from(parts.secret);
    if (!crypto.timingSafeEqual(expected, presented)) return 'foreign';
    if (parts.sequence <= this.updateLastExpiredSequence(now)) return 'expired';
    return this.refusedSequences.has(parts.sequence) ? 'refused' : 'valid';
  }

  /**
   * Makes sure that an identity is not used any more. An earlier call with it
   * may still be on its way when its client is told that it was not run.
   */
  refuse(identity: string): void {
    const parts = parse(identity);
    if (parts === undefined || parts.home !== this.home) return;
    this.refusedSequences.add(parts.sequence);
    if (this.refusedSequences.size <= MAX_REFUSED_IDENTITIES) return;
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
    const isExpired = (known: IssueBatch): boolean =>
      now - known.firstIssuedAt >= IDENTITY_VALIDITY_MS;
    const newestExpired = this.batches.filter(isExpired).at(-1);
    if (newestExpired === undefined) return this.lastExpiredSequence;
    this.lastExpiredSequence = Math.max(
      this.lastExpiredSequence,
      newestExpired.lastSequence,
    );
    this.batches = this.batches.filter(known => !isExpired(known));
    this.forgetRefused(this.lastExpiredSequence);
    return this.lastExpiredSequence;
  }

  private forgetRefused(lastSequence: number): void {
    for (const sequence of this.refusedSequences) {
      if (sequence <= lastSequence) this.refusedSequences.delete(sequence);
    }
  }

  private secret(sequence: number, client: string): string {
    return crypto
      .createHmac('sha256', this.key)
      .update(`${this.home}_${sequence}_${client}`)
      .digest('hex')
      .slice(0, SECRET_HEX_DIGITS);
  }
}

/** Splits an identity; undefined when it is malformed. */
export function parse(identity: string): IdentityParts | undefined {
  const match = IDENTITY_PATTERN.exec(identity);
  if (match === null) return undefined;
  return {home: match[1], sequence: Number(match[2]), secret: match[3]};
}
