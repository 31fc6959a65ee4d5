import * as either from 'purify-ts/Either';
import * as toml from 'smol-toml';
import * as documentSchema from './document_schema.js';
import * as result from '../result.js';
import * as tomlSchema from './toml_schema.js';
import type * as configuration from '../contracts/configuration.js';
import type * as team from '../contracts/team.js';

/** Reads configuration documents written in TOML. */
export class TomlDocumentReader implements configuration.DocumentReader {
  readFleet(
    content: string,
  ): either.Either<result.Failure, configuration.FleetDefinition> {
    return read<configuration.FleetDefinition>(
      content,
      documentSchema.FLEET_SCHEMA,
      fleetFaults,
    );
  }

  readTeam(content: string): either.Either<result.Failure, team.Team> {
    return read<team.Team>(content, documentSchema.TEAM_SCHEMA, teamFaults);
  }
}

function read<Content>(
  content: string,
  schema: tomlSchema.TableRule,
  findFurther: (document: Content) => ReadonlyArray<tomlSchema.Fault>,
): either.Either<result.Failure, Content> {
  return parse(content).chain(document => {
    const faults = schema.check(document, '');
    if (faults.length > 0) return either.Left(invalid(faults));
    const completed = schema.applyDefaults(document) as Content;
    const further = findFurther(completed);
    if (further.length > 0) return either.Left(invalid(further));
    return either.Right(completed);
  });
}

function parse(content: string): either.Either<result.Failure, toml.TomlTable> {
  return either.Either.encase(() => toml.parse(content)).mapLeft(fault =>
    result.failure('invalidDocument', tomlSchema.describeSyntaxError(fault)),
  );
}

function invalid(faults: ReadonlyArray<tomlSchema.Fault>): result.Failure {
  const detail = faults.map(tomlSchema.formatFault).join('; ');
  return result.failure('invalidDocument', detail);
}

function fleetFaults(
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

function teamFaults(read: team.Team): ReadonlyArray<tomlSchema.Fault> {
  return read.workloads.flatMap((workload, position) => {
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
