import * as distribution from 'pure-rand/distribution/uniformInt';
import * as generator from 'pure-rand/generator/xoroshiro128plus';
import type * as randomGenerator from 'pure-rand/types/RandomGenerator';

/** Source of randomness, injected so that tests can use a fixed seed. */
export interface RandomSource {
  /** Returns a whole number from 0 to `limit` - 1. */
  below(limit: number): number;
  /** Returns `length` hexadecimal digits. */
  hexadecimal(length: number): string;
}

/** Pseudorandom source that yields the same sequence for the same seed. */
export class SeededRandom implements RandomSource {
  private readonly generator: randomGenerator.RandomGenerator;

  constructor(seed: number) {
    this.generator = generator.xoroshiro128plus(seed);
  }

  below(limit: number): number {
    return distribution.uniformInt(this.generator, 0, limit - 1);
  }

  hexadecimal(length: number): string {
    let digits = '';
    while (digits.length < length) digits += this.below(16).toString(16);
    return digits;
  }
}

/** Cryptographically secure source, for the secrets of identities. */
export class SecureRandom implements RandomSource {
  below(limit: number): number {
    const values = crypto.getRandomValues(new Uint32Array(1));
    return Math.floor((values[0] / 2 ** 32) * limit);
  }

  hexadecimal(length: number): string {
    const bytes = crypto.getRandomValues(new Uint8Array(Math.ceil(length / 2)));
    return Buffer.from(bytes).toString('hex').slice(0, length);
  }
}
