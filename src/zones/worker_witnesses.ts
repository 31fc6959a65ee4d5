import type * as clock from '../machines/clock.js';
import type * as witness from '../machines/witness.js';

/** What the witnesses say of a leader without the cell's log. */
export type WitnessWord =
  /** No list of witnesses is in force. */
  | 'unnamed'
  /** A majority has lately known no later term. */
  | 'quorum'
  | 'noQuorum';

/** Times by which the word of a witness counts. */
export interface WitnessLimits {
  /** Latest time at which the log is known to have held no later claim. */
  readonly provedByStoreAt: clock.Milliseconds;
  /** A witness has to have been asked after this time. */
  readonly askedAfter: clock.Milliseconds;
}

/** Most workers that are witnesses at a time, which bounds their record. */
const MAXIMUM_WITNESS_COUNT = 15;

/** Shortest time between two lists of a leader. */
const CHANGE_INTERVAL_MS = 1_000;

/**
 * Workers whose word a leader needs, beside that of the members, while the
 * cell's log does not answer it. A worker keeps the highest fencing token that
 * it has seen, so one that still accepts a leader's token was reached by no
 * successor. Example: all members are replaced while leader A may be cut off
 * with the earlier ones. Successor D can't ask them, but it has reached most of
 * the witnesses, and A needs most of them to act.
 *
 * The log holds the list. Only a leader changes it, and only once no earlier
 * leader may act, so that all leaders which may act heed the same list.
 */
export class WorkerWitnesses {
  private stored: ReadonlyArray<string> | undefined;
  /** List of a record that is being stored, or may be stored unseen. */
  private unconfirmed: ReadonlyArray<string> | undefined;
  /** List that the leaders before this term heed. */
  private inherited: ReadonlyArray<string> | undefined;
  /** Those of `inherited` that have accepted a token of this term. */
  private readonly informed = new Set<string>();
  private majorityInformedAt: clock.Milliseconds | undefined;
  private changedAt: clock.Milliseconds = -Infinity;

  constructor(private readonly workers: witness.WitnessSource) {}

  /** Whether the leaders before this term heed a list of witnesses. */
  get areInherited(): boolean {
    return this.inherited !== undefined;
  }

  /** When half of the inherited witnesses, or more, knew this term. */
  get informedAt(): clock.Milliseconds | undefined {
    return this.majorityInformedAt;
  }

  /** Begins a term of this process; earlier leaders heed the stored list. */
  beginTerm(): void {
    this.inherited = this.stored;
    this.informed.clear();
    this.majorityInformedAt = undefined;
    this.unconfirmed = undefined;
    this.changedAt = -Infinity;
  }

  /** Records the newest list of the log. */
  recordStored(ids: ReadonlyArray<string>): void {
    this.stored = ids;
    if (isSameList(ids, this.unconfirmed)) this.unconfirmed = undefined;
  }

  /** Looks for witnesses that have learned of this term. */
  review(now: clock.Milliseconds): void {
    const {inherited} = this;
    if (inherited === undefined || this.informedAt !== undefined) return;
    for (const id of inherited) {
      if (this.hasAccepted(id)) this.informed.add(id);
    }
    // Without half of the witnesses, the others are no majority.
    const isMajority = 2 * this.informed.size >= inherited.length;
    if (isMajority) this.majorityInformedAt = now;
  }

  /**
   * Returns the list to store with the next record; undefined if the stored one
   * serves. Until the log shows which of the two it holds, both are heeded.
   */
  takeChange(now: clock.Milliseconds): ReadonlyArray<string> | undefined {
    if (this.unconfirmed !== undefined) return this.unconfirmed;
    if (now - this.changedAt < CHANGE_INTERVAL_MS) return undefined;
    const selected = this.select();
    const isUseful = selected.length > 0 && !isSameList(selected, this.stored);
    if (!isUseful) return undefined;
    this.changedAt = now;
    this.unconfirmed = selected;
    return selected;
  }

  /** Returns what the witnesses say of this process as leader. */
  word(limits: WitnessLimits): WitnessWord {
    const {stored, unconfirmed} = this;
    for (const list of [stored, unconfirmed]) {
      if (list !== undefined && !this.hasQuorum(list, limits)) {
        return 'noQuorum';
      }
    }
    return stored === undefined ? 'unnamed' : 'quorum';
  }

  private hasQuorum(
    list: ReadonlyArray<string>,
    limits: WitnessLimits,
  ): boolean {
    const vouching = list.filter(id => this.vouches(id, limits));
    return 2 * vouching.length > list.length;
  }

  /**
   * Returns whether a witness still knew no later term. One that restarts
   * forgets the tokens that it has seen, so its incarnation counts only if it
   * had accepted this term's before the log showed that no later one existed.
   */
  private vouches(id: string, limits: WitnessLimits): boolean {
    const worker = this.workers.get(id);
    if (worker?.tokenAcceptedAt === undefined) return false;
    return (
      worker.tokenAcceptedAt <= limits.provedByStoreAt &&
      worker.tokenAskedAt > limits.askedAfter
    );
  }

  private hasAccepted(id: string): boolean {
    return this.workers.get(id)?.tokenAcceptedAt !== undefined;
  }

  /** Selects usable witnesses of all zones, those of the stored list first. */
  private select(): ReadonlyArray<string> {
    const usable = this.workers
      .all()
      .filter(({id, acceptsTasks}) => acceptsTasks && this.hasAccepted(id));
    const usableIds = new Set(usable.map(({id}) => id));
    const kept = (this.stored ?? []).filter(id => usableIds.has(id));
    const others = inTurnByZone(usable.filter(({id}) => !kept.includes(id)));
    return [...kept, ...others].slice(0, MAXIMUM_WITNESS_COUNT);
  }
}

/** Returns the ids of workers, the zones taking turns. */
function inTurnByZone(
  witnesses: ReadonlyArray<witness.Witness>,
): ReadonlyArray<string> {
  const turns = new Map<string, number>();
  const ranked = witnesses.map(({id, zone}) => {
    const turn = turns.get(zone) ?? 0;
    turns.set(zone, turn + 1);
    return {id, turn};
  });
  return ranked.sort((left, right) => left.turn - right.turn).map(({id}) => id);
}

function isSameList(
  left: ReadonlyArray<string>,
  right: ReadonlyArray<string> | undefined,
): boolean {
  return right !== undefined && left.join() === right.join();
}
