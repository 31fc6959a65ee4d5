// Checks of the rules on what the workers have recorded.

/**
 * Returns the overlaps of two runs of one task, each as a line of text. A run
 * lasts from its start until its end, or until its worker was lost.
 */
export function overlappingRuns(events) {
  const open = new Map();
  const overlaps = [];
  for (const {at, worker, event, task, run} of events) {
    const runs = open.get(task) ?? new Map();
    open.set(task, runs);
    const key = `${worker}/${run}`;
    if (event === 'start') {
      for (const other of runs.keys()) {
        overlaps.push(`${task}: ${key} began beside ${other}`);
      }
      runs.set(key, at);
    } else if (event === 'end' || event === 'lost') runs.delete(key);
  }
  return overlaps;
}
