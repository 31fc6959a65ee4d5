import * as path from 'node:path';
import * as commandTypes from 'cmd-ts';
import * as spawnedProcess from '../stand_ins/spawned_process.js';
import * as zoneSoak from './zone_soak.js';

/** Program that keeps a processor busy beside the cell. */
const BUSY_PROGRAM = 'for (;;);';

const soak = commandTypes.command({
  name: 'zone-soak',
  description: 'Cuts availability zones off in a cell of real processes',
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
    parallel: commandTypes.option({
      long: 'parallel',
      type: commandTypes.number,
      defaultValue: () => 1,
      description: 'cells at the same time; more than two disturb each other',
    }),
    busy: commandTypes.option({
      long: 'busy',
      type: commandTypes.number,
      defaultValue: () => 0,
      description: 'busy processes beside the cells',
    }),
    large: commandTypes.flag({
      long: 'large',
      description: 'cells of 22 processes',
    }),
    program: commandTypes.option({
      long: 'program',
      type: commandTypes.string,
      defaultValue: () => 'build/platform/main.js',
      description: 'program under test, of this or another build',
    }),
    logs: commandTypes.option({
      long: 'logs',
      type: commandTypes.string,
      defaultValue: () => '',
      description: "folder for each seed's logs and events",
    }),
  },
  handler: async ({seeds, from, parallel, busy, large, program, logs}) => {
    const size = large ? zoneSoak.LARGE_SIZE : zoneSoak.SMALL_SIZE;
    const command = [process.execPath, program];
    const busyProcesses = Array.from(
      {length: busy},
      () =>
        new spawnedProcess.SpawnedProcess(process.execPath, [
          '--eval',
          BUSY_PROGRAM,
        ]),
    );
    let nextSeed = from;
    let failedSeeds = 0;
    const runSeeds = async (): Promise<void> => {
      while (nextSeed < from + seeds) {
        const seed = nextSeed;
        nextSeed += 1;
        const logFolder = logs === '' ? undefined : path.join(logs, `${seed}`);
        const options = {seed, size, command, logFolder};
        const outcome = await zoneSoak.ZoneSoak.runSeed(options);
        printOutcome(seed, outcome);
        if (outcome.violations.length > 0) failedSeeds += 1;
      }
    };
    await Promise.all(Array.from({length: parallel}, runSeeds));
    for (const child of busyProcesses) await child.kill();
    console.log(`${seeds} seeds, ${failedSeeds} with violated guarantees`);
    process.exit(failedSeeds === 0 ? 0 : 1);
  },
});

function printOutcome(seed: number, outcome: zoneSoak.ZoneSoakOutcome): void {
  const {violations, acceptedCount, startCount, cutLines} = outcome;
  console.log(
    `seed ${seed} accepted ${acceptedCount} starts ${startCount}` +
      ` violations ${violations.length}`,
  );
  for (const [kind, count] of countKinds(violations)) {
    console.log(`  ${count} times: ${kind}`);
  }
  for (const line of cutLines) console.log(`  ${line}`);
}

/** Counts violations that differ only in names of jobs, runs and workers. */
function countKinds(
  violations: ReadonlyArray<string>,
): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const violation of violations) {
    const kind = violation.replace(/\b[0-9a-f]{16}[.\d]*|\b\d+\b/g, '#');
    counts.set(kind, (counts.get(kind) ?? 0) + 1);
  }
  return counts;
}

// The cells' processes end with this one.
for (const signal of ['SIGINT', 'SIGTERM'] as const) {
  process.once(signal, () => process.exit(1));
}

void commandTypes.run(soak, process.argv.slice(2));
