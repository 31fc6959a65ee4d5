import type * as either from 'purify-ts/Either';
import type * as resources from '../machines/resources.js';
import type * as result from '../result.js';
import type * as team from './team.js';

/** An availability zone as listed in the document `fleet`. */
export interface ZoneDefinition {
  readonly name: string;
  readonly region: string;
}

/** A shape of worker and the zones that have workers of this shape. */
export interface WorkerShape {
  readonly capacity: resources.Resources;
  /** Connections that one worker accepts. */
  readonly connections?: number;
  readonly zones: ReadonlyArray<string>;
}

/** The document `fleet`: zones and worker shapes of the cell. */
export interface FleetDefinition {
  readonly zones: ReadonlyArray<ZoneDefinition>;
  readonly workerShapes: ReadonlyArray<WorkerShape>;
}

/** Contents of the documents in force, with the version of each document. */
export interface Configuration {
  readonly fleet: FleetDefinition | undefined;
  readonly teams: ReadonlyMap<string, team.Team>;
  readonly versions: ReadonlyMap<string, number>;
}

/** Parses the text of documents, so that other code need not know the format. */
export interface DocumentReader {
  readFleet(content: string): either.Either<result.Failure, FleetDefinition>;
  readTeam(content: string): either.Either<result.Failure, team.Team>;
}
