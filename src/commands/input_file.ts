import * as either from 'purify-ts/Either';
import * as fs from 'node:fs';

/** Returns the text of a file, or the reason why it cannot be read. */
export function read(file: string): either.Either<string, string> {
  return either.Either.encase(() => fs.readFileSync(file, 'utf8')).mapLeft(
    fault => `cannot be read: ${fault.message}`,
  );
}
