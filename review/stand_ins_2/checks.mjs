// Checks of the rules on what the workers have seen.

/** Returns the runs that the events tell of; an open run ends at `now`. */
export function runsOf(events, now) {
  const open = new Map();
  const runs = [];
  for (const {at, kind, worker, task, run, how} of events) {
    const key = `${worker} ${task} ${run}`;
    if (kind === 'start') {
      const started = {worker, task, run, from: at, to: now, how: 'open'};
      open.set(key, started);
      runs.push(started);
      continue;
    }
    const ended = open.get(key);
    if (ended !== undefined) Object.assign(ended, {to: at, how});
    open.delete(key);
  }
  return runs;
}

/** Returns pairs of runs of one task that ran at the same time. */
export function overlapsOf(runs) {
  const byTask = new Map();
  for (const run of runs) {
    byTask.set(run.task, [...(byTask.get(run.task) ?? []), run]);
  }
  const pairs = [];
  for (const ofTask of byTask.values()) {
    for (const [index, left] of ofTask.entries()) {
      for (const right of ofTask.slice(index + 1)) {
        const from = Math.max(left.from, right.from);
        const to = Math.min(left.to, right.to);
        if (to > from) pairs.push({task: left.task, left, right, from, to});
      }
    }
  }
  return pairs;
}

export function describe({worker, task, run, from, to, how}) {
  const seconds = ms => (ms / 1_000).toFixed(3);
  return `${task} run ${run} on ${worker} from ${seconds(from)} to ${seconds(to)} s: ${how}`;
}
