import * as commandTypes from 'cmd-ts';
import * as announce from './announce.js';
import * as logService from './log_service.js';

const command = commandTypes.command({
  name: 'log-service',
  description:
    'Runs a stand-in for the log service that tests control at /control',
  args: {
    port: commandTypes.option({
      long: 'port',
      type: commandTypes.number,
      defaultValue: () => 0,
    }),
    retention: commandTypes.option({
      long: 'retention',
      description: 'records kept per stream',
      type: commandTypes.number,
      defaultValue: () => Infinity,
    }),
  },
  handler: async ({port, retention}) => {
    const service = new logService.LogService(retention);
    announce.announceListening('log', await service.listen(port));
  },
});

void commandTypes.run(command, process.argv.slice(2));
