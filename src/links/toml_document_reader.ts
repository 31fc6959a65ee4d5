import * as either from 'purify-ts/Either';
import * as toml from 'smol-toml';
import * as documentSchema from './document_schema.js';
import * as result from '../result.js';
import * as tomlSchema from './toml_schema.js';
import type * as configuration from '../contracts/configuration.js';
import type * as team from '../contracts/team.js';

/** Parses and checks configuration documents written in TOML. */
export class TomlDocumentReader implements configuration.DocumentReader {
  readFleet(
    content: string,
  ): either.Either<result.Failure, configuration.FleetDefinition> {
    return parseDocument<configuration.FleetDefinition>(
      content,
      documentSchema.FLEET_SCHEMA,
      findFleetFaults,
    );
  }

  readTeam(content: string): either.Either<result.Failure, team.Team> {
    return parseDocument<team.Team>(
      content,
      documentSchema.TEAM_SCHEMA,
      findTeamFaults,
    );
  }
}

function parseDocument<Content>(
  content: string,
  schema: tomlSchema.TableRule,
  findConflicts: (document: Content) => ReadonlyArray<tomlSchema.Fault>,
): either.Either<result.Failure, Content> {
  return parseToml(content).chain(document => {
    const faults = schema.check(document, '');
    if (faults.length > 0) return either.Left(toFailure(faults));
    const completed = schema.applyDefaults(document) as Content;
    const conflicts = findConflicts(completed);
    if (conflicts.length > 0) return either.Left(toFailure(conflicts));
    return either.Right(completed);
  });
}

function parseToml(
  content: string,
): either.Either<result.Failure, toml.TomlTable> {
  return either.Either.encase(() => toml.parse(content)).mapLeft(error =>
    result.failure('invalidDocument', tomlSchema.describeSyntaxError(error)),
  );
}

function toFailure(faults: ReadonlyArray<tomlSchema.Fault>): result.Failure {
  const detail = faults.map(tomlSchema.formatFault).join('; ');
  return result.failure('invalidDocument', detail);
}

function findFleetFaults(
  fleet: configuration.FleetDefinition,
): ReadonlyArray<tomlSchema.Fault> {
  const known = new Set(fleet.zones.map(zone => zone.name));
  return fleet.workerShapes.flatMap((shape, position) =>
    shape.zones
      .filter(zone => !known.has(zone))
      .map(zone =>
        tomlSchema.toFault(
          `workerShapes[${position}].zones`,
          zone,
          'the name of one of the zones',
        ),
      ),
  );
}

function findTeamFaults(
  parsedTeam: team.Team,
): ReadonlyArray<tomlSchema.Fault> {
  return parsedTeam.workloads.flatMap((workload, position) => {
    const field = `workloads[${position}]`;
    const faults: tomlSchema.Fault[] = [];
    if (workload.kind === 'service' && workload.runTimeMs !== 0) {
      faults.push(
        tomlSchema.toFault(
          `${field}.runTimeMs`,
          workload.runTimeMs,
          '0, because a service does not end',
        ),
      );
    }
    if (workload.kind === 'gang' && workload.taskCount < 2) {
      faults.push(
        tomlSchema.toFault(
          `${field}.taskCount`,
          workload.taskCount,
          '2 or more, because a gang starts several tasks at once',
        ),
      );
    }
    return faults;
  });
}
