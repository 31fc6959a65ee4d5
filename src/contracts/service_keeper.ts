import type * as clock from '../machines/clock.js';
import type * as configuration from './configuration.js';
import type * as request from './request.js';
import type * as team from './team.js';
import type * as workload from './workload.js';

/** First wait before a replica that ended by itself is started again. */
const FIRST_BACKOFF_MS = 1_000;

/** Longest wait between starts of a replica that keeps ending. */
const LONGEST_BACKOFF_MS = 60_000;

/** A replica that ran this long starts again after the first wait. */
const STABLE_MS = 60_000;

/** One of the numbered tasks that a service consists of. */
export interface Replica {
  readonly team: string;
  readonly workload: string;
  readonly number: number;
}

/** What the keeper wants done. */
export type KeeperAction =
  | {
      /** Start a replica; answered by `requested` with the identity used. */
      readonly kind: 'request';
      readonly replica: Replica;
      readonly submission: request.Submission;
      /** Tasks of the request: one replica, not the whole service. */
      readonly taskCount: 1;
    }
  | {
      /** Stop a replica that was replaced or is no longer configured. */
      readonly kind: 'stop';
      readonly identity: string;
    };

/** Tells which replicas of the zone this process looks after. */
export interface ReplicaDuty {
  keeps(item: string): boolean;
}

/** Source of the documents in force. */
export interface DocumentSource {
  current(): configuration.Configuration;
}

interface ReplicaState {
  readonly replica: Replica;
  /** Identity of the running or requested task; empty when there is none. */
  readonly identity: string;
  readonly startedAt: clock.Milliseconds | undefined;
  /** Identity of the task that is to take over; empty without a move. */
  readonly successor: string;
  readonly isMoving: boolean;
  /** No start before this time. */
  readonly notBefore: clock.Milliseconds;
  readonly backoffMs: clock.Milliseconds;
}

interface Service {
  readonly team: team.Team;
  readonly workload: workload.Workload;
}

/** Name of the item whose owner looks after a replica. */
export function itemOf(replica: Replica): string {
  return `replica:${replica.team}/${replica.workload}/${replica.number}`;
}

/**
 * Keeps the services of one availability zone at their configured number of
 * replicas. The numbers are dealt to the allowed zones in turn.
 */
export class ServiceKeeper {
  private readonly states = new Map<string, ReplicaState>();
  private readonly items = new Map<string, string>();

  constructor(
    private readonly zone: string,
    private readonly documents: DocumentSource,
    private readonly duty: ReplicaDuty,
  ) {}

  /** Returns the starts and stops that are wanted now. */
  update(now: clock.Milliseconds): ReadonlyArray<KeeperAction> {
    const wanted = this.wanted();
    const actions = this.dropUnwanted(wanted);
    for (const replica of wanted.values()) {
      const state = this.stateOf(replica);
      if (!needsStart(state, now)) continue;
      const {team: name, workload: described} = replica;
      const submission = {team: name, workload: described, payload: ''};
      actions.push({kind: 'request', replica, submission, taskCount: 1});
    }
    return actions;
  }

  /** When a replica may be started next. */
  nextDeadline(now: clock.Milliseconds): clock.Milliseconds {
    let due = Infinity;
    for (const state of this.states.values()) {
      if (state.identity !== '' || state.notBefore <= now) continue;
      due = Math.min(due, state.notBefore);
    }
    return due;
  }

  /** Notes the identity under which a replica was requested or adopted. */
  requested(replica: Replica, identity: string): void {
    const state = this.stateOf(replica);
    this.items.set(identity, itemOf(replica));
    if (state.identity === '') this.put({...state, identity});
    else this.put({...state, successor: identity});
  }

  /** Notes a start; returns the identity that is to stop after a move. */
  started(
    identity: string,
    now: clock.Milliseconds,
  ): ReadonlyArray<KeeperAction> {
    const state = this.find(identity);
    if (state === undefined) return [];
    if (state.identity === identity) {
      this.put({...state, startedAt: now});
      return [];
    }
    this.items.delete(state.identity);
    this.put({
      ...state,
      identity,
      startedAt: now,
      successor: '',
      isMoving: false,
    });
    return [{kind: 'stop', identity: state.identity}];
  }

  /**
   * Notes that a task has ended, or will have by `leaseEnd` at the latest
   * when it is only known to be lost. Its successor never starts earlier.
   */
  ended(
    identity: string,
    now: clock.Milliseconds,
    leaseEnd: clock.Milliseconds = now,
  ): void {
    const state = this.find(identity);
    if (state === undefined) return;
    this.items.delete(identity);
    if (state.successor === identity) {
      this.put({...state, successor: '', isMoving: false});
      return;
    }
    const ranMs = now - (state.startedAt ?? now);
    const isStable = state.startedAt !== undefined && ranMs >= STABLE_MS;
    const backoffMs = isStable ? FIRST_BACKOFF_MS : state.backoffMs;
    this.put({
      ...state,
      identity: state.successor,
      startedAt: undefined,
      successor: '',
      isMoving: false,
      notBefore: Math.max(leaseEnd, now + backoffMs),
      backoffMs: Math.min(LONGEST_BACKOFF_MS, 2 * backoffMs),
    });
  }

  /**
   * Asks for a replica to be replaced elsewhere before it stops. Returns false
   * while another replica of the service moves or does not run.
   */
  move(identity: string): boolean {
    const state = this.find(identity);
    if (state === undefined || state.identity !== identity) return false;
    const {replica} = state;
    for (const other of this.states.values()) {
      const isSibling =
        other.replica.team === replica.team &&
        other.replica.workload === replica.workload;
      if (!isSibling) continue;
      if (other.isMoving || other.startedAt === undefined) return false;
    }
    this.put({...state, isMoving: true});
    return true;
  }

  private wanted(): ReadonlyMap<string, Replica> {
    const wanted = new Map<string, Replica>();
    for (const service of this.services()) {
      for (const number of this.numbersHere(service.workload)) {
        const {name} = service.workload;
        const replica = {team: service.team.name, workload: name, number};
        const item = itemOf(replica);
        if (this.duty.keeps(item)) wanted.set(item, replica);
      }
    }
    return wanted;
  }

  private services(): ReadonlyArray<Service> {
    const found: Service[] = [];
    for (const described of this.documents.current().teams.values()) {
      for (const item of described.workloads) {
        if (item.kind === 'service') {
          found.push({team: described, workload: item});
        }
      }
    }
    return found;
  }

  private numbersHere(service: workload.Workload): ReadonlyArray<number> {
    const planned = this.documents.current().fleet?.zones ?? [];
    const names = planned.map(zone => zone.name);
    const zones = [...(service.zones.length > 0 ? service.zones : names)];
    const position = zones.sort().indexOf(this.zone);
    const numbers: number[] = [];
    if (position < 0) return numbers;
    for (
      let number = position;
      number < service.taskCount;
      number += zones.length
    ) {
      numbers.push(number);
    }
    return numbers;
  }

  private dropUnwanted(wanted: ReadonlyMap<string, Replica>): KeeperAction[] {
    const actions: KeeperAction[] = [];
    for (const [item, state] of this.states) {
      if (wanted.has(item)) continue;
      this.states.delete(item);
      for (const identity of [state.identity, state.successor]) {
        if (identity === '') continue;
        this.items.delete(identity);
        // Whoever has taken the item over keeps the replica running.
        if (this.isConfigured(state.replica)) continue;
        actions.push({kind: 'stop', identity});
      }
    }
    return actions;
  }

  private isConfigured(replica: Replica): boolean {
    const described = this.documents.current().teams.get(replica.team);
    const service = described?.workloads.find(
      item => item.name === replica.workload && item.kind === 'service',
    );
    if (service === undefined) return false;
    return this.numbersHere(service).includes(replica.number);
  }

  private stateOf(replica: Replica): ReplicaState {
    const known = this.states.get(itemOf(replica));
    if (known !== undefined) return known;
    const created: ReplicaState = {
      replica,
      identity: '',
      startedAt: undefined,
      successor: '',
      isMoving: false,
      notBefore: -Infinity,
      backoffMs: FIRST_BACKOFF_MS,
    };
    this.put(created);
    return created;
  }

  private find(identity: string): ReplicaState | undefined {
    const item = this.items.get(identity);
    return item === undefined ? undefined : this.states.get(item);
  }

  private put(state: ReplicaState): void {
    this.states.set(itemOf(state.replica), state);
  }
}

function needsStart(state: ReplicaState, now: clock.Milliseconds): boolean {
  if (state.isMoving) return state.successor === '';
  return state.identity === '' && now >= state.notBefore;
}
