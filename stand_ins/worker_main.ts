import * as commandTypes from 'cmd-ts';
import * as announce from './announce.js';
import * as standInWorker from './stand_in_worker.js';

function numberOption(
  long: string,
  description: string,
  defaultNumber: number,
): ReturnType<typeof commandTypes.option<typeof commandTypes.number>> {
  return commandTypes.option({
    long,
    description,
    type: commandTypes.number,
    defaultValue: () => defaultNumber,
  });
}

const command = commandTypes.command({
  name: 'worker',
  description: 'Runs a stand-in for a worker that tests control at /control',
  args: {
    name: commandTypes.option({long: 'name', type: commandTypes.string}),
    rack: commandTypes.option({
      long: 'rack',
      type: commandTypes.string,
      defaultValue: () => 'rack-1',
    }),
    port: numberOption('port', '0 selects a free port', 0),
    processors: numberOption('processors', 'thousandths of a core', 16_000),
    memory: numberOption('memory', 'MiB', 32_768),
    accelerators: numberOption('accelerators', 'whole accelerators', 0),
    slots: numberOption('slots', 'concurrent tasks', 8),
    runTimeMs: numberOption('run-time-ms', 'default for a task', 100),
    usageLagMs: numberOption('usage-lag-ms', 'delay of reported usage', 0),
    connectionLimit: numberOption('connections', 'concurrent connections', 60),
    clockRate: numberOption('clock-rate', "rate of the worker's clock", 1),
    clockOffsetMs: numberOption('clock-offset-ms', 'clock reading at start', 0),
  },
  handler: async ({port, processors, memory, accelerators, slots, ...rest}) => {
    const capacity = {processors, memory, accelerators, slots};
    const worker = new standInWorker.StandInWorker({...rest, capacity});
    announce.announceListening('worker', await worker.listen(port));
  },
});

void commandTypes.run(command, process.argv.slice(2));
