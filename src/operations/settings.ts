import * as either from 'purify-ts/Either';
import * as toml from 'smol-toml';

/** Settings of one entry process. */
export interface Settings {
  readonly vm: string;
  readonly zone: string;
  readonly region: string;
  readonly host: string;
  /** Port for callers; 0 lets the system choose. */
  readonly callerPort: number;
  /** Port for other entry processes; 0 lets the system choose. */
  readonly peerPort: number;
  readonly log: string;
  readonly vmList: string;
}

/** A fault in the settings, by key. */
export interface SettingsFault {
  readonly key: string;
  readonly rule: string;
}

const TEXT_KEYS = ['vm', 'zone', 'region', 'host', 'log', 'vmList'] as const;
const PORT_KEYS = ['callerPort', 'peerPort'] as const;

/** Reads settings and returns every fault at once. */
export function readSettings(
  text: string,
): either.Either<ReadonlyArray<SettingsFault>, Settings> {
  return either.Either.encase(() => toml.parse(text))
    .mapLeft(fault => [{key: '', rule: fault.message}])
    .chain(checkSettings);
}

function checkSettings(
  table: toml.TomlTable,
): either.Either<ReadonlyArray<SettingsFault>, Settings> {
  const faults: SettingsFault[] = [];
  for (const key of TEXT_KEYS) {
    if (typeof table[key] !== 'string' || table[key] === '') {
      faults.push({key, rule: 'must be a string that is not empty'});
    }
  }
  for (const key of PORT_KEYS) {
    const port = table[key];
    const valid =
      Number.isInteger(port) && Number(port) >= 0 && Number(port) < 65536;
    if (!valid) faults.push({key, rule: 'must be a port from 0 to 65535'});
  }
  if (faults.length > 0) return either.Left(faults);
  return either.Right(table as unknown as Settings);
}
