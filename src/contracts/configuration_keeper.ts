import type * as clock from '../machines/clock.js';
import type * as configuration from './configuration.js';
import type * as effect from './effect.js';
import type * as event from './event.js';
import type * as team from './team.js';

/** The stream that holds the operators' documents. */
export const CONFIGURATION_STREAM = 'configuration';

/** Time between reads of the stream. */
const READ_INTERVAL_MS = 1_000;

/** A record of the stream `configuration`. */
export interface PublishRecord {
  readonly kind: 'publish';
  readonly document: string;
  readonly baseVersion: number;
  readonly content: string;
  readonly publication: string;
}

/** Keeps the documents in force by replaying the stream's records. */
export class ConfigurationKeeper {
  private fleet: configuration.FleetPlan | undefined;
  private readonly teams = new Map<string, team.Team>();
  private readonly versions = new Map<string, number>();
  private position = 0;
  private nextRead = 0;

  constructor(private readonly reader: configuration.DocumentReader) {}

  /** The documents in force. */
  current(): configuration.Configuration {
    return {fleet: this.fleet, teams: this.teams, versions: this.versions};
  }

  /** Handles the stream's records; ignores other events. */
  handle(
    handled: event.Event,
    now: clock.Milliseconds,
  ): ReadonlyArray<effect.Effect> {
    switch (handled.kind) {
      case 'recordsRead':
        if (handled.stream === CONFIGURATION_STREAM) this.read(handled.records);
        return [];
      case 'timePassed':
        return this.poll(now);
      default:
        return [];
    }
  }

  /** When `timePassed` is wanted next. */
  nextDeadline(): clock.Milliseconds {
    return this.nextRead;
  }

  private poll(now: clock.Milliseconds): ReadonlyArray<effect.Effect> {
    if (now < this.nextRead) return [];
    this.nextRead = now + READ_INTERVAL_MS;
    return [
      {
        kind: 'readStream',
        stream: CONFIGURATION_STREAM,
        from: this.position,
      },
    ];
  }

  private read(records: ReadonlyArray<event.StreamRecord>): void {
    for (const record of records) {
      if (record.offset < this.position) continue;
      this.position = record.offset + 1;
      this.apply(JSON.parse(record.data) as PublishRecord, record.offset);
    }
  }

  private apply(record: PublishRecord, offset: number): void {
    const current = this.versions.get(record.document) ?? 0;
    if (record.baseVersion !== current) return;
    // Versions start at 1, so that 0 can stand for a missing document.
    const version = offset + 1;
    if (record.document === 'fleet') {
      this.reader.readFleet(record.content).ifRight(plan => {
        this.fleet = plan;
        this.versions.set(record.document, version);
      });
      return;
    }
    this.reader.readTeam(record.content).ifRight(read => {
      this.teams.set(read.name, read);
      this.versions.set(record.document, version);
    });
  }
}
