import * as remoteWorker from '../machines/remote_worker.js';
import type * as clock from '../machines/clock.js';
import type * as jobJournal from './job_journal.js';

/** Worker incarnations affected by a new registry list. */
export interface WorkerChanges {
  readonly joined: ReadonlyArray<remoteWorker.RemoteWorker>;
  readonly replaced: ReadonlyArray<ReplacedWorker>;
  /** Workers on whose machines the list names a later one, of another id. */
  readonly claimed: ReadonlyArray<remoteWorker.RemoteWorker>;
  /** Workers that the last list named and this one does not. */
  readonly unlisted: ReadonlyArray<remoteWorker.RemoteWorker>;
}

/** A worker incarnation and the next one under its id. */
export interface ReplacedWorker {
  readonly worker: remoteWorker.RemoteWorker;
  readonly nextIncarnation: remoteWorker.RemoteWorker;
}

/** All worker incarnations on which tasks may run, by worker id. */
export class WorkerTable {
  private readonly workers = new Map<string, remoteWorker.RemoteWorker>();
  /** The last incarnation of each worker id, also if it has ended. */
  private readonly lastIncarnations = new Map<
    string,
    remoteWorker.RemoteWorker
  >();

  all(): ReadonlyArray<remoteWorker.RemoteWorker> {
    return [...this.workers.values()];
  }

  get(id: string): remoteWorker.RemoteWorker | undefined {
    return this.workers.get(id);
  }

  remove(worker: remoteWorker.RemoteWorker): void {
    if (this.workers.get(worker.id) === worker) this.workers.delete(worker.id);
  }

  /**
   * Returns whether the registry lists a later worker of another id on the
   * machine, and not this one. A later incarnation of the same id does not count:
   * it may carry out calls meant for this one.
   */
  isReplaced(entry: remoteWorker.RegistryEntry): boolean {
    if (this.workers.has(entry.id)) return false;
    return this.all().some(
      ({entry: other}) =>
        other.id !== entry.id &&
        onSameMachine(other, entry) &&
        other.born > entry.born,
    );
  }

  /** Adds the next incarnation of a worker before the registry lists it. */
  addNextIncarnation(
    worker: remoteWorker.RemoteWorker,
    born: number,
    now: clock.Milliseconds,
  ): remoteWorker.RemoteWorker {
    const entry = {...worker.entry, born};
    const nextIncarnation = this.createIncarnation(entry, now);
    nextIncarnation.recordMissing(now);
    this.workers.set(entry.id, nextIncarnation);
    return nextIncarnation;
  }

  /**
   * Adds a worker that an earlier term stored, unless it or a later incarnation of it
   * is known.
   */
  addInherited(
    {entry, restarted, reached}: jobJournal.StoredWorker,
    now: clock.Milliseconds,
  ): remoteWorker.RemoteWorker {
    const known = this.workers.get(entry.id);
    if (known !== undefined) {
      const isLater = known.entry.born !== entry.born;
      if (isLater) known.markRestarted();
      else if (restarted === true) known.markRestarted(reached);
      return known;
    }
    const worker = this.createIncarnation(entry, now);
    if (restarted === true) worker.markRestarted(reached);
    worker.recordMissing(now);
    this.workers.set(entry.id, worker);
    return worker;
  }

  /** Applies the registry's current list and returns the changes. */
  applyRegistryList(
    entries: ReadonlyArray<remoteWorker.RegistryEntry>,
    now: clock.Milliseconds,
  ): WorkerChanges {
    const joined: remoteWorker.RemoteWorker[] = [];
    const replaced: ReplacedWorker[] = [];
    const listed = new Set(entries.map(entry => entry.id));
    const unlisted = this.all().filter(
      worker => worker.listed && !listed.has(worker.id),
    );
    for (const worker of unlisted) worker.recordMissing(now);
    for (const entry of entries) {
      const known = this.workers.get(entry.id);
      if (known?.isSameIncarnation(entry)) {
        known.update(entry, now);
        continue;
      }
      // An entry older than the known incarnation of this id is stale.
      if (known && known.entry.born > entry.born) continue;
      const worker = this.createIncarnation(entry, now);
      if (known) replaced.push({worker: known, nextIncarnation: worker});
      this.workers.set(entry.id, worker);
      joined.push(worker);
    }
    return {joined, replaced, claimed: this.findClaimed(joined), unlisted};
  }

  /** Creates the next incarnation of an id, or the first that is known. */
  private createIncarnation(
    entry: remoteWorker.RegistryEntry,
    now: clock.Milliseconds,
  ): remoteWorker.RemoteWorker {
    const last = this.lastIncarnations.get(entry.id);
    const worker =
      last === undefined
        ? new remoteWorker.RemoteWorker(entry, now)
        : remoteWorker.RemoteWorker.nextIncarnation(entry, now, last);
    this.lastIncarnations.set(entry.id, worker);
    return worker;
  }

  /** Returns the workers on whose machines later ones are listed. */
  private findClaimed(
    joined: ReadonlyArray<remoteWorker.RemoteWorker>,
  ): ReadonlyArray<remoteWorker.RemoteWorker> {
    return this.all().filter(({entry}) =>
      joined.some(
        ({entry: later}) =>
          onSameMachine(entry, later) && entry.born < later.born,
      ),
    );
  }
}

/** Returns whether both run on the same machine; false if it has no name. */
function onSameMachine(
  left: remoteWorker.RegistryEntry,
  right: remoteWorker.RegistryEntry,
): boolean {
  return left.machine !== '' && left.machine === right.machine;
}
