import * as commandTypes from 'cmd-ts';
import * as callArguments from './call_arguments.js';
import * as commandReport from './command_report.js';
import * as entryCommand from './entry_command.js';

const identityArgument = commandTypes.positional({
  displayName: 'IDENTITY',
  type: commandTypes.string,
  description: 'Identity of the request',
});

/** The command `explain`: shows why a request waits or where it runs. */
export const explain = commandTypes.command({
  name: 'explain',
  description: 'Shows why a request waits, where it runs or how it ended',
  args: {...callArguments.callArguments, identity: identityArgument},
  examples: [
    {
      description: 'Ask why a request waits',
      command:
        'parsleyknot explain --entry 10.0.0.5:7000 --client dispatch-service ' +
        'kigali-a.entry-1.0a1b2c3d_17_000102030405060708090a0b',
    },
  ],
  handler: options =>
    entryCommand.run(
      options,
      new commandReport.ProcessOutput(),
      async caller => {
        const path = `/v1/explain/${encodeURIComponent(options.identity)}`;
        return {reply: await caller.call(() => ({method: 'GET', path}))};
      },
    ),
});

/** The command `cancel`: cancels a waiting request or stops a running one. */
export const cancel = commandTypes.command({
  name: 'cancel',
  description:
    'Cancels a request; the reply says whether it had started, and a started ' +
    'one is stopped',
  args: {...callArguments.callArguments, identity: identityArgument},
  examples: [
    {
      description: 'Cancel a request',
      command:
        'parsleyknot cancel --entry 10.0.0.5:7000 --client dispatch-service ' +
        'kigali-a.entry-1.0a1b2c3d_17_000102030405060708090a0b',
    },
  ],
  handler: options =>
    entryCommand.run(
      options,
      new commandReport.ProcessOutput(),
      async caller => {
        const path = `/v1/requests/${encodeURIComponent(options.identity)}`;
        return {reply: await caller.call(() => ({method: 'DELETE', path}))};
      },
    ),
});
