import * as either from 'purify-ts/Either';
import * as result from '../result.js';
import type * as configuration from './configuration.js';
import type * as event from './event.js';
import type * as team from './team.js';

/** Name of the document that describes the cell. */
export const FLEET_DOCUMENT = 'fleet';

/** Start of the names of the teams' documents. */
export const TEAM_DOCUMENT_PREFIX = 'team/';

/** Rule for names of teams, workloads, zones and regions. */
export const NAME_PATTERN = /^[a-z][a-z0-9-]{0,31}$/;

/** A document's content after reading. */
export type ParsedDocument =
  | {readonly kind: 'fleet'; readonly fleet: configuration.FleetDefinition}
  | {readonly kind: 'team'; readonly team: team.Team};

/** Whether a document of this name can exist. */
export function isDocumentName(name: string): boolean {
  if (name === FLEET_DOCUMENT) return true;
  if (!name.startsWith(TEAM_DOCUMENT_PREFIX)) return false;
  return NAME_PATTERN.test(name.slice(TEAM_DOCUMENT_PREFIX.length));
}

/** Documents by name, each at one version, with their parsed contents. */
export class ConfigurationDocuments {
  private readonly documentsByName = new Map<string, event.Document>();
  private readonly teamsByName = new Map<string, team.Team>();
  private fleet: configuration.FleetDefinition | undefined;

  constructor(private readonly reader: configuration.DocumentReader) {}

  /** Version of a document; 0 when there is none. */
  version(name: string): number {
    return this.documentsByName.get(name)?.version ?? 0;
  }

  /** Returns a document. */
  get(name: string): event.Document | undefined {
    return this.documentsByName.get(name);
  }

  /** All documents in the order of their names, the same in each process. */
  all(): ReadonlyArray<event.Document> {
    return [...this.documentsByName.values()].sort((left, right) =>
      left.name < right.name ? -1 : 1,
    );
  }

  /** The documents as the rest of the process sees them. */
  toConfiguration(): configuration.Configuration {
    return {
      fleet: this.fleet,
      teams: new Map(this.teamsByName),
      versions: new Map(
        this.all().map(document => [document.name, document.version]),
      ),
    };
  }

  /** Reads a content by itself; faults are `invalidDocument`. */
  parse(
    name: string,
    content: string,
  ): either.Either<result.Failure, ParsedDocument> {
    if (name === FLEET_DOCUMENT) {
      return this.reader
        .readFleet(content)
        .map(fleet => ({kind: 'fleet' as const, fleet}));
    }
    return this.reader
      .readTeam(content)
      .chain(read => checkTeamName(name, read))
      .map(read => ({kind: 'team' as const, team: read}));
  }

  /** Reads a content and checks what it and the other documents refer to. */
  parseAndCheck(
    name: string,
    content: string,
  ): either.Either<result.Failure, ParsedDocument> {
    return this.parse(name, content).chain(parsed => {
      const problems = this.unknownZoneReferences(parsed);
      if (problems.length === 0) return either.Right(parsed);
      return either.Left(
        result.failure('invalidDocument', problems.join('; ')),
      );
    });
  }

  /** Puts a document that was read before in the place of the present one. */
  put(document: event.Document, parsed: ParsedDocument): void {
    this.documentsByName.set(document.name, document);
    if (parsed.kind === 'fleet') this.fleet = parsed.fleet;
    else this.teamsByName.set(parsed.team.name, parsed.team);
  }

  /**
   * Puts a document that was accepted elsewhere. When this process cannot
   * read it, its version counts nevertheless and its content stays unused.
   */
  putAccepted(document: event.Document): void {
    this.documentsByName.set(document.name, document);
    this.parse(document.name, document.content).ifRight(parsed => {
      this.put(document, parsed);
    });
  }

  /** Forgets all documents. */
  clear(): void {
    this.documentsByName.clear();
    this.teamsByName.clear();
    this.fleet = undefined;
  }

  private unknownZoneReferences(parsed: ParsedDocument): ReadonlyArray<string> {
    if (parsed.kind === 'team') {
      return unknownZones(parsed.team, this.fleet, '');
    }
    return [...this.teamsByName.values()].flatMap(team =>
      unknownZones(team, parsed.fleet, `${TEAM_DOCUMENT_PREFIX}${team.name}: `),
    );
  }
}

function checkTeamName(
  document: string,
  parsed: team.Team,
): either.Either<result.Failure, team.Team> {
  const expected = document.slice(TEAM_DOCUMENT_PREFIX.length);
  if (parsed.name === expected) return either.Right(parsed);
  return either.Left(
    result.failure(
      'invalidDocument',
      `name: "${parsed.name}" must be "${expected}", as in ${document}`,
    ),
  );
}

function unknownZones(
  concerned: team.Team,
  fleet: configuration.FleetDefinition | undefined,
  prefix: string,
): ReadonlyArray<string> {
  const knownZones = new Set(fleet?.zones.map(zone => zone.name));
  return concerned.workloads.flatMap((workload, position) =>
    workload.zones
      .filter(zone => !knownZones.has(zone))
      .map(
        zone =>
          `${prefix}workloads[${position}].zones: "${zone}" must be a zone ` +
          'of the document fleet',
      ),
  );
}
