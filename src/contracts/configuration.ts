import type * as either from 'purify-ts/Either';
import type * as resources from '../machines/resources.js';
import type * as result from '../result.js';
import type * as team from './team.js';

/** An availability zone as the operators describe it. */
export interface ZoneDefinition {
  readonly name: string;
  readonly region: string;
}

/** A shape of worker that the operators run, and in which zones. */
export interface WorkerShape {
  readonly capacity: resources.Resources;
  /** Connections that one worker accepts. */
  readonly connections?: number;
  readonly zones: ReadonlyArray<string>;
}

/** The document `fleet`: what the cell consists of. */
export interface FleetDefinition {
  readonly zones: ReadonlyArray<ZoneDefinition>;
  readonly workerShapes: ReadonlyArray<WorkerShape>;
}

/** The documents in force, each at its own version. */
export interface Configuration {
  readonly fleet: FleetDefinition | undefined;
  readonly teams: ReadonlyMap<string, team.Team>;
  readonly versions: ReadonlyMap<string, number>;
}

/** Reads the text of documents; the encoding is its own affair. */
export interface DocumentReader {
  readFleet(content: string): either.Either<result.Failure, FleetDefinition>;
  readTeam(content: string): either.Either<result.Failure, team.Team>;
}
