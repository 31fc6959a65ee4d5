import * as commandTypes from 'cmd-ts';
import * as callArguments from './call_arguments.js';
import * as commandReport from './command_report.js';
import * as entryCommand from './entry_command.js';

/** The command `status`: shows the state of one entry process. */
export const status = commandTypes.command({
  name: 'status',
  description: 'Shows the members, workers, documents and queues of a process',
  args: callArguments.callArguments,
  examples: [
    {
      description: 'Show the status of one entry process',
      command: 'parsleyknot status --entry 10.0.0.5:7000',
    },
  ],
  handler: options => runGet(options, '/v1/status'),
});

/** The command `workloads`: lists the configured workloads. */
export const workloads = commandTypes.command({
  name: 'workloads',
  description: 'Lists the workloads of the teams',
  args: callArguments.callArguments,
  examples: [
    {
      description: 'List the workloads as JSON',
      command: 'parsleyknot workloads --entry 10.0.0.5:7000 --json',
    },
  ],
  handler: options => runGet(options, '/v1/workloads'),
});

/** The command `drain`: drains a worker or an entry process. */
export const drain = commandTypes.command({
  name: 'drain',
  description:
    'Drains a worker, or without --worker the entry process itself, without ' +
    'interrupting a request',
  args: {
    ...callArguments.callArguments,
    worker: commandTypes.option({
      long: 'worker',
      type: commandTypes.optional(commandTypes.string),
      description: 'Worker to drain; without it the entry process is drained',
    }),
  },
  examples: [
    {
      description: 'Drain a worker',
      command: 'parsleyknot drain --entry 10.0.0.5:7000 --worker worker-12',
    },
  ],
  handler: async options => {
    const output = new commandReport.ProcessOutput();
    const {worker, entries, json} = options;
    if (worker === undefined && entries.length > 1) {
      // A retry against a fallback would drain that process as well.
      const fault = '--entry: give exactly one to drain an entry process';
      commandReport.reportFaults(output, 'arguments', [fault], json);
      return;
    }
    const body = JSON.stringify(worker === undefined ? {} : {worker});
    await entryCommand.run(options, output, async caller => ({
      reply: await caller.call(() => ({
        method: 'POST',
        path: '/v1/drain',
        body,
        headers: {'content-type': 'application/json'},
      })),
    }));
  },
});

function runGet(
  options: callArguments.CallArguments,
  path: string,
): Promise<void> {
  return entryCommand.run(
    options,
    new commandReport.ProcessOutput(),
    async caller => ({
      reply: await caller.call(() => ({method: 'GET', path})),
    }),
  );
}
