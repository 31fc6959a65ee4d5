import type * as randomSource from '../machines/random_source.js';

/** The parts of a request identity. */
export interface IdentityParts {
  readonly home: string;
  readonly sequence: number;
  readonly secret: string;
}

/** Characters of the part that makes an identity impossible to guess. */
const SECRET_LENGTH = 24;

const PATTERN = /^([a-z0-9.-]{1,80})_([0-9]{1,15})_([0-9a-f]{24})$/;

/** Issues identities whose home is one incarnation of a process. */
export class IdentityIssuer {
  private sequence = 0;

  constructor(
    private readonly home: string,
    private readonly random: randomSource.RandomSource,
  ) {}

  /** Returns an identity that this issuer has not returned before. */
  issue(): string {
    this.sequence += 1;
    const secret = this.random.hexadecimal(SECRET_LENGTH);
    return `${this.home}_${this.sequence}_${secret}`;
  }
}

/** Splits an identity; undefined when it is malformed. */
export function parseIdentity(identity: string): IdentityParts | undefined {
  const match = PATTERN.exec(identity);
  if (match === null) return undefined;
  return {home: match[1], sequence: Number(match[2]), secret: match[3]};
}
