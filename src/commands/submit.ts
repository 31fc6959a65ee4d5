import * as commandTypes from 'cmd-ts';
import * as either from 'purify-ts/Either';
import * as callArguments from './call_arguments.js';
import * as commandReport from './command_report.js';
import * as entryCommand from './entry_command.js';
import * as inputFile from './input_file.js';
import * as retryingCaller from './retrying_caller.js';
import * as result from '../result.js';
import type * as effect from '../contracts/effect.js';

interface SubmissionBody {
  readonly team: string;
  readonly workload: string;
  readonly payload: string;
  readonly startDeadlineMs?: number;
}

/** The command `submit`: sends a request and waits for its answer. */
export const submit = commandTypes.command({
  name: 'submit',
  description:
    'Reserves an identity, submits a request with it and waits for the end; ' +
    'retries are safe, because an identity runs at most once',
  args: {
    ...callArguments.callArguments,
    team: commandTypes.option({
      long: 'team',
      type: commandTypes.string,
      description: 'Team that owns the workload',
    }),
    workload: commandTypes.option({
      long: 'workload',
      type: commandTypes.string,
      description: 'Workload to run',
    }),
    payload: commandTypes.option({
      long: 'payload',
      type: commandTypes.string,
      defaultValue: () => '',
      description: 'Text passed to the tasks',
    }),
    payloadFile: commandTypes.option({
      long: 'payload-file',
      type: commandTypes.optional(commandTypes.string),
      description: 'File with the text, instead of --payload',
    }),
    startDeadlineMs: commandTypes.option({
      long: 'start-deadline',
      type: commandTypes.optional(commandTypes.number),
      description: "Maximum wait for a start in ms; overrides the workload's",
    }),
    identity: commandTypes.option({
      long: 'identity',
      type: commandTypes.optional(commandTypes.string),
      description: 'Identity of an earlier attempt, to fetch its outcome',
    }),
  },
  examples: [
    {
      description: 'Submit a polish order and wait for its answer',
      command:
        'parsleyknot submit --entry 10.0.0.5:7000 --client dispatch-service ' +
        '--team dispatch --workload polish-order --payload order-17',
    },
  ],
  handler: async options => {
    const output = new commandReport.ProcessOutput();
    await readPayload(options.payload, options.payloadFile).caseOf({
      Left: async fault => {
        const file = options.payloadFile ?? '';
        commandReport.reportFaults(output, file, [fault], options.json);
      },
      Right: payload =>
        entryCommand.run(options, output, caller => {
          const {team, workload, startDeadlineMs, identity} = options;
          const submission = {team, workload, payload, startDeadlineMs};
          return submitRequest(caller, submission, identity);
        }),
    });
  },
});

function readPayload(
  text: string,
  file: string | undefined,
): either.Either<string, string> {
  return file === undefined ? either.Right(text) : inputFile.read(file);
}

async function submitRequest(
  caller: retryingCaller.RetryingCaller,
  submission: SubmissionBody,
  knownIdentity: string | undefined,
): Promise<entryCommand.CommandResult> {
  const identity = knownIdentity ?? (await reserveIdentity(caller));
  if (typeof identity !== 'string') return {reply: identity};
  const path = `/v1/requests/${encodeURIComponent(identity)}`;
  const body = JSON.stringify(submission);
  const reply = await caller.call(
    waitSeconds => ({
      method: 'PUT',
      path: `${path}?wait=${waitSeconds}`,
      body,
      headers: {'content-type': 'application/json'},
    }),
    {
      code: result.RESULT_CODES.unknownOutcome.code,
      detail: `repeat with --identity ${identity}`,
    },
  );
  return {reply, additionalFields: {identity}};
}

/** Returns a new identity, or the reply if it contains none. */
async function reserveIdentity(
  caller: retryingCaller.RetryingCaller,
): Promise<string | effect.Reply | undefined> {
  const reply = await caller.call(() => ({
    method: 'POST',
    path: '/v1/identities',
  }));
  return reply?.identities?.[0] ?? reply;
}
