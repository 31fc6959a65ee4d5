import * as commandTypes from 'cmd-ts';
import * as platformSoak from './platform_soak.js';

const soak = commandTypes.command({
  name: 'platform-soak',
  description: 'Runs scheduler processes over stand-ins with injected faults',
  args: {
    seeds: commandTypes.option({
      long: 'seeds',
      type: commandTypes.number,
      defaultValue: () => 50,
    }),
    from: commandTypes.option({
      long: 'from',
      type: commandTypes.number,
      defaultValue: () => 1,
    }),
    large: commandTypes.flag({
      long: 'large',
      description: 'cells of 20 processes with leaders that are slowed down',
    }),
  },
  handler: async ({seeds, from, large}) => {
    const size = large ? platformSoak.LARGE_SIZE : platformSoak.SMALL_SIZE;
    let failedSeeds = 0;
    for (let seed = from; seed < from + seeds; seed += 1) {
      const outcome = await platformSoak.PlatformSoak.runSeed(seed, size);
      const {acceptedCount, startCount} = outcome;
      console.log(
        `seed ${seed} accepted ${acceptedCount} starts ${startCount}` +
          ` violations ${outcome.violations.length} ${outcome.violations[0] ?? ''}`,
      );
      if (outcome.violations.length > 0) failedSeeds += 1;
    }
    console.log(`${seeds} seeds, ${failedSeeds} with violated guarantees`);
    process.exit(failedSeeds === 0 ? 0 : 1);
  },
});

void commandTypes.run(soak, process.argv.slice(2));
