import * as commandTypes from 'cmd-ts';
import * as announce from './announce.js';
import * as vmList from './vm_list.js';

const command = commandTypes.command({
  name: 'vm-list',
  description: 'Runs a stand-in for the VM list that tests control at /control',
  args: {
    port: commandTypes.option({
      long: 'port',
      type: commandTypes.number,
      defaultValue: () => 0,
    }),
    lagMs: commandTypes.option({
      long: 'lag-ms',
      description: 'milliseconds until a change appears',
      type: commandTypes.number,
      defaultValue: () => 0,
    }),
  },
  handler: async ({port, lagMs}) => {
    const list = new vmList.VmList(lagMs);
    announce.announceListening('vmList', await list.listen(port));
  },
});

void commandTypes.run(command, process.argv.slice(2));
