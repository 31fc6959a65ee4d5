import * as either from 'purify-ts/Either';
import * as toml from 'smol-toml';
import * as tomlSchema from '../links/toml_schema.js';

/** Parsed settings of one entry process. */
export interface Settings {
  readonly vm: string;
  readonly zone: string;
  readonly region: string;
  readonly host: string;
  /** Port for callers; 0 selects a free port. */
  readonly callerPort: number;
  /** Port for other entry processes; 0 selects a free port. */
  readonly peerPort: number;
  readonly log: string;
  readonly vmList: string;
  readonly logRetentionMs: number;
  readonly logStalenessMs: number;
  readonly appendIntervalMs: number;
  readonly metricsHost: string;
  /** Port of the StatsD receiver; 0 disables metrics. */
  readonly metricsPort: number;
  readonly bodyLimitBytes: number;
  readonly openCallLimit: number;
}

/** Validation error of one key in the settings. */
export interface SettingsFault {
  readonly key: string;
  /** Line of the key; 0 when the key is missing. */
  readonly line: number;
  readonly value: string;
  readonly rule: string;
}

/**
 * Minimum retention of the log: more than 2 h. Outcomes are answered for 1 h
 * after the end of a request, and a snapshot has to stay readable for half of
 * the retention.
 */
const MINIMUM_RETENTION_MS = 7_200_001;

/** Maximum retention of the log: one year. */
const MAXIMUM_RETENTION_MS = 31_536_000_000;

const nameRule = new tomlSchema.NameRule();
const hostRule = new tomlSchema.IpAddressRule();
const addressRule = new tomlSchema.AddressRule();
const portRule = new tomlSchema.IntegerRule(0, 65_535);

/** Schema of the settings: the rule, default, unit and meaning of each key. */
export const SETTINGS_SCHEMA = new tomlSchema.TableRule([
  {
    key: 'vm',
    rule: nameRule,
    meaning: 'Name of this VM, as in the VM list.',
  },
  {
    key: 'zone',
    rule: nameRule,
    meaning: 'Availability zone of this VM, as in the document `fleet`.',
  },
  {key: 'region', rule: nameRule, meaning: 'Region of the zone.'},
  {
    key: 'host',
    rule: hostRule,
    meaning: 'IP address on which callers and other entry processes connect.',
  },
  {
    key: 'callerPort',
    rule: portRule,
    meaning: 'Port for callers; 0 lets the system choose.',
  },
  {
    key: 'peerPort',
    rule: portRule,
    meaning: 'Port for other entry processes; 0 lets the system choose.',
  },
  {key: 'log', rule: addressRule, meaning: "Address of the platform's log."},
  {
    key: 'vmList',
    rule: addressRule,
    meaning: "Address of the platform's list of VMs.",
  },
  {
    key: 'logRetentionMs',
    rule: new tomlSchema.IntegerRule(
      MINIMUM_RETENTION_MS,
      MAXIMUM_RETENTION_MS,
    ),
    default: 86_400_000,
    unit: 'ms',
    meaning: 'How long the log keeps a record; longer than 2 h.',
  },
  {
    key: 'logStalenessMs',
    rule: new tomlSchema.IntegerRule(0, 60_000),
    default: 0,
    unit: 'ms',
    meaning: 'Lag of reads of the log; added to the wait after a claim.',
  },
  {
    key: 'appendIntervalMs',
    rule: new tomlSchema.IntegerRule(0, 60_000),
    default: 30,
    unit: 'ms',
    meaning:
      'Minimum time between appends of this process. Set it to the number ' +
      'of entry processes of the cell times 1000/300, so that all together ' +
      'stay under 300 appends a second; the default suits 9 processes.',
  },
  {
    key: 'metricsHost',
    rule: hostRule,
    default: '127.0.0.1',
    meaning: 'IP address of the StatsD receiver.',
  },
  {
    key: 'metricsPort',
    rule: portRule,
    default: 0,
    meaning: 'Port of the StatsD receiver; 0 sends nothing.',
  },
  {
    key: 'bodyLimitBytes',
    rule: new tomlSchema.IntegerRule(1_024, 67_108_864),
    default: 1_048_576,
    unit: 'bytes',
    meaning: 'Maximum body size of a call; bounds the memory of one call.',
  },
  {
    key: 'openCallLimit',
    rule: new tomlSchema.IntegerRule(1, 1_000_000),
    default: 10_000,
    meaning: 'Maximum number of open calls; bounds the memory of all calls.',
  },
]);

/** Parses settings and returns either all faults at once or the settings. */
export function parseSettings(
  text: string,
): either.Either<ReadonlyArray<SettingsFault>, Settings> {
  return either.Either.encase(() => toml.parse(text))
    .mapLeft(syntaxFault)
    .chain(table => {
      const faults = findFaults(table);
      if (faults.length === 0) {
        return either.Right(SETTINGS_SCHEMA.applyDefaults(table) as Settings);
      }
      return either.Left(faults.map(fault => toSettingsFault(fault, text)));
    });
}

function syntaxFault(fault: Error): ReadonlyArray<SettingsFault> {
  const line = fault instanceof toml.TomlError ? fault.line : 0;
  const rule = tomlSchema.describeSyntaxError(fault);
  return [{key: '', line, value: '', rule}];
}

function findFaults(table: toml.TomlTable): ReadonlyArray<tomlSchema.Fault> {
  const faults = SETTINGS_SCHEMA.check(table, '');
  const {callerPort, peerPort} = table;
  if (callerPort !== peerPort || !callerPort) return faults;
  const rule = 'different from callerPort';
  return [...faults, tomlSchema.toFault('peerPort', peerPort, rule)];
}

function toSettingsFault(fault: tomlSchema.Fault, text: string): SettingsFault {
  const {field, value} = fault;
  const line = findLine(field, text);
  return {key: field, line, value, rule: `must be ${fault.rule}`};
}

/**
 * Returns the line number of a key, or 0 if it is missing. Settings have no
 * sub-tables, so a key always stands at the start of its line.
 */
function findLine(field: string, text: string): number {
  const lines = text.split('\n');
  return 1 + lines.findIndex(line => keyOfLine(line) === field);
}

function keyOfLine(line: string): string | undefined {
  return /^\s*(?:"([^"]*)"|'([^']*)'|([\w-]+))\s*=/
    .exec(line)
    ?.slice(1)
    .find(part => part !== undefined);
}
