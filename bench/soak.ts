import * as commandTypes from 'cmd-ts';
import * as randomizedRun from './randomized_run.js';

/** Parses a comma-separated list of faults, `all` or `none`. */
function parseFaults(text: string): ReadonlyArray<randomizedRun.FaultKind> {
  if (text === 'all') return randomizedRun.FAULTS;
  if (text === 'none') return [];
  const names: ReadonlyArray<string> = text.split(',');
  return randomizedRun.FAULTS.filter(fault => names.includes(fault));
}

function describeResult(result: randomizedRun.RunResult): string {
  const firstViolation = result.violations[0];
  const violation =
    firstViolation === undefined ? '' : ` ${JSON.stringify(firstViolation)}`;
  const reported = result.reportedViolations[0] ?? '';
  return (
    `seed ${result.seed} violations ${result.violations.length}` +
    ` unfinished ${result.unfinishedCount} ${result.unfinishedRequests[0] ?? ''}` +
    ` reported ${result.reportedViolations.length} ${reported}${violation}`
  );
}

function addCounts<Key>(
  totals: Map<Key, number>,
  counts: ReadonlyMap<Key, number>,
): void {
  for (const [key, count] of counts) {
    totals.set(key, (totals.get(key) ?? 0) + count);
  }
}

const soak = commandTypes.command({
  name: 'soak',
  description: 'Performs randomised runs of entry processes over fakes',
  args: {
    seeds: commandTypes.option({
      long: 'seeds',
      type: commandTypes.number,
      defaultValue: () => 100,
    }),
    from: commandTypes.option({
      long: 'from',
      type: commandTypes.number,
      defaultValue: () => 1,
    }),
    faults: commandTypes.option({
      long: 'faults',
      type: commandTypes.string,
      defaultValue: () => 'all',
    }),
    trace: commandTypes.flag({long: 'trace'}),
  },
  handler: options => {
    const faults = parseFaults(options.faults);
    const faultCounts = new Map<randomizedRun.FaultKind, number>();
    const codeCounts = new Map<number, number>();
    let checkCount = 0;
    let failedCount = 0;
    for (let index = 0; index < options.seeds; index += 1) {
      const result = randomizedRun.runRandomized({
        seed: options.from + index,
        faults,
        trace: options.trace,
      });
      addCounts(faultCounts, result.faultCounts);
      addCounts(codeCounts, result.codeCounts);
      checkCount += result.checkCount;
      const runFailed =
        result.violations.length > 0 ||
        result.reportedViolations.length > 0 ||
        result.unfinishedCount > 0;
      if (!runFailed) continue;
      failedCount += 1;
      console.log(describeResult(result));
      if (options.trace) console.log(result.trace.join('\n'));
    }
    console.log(
      `seeds ${options.seeds} from ${options.from} failed ${failedCount}`,
    );
    console.log(`faults ${JSON.stringify(Object.fromEntries(faultCounts))}`);
    console.log(`codes ${JSON.stringify(Object.fromEntries(codeCounts))}`);
    console.log(`checks ${checkCount}`);
    const nothingTested =
      checkCount === 0 || (faults.length > 0 && faultCounts.size === 0);
    if (failedCount > 0 || nothingTested) process.exitCode = 1;
  },
});

void commandTypes.run(soak, process.argv.slice(2));
