import * as commandTypes from 'cmd-ts';
import * as either from 'purify-ts/Either';
import * as entryClient from '../links/entry_client.js';
import * as tomlSchema from '../links/toml_schema.js';

/** Client name of calls when the option --client is not given. */
const OPERATOR_CLIENT = 'operator';

/** Default of --timeout. */
const DEFAULT_TIMEOUT_SECONDS = 60;

const addressType: commandTypes.Type<string, string> = {
  description: 'IP address and port for callers',
  displayName: 'address',
  async from(text) {
    const rule = new tomlSchema.AddressRule();
    const faults = rule.check(text, '--entry');
    if (faults.length === 0) return text;
    throw new Error(tomlSchema.formatFault(faults[0]));
  },
};

const timeoutType: commandTypes.Type<string, number> = {
  description: 'seconds',
  displayName: 'seconds',
  async from(text) {
    const rule = new tomlSchema.NumberRule(0, 86_400);
    const faults = rule.check(Number(text), '--timeout');
    if (faults.length === 0) return Number(text);
    throw new Error(tomlSchema.formatFault({...faults[0], value: text}));
  },
};

/** The option --json, which prints JSON instead of text. */
export const json = commandTypes.flag({
  long: 'json',
  description: 'Print one JSON object a line',
});

/** Arguments of every command that calls an entry process. */
export const callArguments = {
  entries: commandTypes.multioption({
    long: 'entry',
    type: commandTypes.array(addressType),
    description: 'Entry process to call; repeat it to add fallbacks',
  }),
  client: commandTypes.option({
    long: 'client',
    type: commandTypes.string,
    defaultValue: () => OPERATOR_CLIENT,
    description: 'Client on whose behalf the call is made',
  }),
  timeoutSeconds: commandTypes.option({
    long: 'timeout',
    type: timeoutType,
    defaultValue: () => DEFAULT_TIMEOUT_SECONDS,
    description: 'Time after which the command stops retrying, in seconds',
  }),
  json,
};

/** Parsed values of `callArguments`. */
export interface CallArguments {
  readonly entries: ReadonlyArray<string>;
  readonly client: string;
  readonly timeoutSeconds: number;
  readonly json: boolean;
}

/** Returns a client of the entry processes, or a fault if none is named. */
export function createClient(
  options: CallArguments,
): either.Either<string, entryClient.EntryClient> {
  if (options.entries.length === 0) {
    return either.Left('--entry: missing; name at least one entry process');
  }
  return either.Right(
    new entryClient.EntryClient(options.entries, options.client),
  );
}
