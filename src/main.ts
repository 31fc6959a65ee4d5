import * as commandTypes from 'cmd-ts';
import * as serve from './commands/serve.js';

const program = commandTypes.subcommands({
  name: 'parsleyknot',
  description: 'Schedules services, batch work and all-at-once jobs',
  cmds: {serve: serve.serve},
});

void commandTypes.run(program, process.argv.slice(2));
