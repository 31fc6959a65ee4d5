import * as either from 'purify-ts/Either';
import * as result from '../result.js';
import type * as configuration from './configuration.js';
import type * as event from './event.js';
import type * as team from './team.js';

/** Name of the document that lists the zones and worker shapes of the cell. */
export const FLEET_DOCUMENT = 'fleet';

/** Prefix of the names of team documents. */
export const TEAM_DOCUMENT_PREFIX = 'team/';

/** Pattern for names of teams, workloads, zones and regions. */
export const NAME_PATTERN = /^[a-z][a-z0-9-]{0,31}$/;

/** Parsed content of a document. */
export type ParsedDocument =
  | {readonly kind: 'fleet'; readonly fleet: configuration.FleetDefinition}
  | {readonly kind: 'team'; readonly team: team.Team};

/** Returns whether a document of this name can exist. */
export function isDocumentName(name: string): boolean {
  if (name === FLEET_DOCUMENT) return true;
  if (!name.startsWith(TEAM_DOCUMENT_PREFIX)) return false;
  return NAME_PATTERN.test(name.slice(TEAM_DOCUMENT_PREFIX.length));
}

/** A set of documents, each at one version, with their parsed contents. */
export class ConfigurationDocuments {
  private readonly documentsByName = new Map<string, event.Document>();
  private readonly teamsByName = new Map<string, team.Team>();
  private fleet: configuration.FleetDefinition | undefined;

  constructor(private readonly reader: configuration.DocumentReader) {}

  /** Returns the version of a document; 0 if there is none. */
  version(name: string): number {
    return this.documentsByName.get(name)?.version ?? 0;
  }

  /** Returns a document with its version and text. */
  get(name: string): event.Document | undefined {
    return this.documentsByName.get(name);
  }

  /** Returns all documents sorted by name, the same order in every process. */
  all(): ReadonlyArray<event.Document> {
    return [...this.documentsByName.values()].sort((left, right) =>
      left.name < right.name ? -1 : 1,
    );
  }

  /** Returns the parsed contents and versions for use by other components. */
  toConfiguration(): configuration.Configuration {
    return {
      fleet: this.fleet,
      teams: new Map(this.teamsByName),
      versions: new Map(
        this.all().map(document => [document.name, document.version]),
      ),
    };
  }

  /** Parses a content by itself; a failure has the result `invalidDocument`. */
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
      .chain(parsed => checkTeamName(name, parsed))
      .map(parsed => ({kind: 'team' as const, team: parsed}));
  }

  /** Parses a content and checks its references to and from other documents. */
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

  /** Replaces the present version of a document by one that was parsed. */
  put(document: event.Document, parsed: ParsedDocument): void {
    this.documentsByName.set(document.name, document);
    if (parsed.kind === 'fleet') this.fleet = parsed.fleet;
    else this.teamsByName.set(parsed.team.name, parsed.team);
  }

  /**
   * Stores a document that another process accepted. If this process cannot
   * parse it, the version is stored nevertheless and the content stays unused.
   */
  putAccepted(document: event.Document): void {
    this.documentsByName.set(document.name, document);
    this.parse(document.name, document.content).ifRight(parsed => {
      this.put(document, parsed);
    });
  }

  /** Removes all documents. */
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
  checkedTeam: team.Team,
  fleet: configuration.FleetDefinition | undefined,
  prefix: string,
): ReadonlyArray<string> {
  const knownZones = new Set(fleet?.zones.map(zone => zone.name));
  return checkedTeam.workloads.flatMap((workload, position) =>
    workload.zones
      .filter(zone => !knownZones.has(zone))
      .map(
        zone =>
          `${prefix}workloads[${position}].zones: "${zone}" must be a zone ` +
          'of the document fleet',
      ),
  );
}
