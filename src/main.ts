import * as commandTypes from 'cmd-ts';
import * as cellCommands from './commands/cell_commands.js';
import * as check from './commands/check.js';
import * as publish from './commands/publish.js';
import * as questionnaire from './commands/questionnaire.js';
import * as requestCommands from './commands/request_commands.js';
import * as serve from './commands/serve.js';
import * as submit from './commands/submit.js';
import * as tryCommand from './commands/try.js';

const program = commandTypes.subcommands({
  name: 'parsleyknot',
  description: 'Schedules services, batch work and gangs of tasks',
  cmds: {
    serve: serve.serve,
    check: check.check,
    questionnaire: questionnaire.questionnaire,
    publish: publish.publish,
    status: cellCommands.status,
    workloads: cellCommands.workloads,
    submit: submit.submit,
    explain: requestCommands.explain,
    cancel: requestCommands.cancel,
    drain: cellCommands.drain,
    try: tryCommand.tryCommand,
  },
});

void commandTypes.run(program, process.argv.slice(2));
