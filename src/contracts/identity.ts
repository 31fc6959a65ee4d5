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
export type IdentityCheck =
  | 'valid'
  /** Malformed, issued elsewhere or to another client. */
  | 'foreign'
  /** Issued so long ago that its outcome may have been forgotten. */
  | 'expired'
  /** Its client was told that its request was not run. */
  | 'refused';

/** Time in which an identity has to be used for the first time. */
export const IDENTITY_LIFETIME_MS = 3_600_000;

/**
 * Refused identities that are remembered, about 4 MB. Past it the oldest ones
 * expire, with all that were issued before them.
 */
const REFUSED_LIMIT = 50_000;

/** Hexadecimal digits of the part that nobody can guess: 96 bits. */
const SECRET_LENGTH = 24;

/** Hexadecimal digits of the key that binds identities to clients. */
const KEY_LENGTH = 64;

/** Identities issued within this time expire together. */
const MARK_INTERVAL_MS = 60_000;

const PATTERN = /^([a-z0-9.-]{1,80})_([0-9]{1,15})_([0-9a-f]{24})$/;

/** Identities up to `through` that no earlier mark covers. */
interface IssueMark {
  /** When the first of them was issued. */
  readonly since: clock.Milliseconds;
  readonly through: number;
}

/**
 * Issues identities whose home is one incarnation of a process. The secret is
 * a keyed hash over the sequence number and the client, so that the binding to
 * the client needs no table: clients that reserve identities without using
 * them occupy no memory. The key lives and dies with the process.
 */
export class IdentityIssuer {
  private readonly key: string;
  private sequence = 0;
  private expired = 0;
  private marks: ReadonlyArray<IssueMark> = [];
  /** Sequence numbers of refused identities, in the order of refusal. */
  private readonly refused = new Set<number>();

  constructor(
    private readonly home: string,
    random: randomSource.RandomSource,
  ) {
    this.key = random.hexadecimal(KEY_LENGTH);
  }

  /** Returns an identity that this issuer has not returned before. */
  issue(client: string, now: clock.Milliseconds): string {
    this.sequence += 1;
    this.mark(now);
    const secret = this.secret(this.sequence, client);
    return `${this.home}_${this.sequence}_${secret}`;
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
  ): IdentityCheck {
    const parts = parseIdentity(identity);
    if (parts === undefined || parts.home !== this.home) return 'foreign';
    const expected = Buffer.from(this.secret(parts.sequence, client));
    const presented = Buffer.from(parts.secret);
    if (!crypto.timingSafeEqual(expected, presented)) return 'foreign';
    if (parts.sequence <= this.expiredThrough(now)) return 'expired';
    return this.refused.has(parts.sequence) ? 'refused' : 'valid';
  }

  /**
   * Makes sure that an identity is not used any more. An earlier call with it
   * may still be on its way when its client is told that it was not run.
   */
  refuse(identity: string): void {
    const parts = parseIdentity(identity);
    if (parts === undefined || parts.home !== this.home) return;
    this.refused.add(parts.sequence);
    if (this.refused.size <= REFUSED_LIMIT) return;
    const [oldest] = this.refused;
    this.refused.delete(oldest);
    this.expired = Math.max(this.expired, oldest);
  }

  private mark(now: clock.Milliseconds): void {
    const last = this.marks.at(-1);
    if (last === undefined || now - last.since >= MARK_INTERVAL_MS) {
      this.marks = [...this.marks, {since: now, through: this.sequence}];
      return;
    }
    const extended = {since: last.since, through: this.sequence};
    this.marks = [...this.marks.slice(0, -1), extended];
  }

  private expiredThrough(now: clock.Milliseconds): number {
    const isOld = (known: IssueMark): boolean =>
      now - known.since >= IDENTITY_LIFETIME_MS;
    const newestOld = this.marks.filter(isOld).at(-1);
    if (newestOld === undefined) return this.expired;
    this.expired = Math.max(this.expired, newestOld.through);
    this.marks = this.marks.filter(known => !isOld(known));
    this.forgetRefused(this.expired);
    return this.expired;
  }

  private forgetRefused(through: number): void {
    for (const sequence of this.refused) {
      if (sequence <= through) this.refused.delete(sequence);
    }
  }

  private secret(sequence: number, client: string): string {
    return crypto
      .createHmac('sha256', this.key)
      .update(`${this.home}_${sequence}_${client}`)
      .digest('hex')
      .slice(0, SECRET_LENGTH);
  }
}

/** Splits an identity; undefined when it is malformed. */
export function parseIdentity(identity: string): IdentityParts | undefined {
  const match = PATTERN.exec(identity);
  if (match === null) return undefined;
  return {home: match[1], sequence: Number(match[2]), secret: match[3]};
}
