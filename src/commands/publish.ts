import * as commandTypes from 'cmd-ts';
import * as crypto from 'node:crypto';
import * as callArguments from './call_arguments.js';
import * as commandReport from './command_report.js';
import * as entryCommand from './entry_command.js';
import * as inputFile from './input_file.js';
import * as retryingCaller from './retrying_caller.js';
import * as result from '../result.js';
import type * as effect from '../contracts/effect.js';

interface PublishArguments {
  readonly document: string;
  readonly content: string;
  /** Base version; undefined for the one in force when the command starts. */
  readonly base: number | undefined;
  readonly publication: string;
}

/** The command `publish`: puts a document in force in every region. */
export const publish = commandTypes.command({
  name: 'publish',
  description:
    'Publishes a document if it has not changed since the version that the ' +
    'change was made from',
  args: {
    ...callArguments.callArguments,
    document: commandTypes.option({
      long: 'document',
      type: commandTypes.string,
      description: 'Name of the document: fleet or team/NAME',
    }),
    base: commandTypes.option({
      long: 'base',
      type: commandTypes.optional(commandTypes.number),
      description:
        'Version that the change was made from, 0 for a new document; by ' +
        'default the one in force now',
    }),
    publication: commandTypes.option({
      long: 'publication',
      type: commandTypes.string,
      defaultValue: () => crypto.randomUUID(),
      description:
        'Identity of an earlier attempt whose outcome is unknown; with it, ' +
        'give the base of that attempt as well',
    }),
    file: commandTypes.positional({
      displayName: 'FILE',
      type: commandTypes.string,
      description: 'TOML file with the content',
    }),
  },
  examples: [
    {
      description: 'Publish a team over version 41',
      command:
        'parsleyknot publish --entry 10.0.0.5:7000 --document team/dispatch ' +
        '--base 41 dispatch.toml',
    },
  ],
  handler: async options => {
    const output = new commandReport.ProcessOutput();
    await inputFile.read(options.file).caseOf({
      Left: async fault => {
        commandReport.reportFaults(output, options.file, [fault], options.json);
      },
      Right: content =>
        entryCommand.run(options, output, caller =>
          publishDocument(caller, {...options, content}),
        ),
    });
  },
});

async function publishDocument(
  caller: retryingCaller.RetryingCaller,
  wanted: PublishArguments,
): Promise<entryCommand.CommandResult> {
  const path = `/v1/configuration/${encodeURIComponent(wanted.document)}`;
  const {publication} = wanted;
  const base = wanted.base ?? (await fetchVersion(caller, path));
  if (typeof base !== 'number') return {reply: base};
  const reply = await caller.call(
    () => ({
      method: 'PUT',
      path,
      body: wanted.content,
      headers: {
        'content-type': 'application/toml',
        'if-match': `"${base}"`,
        'x-publication': publication,
      },
    }),
    {
      code: result.RESULT_CODES.publicationUnknown.code,
      detail: `repeat with --base ${base} --publication ${publication}`,
    },
  );
  return {reply, additionalFields: {publication, base}};
}

/** Returns the version in force, or the reply if it contains none. */
async function fetchVersion(
  caller: retryingCaller.RetryingCaller,
  path: string,
): Promise<number | effect.Reply | undefined> {
  const reply = await caller.call(() => ({method: 'GET', path}));
  if (reply?.code === result.RESULT_CODES.unknownDocument.code) return 0;
  if (reply?.code !== result.RESULT_CODES.ok.code) return reply;
  return reply.version ?? 0;
}
