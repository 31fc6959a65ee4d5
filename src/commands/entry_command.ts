import * as callArguments from './call_arguments.js';
import * as commandReport from './command_report.js';
import * as retryingCaller from './retrying_caller.js';
import type * as effect from '../contracts/effect.js';

/** Reply and additional fields that a command prints when it ends. */
export interface CommandResult {
  readonly reply: effect.Reply | undefined;
  /** Additional fields that are not part of the reply. */
  readonly additionalFields?: Readonly<Record<string, string | number>>;
}

/** Creates a client, runs the calls of a command and prints the result. */
export async function run(
  options: callArguments.CallArguments,
  output: commandReport.Output,
  perform: (caller: retryingCaller.RetryingCaller) => Promise<CommandResult>,
): Promise<void> {
  await callArguments.createClient(options).caseOf({
    Left: async fault => {
      commandReport.reportFaults(output, 'arguments', [fault], options.json);
    },
    Right: async client => {
      const caller = new retryingCaller.RetryingCaller(
        client,
        options.timeoutSeconds,
      );
      const {reply, additionalFields} = await perform(caller);
      commandReport.reportReply(output, reply, options.json, additionalFields);
      await client.close();
    },
  });
}
