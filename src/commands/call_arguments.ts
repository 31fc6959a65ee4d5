import * as commandTypes from 'cmd-ts';
import * as either from 'purify-ts/Either';
import * as entryClient from '../links/entry_client.js';
import * as tomlSchema from '../links/toml_schema.js';

/** Client in whose name operators call when they name none. */
const OPERATOR_CLIENT = 'operator';

/** Time after which a command stops asking, in seconds. */
const DEFAULT_TIMEOUT_SECONDS = 60;

const address: commandTypes.Type<string, string> = {
  description: 'IP number and port for callers',
  displayName: 'address',
  async from(text) {
    const rule = new tomlSchema.AddressRule();
    const faults = rule.check(text, '--entry');
    if (faults.length === 0) return text;
    throw new Error(tomlSchema.formatFault(faults[0]));
  },
};

const timeout: commandTypes.Type<string, number> = {
  description: 'seconds',
  displayName: 'seconds',
  async from(text) {
    const rule = new tomlSchema.NumberRule(0, 86_400);
    const faults = rule.check(Number(text), '--timeout');
    if (faults.length === 0) return Number(text);
    throw new Error(tomlSchema.formatFault({...faults[0], value: text}));
  },
};

/** Prints JSON instead of text. */
export const json = commandTypes.flag({
  long: 'json',
  description: 'Print one JSON object a line',
});

/** Arguments of every command that calls an entry process. */
export const callArguments = {
  entries: commandTypes.multioption({
    long: 'entry',
    type: commandTypes.array(address),
    description: 'Entry process to ask; repeat it to name others to fall back',
  }),
  client: commandTypes.option({
    long: 'client',
    type: commandTypes.string,
    defaultValue: () => OPERATOR_CLIENT,
    description: 'Client in whose name the call is made',
  }),
  timeout: commandTypes.option({
    long: 'timeout',
    type: timeout,
    defaultValue: () => DEFAULT_TIMEOUT_SECONDS,
    description: 'Time after which the command stops asking, in seconds',
  }),
  json,
};

/** Values of `callArguments`. */
export interface CallArguments {
  readonly entries: ReadonlyArray<string>;
  readonly client: string;
  readonly timeout: number;
  readonly json: boolean;
}

/** Makes a client of the named entry processes. */
export function createClient(
  given: CallArguments,
): either.Either<string, entryClient.EntryClient> {
  if (given.entries.length === 0) {
    return either.Left('--entry: missing must be the address of one or more');
  }
  return either.Right(new entryClient.EntryClient(given.entries, given.client));
}
