import * as either from 'purify-ts/Either';
import * as toml from 'smol-toml';
import * as result from '../result.js';
import type * as configuration from '../contracts/configuration.js';
import type * as team from '../contracts/team.js';

/** Reads configuration documents written in TOML. */
export class TomlDocumentReader implements configuration.DocumentReader {
  readFleet(
    content: string,
  ): either.Either<result.Failure, configuration.FleetPlan> {
    return parse(content).map(
      document => document as unknown as configuration.FleetPlan,
    );
  }

  readTeam(content: string): either.Either<result.Failure, team.Team> {
    return parse(content).map(document => document as unknown as team.Team);
  }
}

function parse(content: string): either.Either<result.Failure, toml.TomlTable> {
  return either.Either.encase(() => toml.parse(content)).mapLeft(fault =>
    result.failure('invalidDocument', fault.message),
  );
}
