import type * as clock from '../machines/clock.js';
import type * as configuration from './configuration.js';
import type * as request from './request.js';
import type * as team from './team.js';
import type * as workload from './workload.js';

/** First wait before a replica that ended by itself is started again. */
const INITIAL_BACKOFF_MS = 1_000;

/** Longest wait between starts of a replica that keeps ending. */
const MAXIMUM_BACKOFF_MS = 60_000;

/** A replica that ran this long starts again after the first wait. */
const STABLE_RUN_TIME_MS = 60_000;

/** One of the numbered tasks that a service consists of. */
export interface Replica {
  readonly team: string;
  readonly workload: string;
  readonly number: number;
}

/** What the keeper wants done. */
export type ReplicaAction =
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
export interface ReplicaOwnership {
  owns(ownershipKey: string): boolean;
}

/** Source of the documents in force. */
export interface ConfigurationSource {
  current(): configuration.Configuration;
}

interface ReplicaState {
  readonly replica: Replica;
  /** Identity of the running or requested task; empty when there is none. */
  readonly identity: string;
  readonly startedAt: clock.Milliseconds | undefined;
  /** Identity of the task that is to take over; empty without a move. */
  readonly successorIdentity: string;
  readonly isMoving: boolean;
  /** No start before this time. */
  readonly nextStartAt: clock.Milliseconds;
  readonly backoffMs: clock.Milliseconds;
}

interface Service {
  readonly team: team.Team;
  readonly workload: workload.Workload;
}

/** Name of the item whose owner looks after a replica. */
export function ownershipKeyOf(replica: Replica): string {
  return `replica:${replica.team}/${replica.workload}/${replica.number}`;
}

/**
 * Keeps the services of one availability zone at their configured number of
 * replicas. The numbers are dealt to the allowed zones in turn.
 */
export class ReplicaController {
  private readonly states = new Map<string, ReplicaState>();
  private readonly ownershipKeys = new Map<string, string>();

  constructor(
    private readonly zone: string,
    private readonly documents: ConfigurationSource,
    private readonly ownership: ReplicaOwnership,
  ) {}

  /** Returns the starts and stops that are wanted now. */
  update(now: clock.Milliseconds): ReadonlyArray<ReplicaAction> {
    const desired = this.desiredReplicas();
    const actions = this.removeUndesired(desired);
    for (const replica of desired.values()) {
      const state = this.stateOf(replica);
      if (!needsStart(state, now)) continue;
      const {team: name, workload: definition} = replica;
      const submission = {team: name, workload: definition, payload: ''};
      actions.push({kind: 'request', replica, submission, taskCount: 1});
    }
    return actions;
  }

  /** When a replica may be started next. */
  nextDeadline(now: clock.Milliseconds): clock.Milliseconds {
    let deadline = Infinity;
    for (const state of this.states.values()) {
      if (state.identity !== '' || state.nextStartAt <= now) continue;
      deadline = Math.min(deadline, state.nextStartAt);
    }
    return deadline;
  }

  /** Notes the identity under which a replica was requested or adopted. */
  recordRequest(replica: Replica, identity: string): void {
    const state = this.stateOf(replica);
    this.ownershipKeys.set(identity, ownershipKeyOf(replica));
    if (state.identity === '') this.saveState({...state, identity});
    else this.saveState({...state, successorIdentity: identity});
  }

  /** Notes a start; returns the identity that is to stop after a move. */
  recordStart(
    identity: string,
    now: clock.Milliseconds,
  ): ReadonlyArray<ReplicaAction> {
    const state = this.findState(identity);
    if (state === undefined) return [];
    if (state.identity === identity) {
      this.saveState({...state, startedAt: now});
      return [];
    }
    this.ownershipKeys.delete(state.identity);
    this.saveState({
      ...state,
      identity,
      startedAt: now,
      successorIdentity: '',
      isMoving: false,
    });
    return [{kind: 'stop', identity: state.identity}];
  }

  /**
   * Notes that a task has ended, or will have by `leaseEnd` at the latest
   * when it is only known to be lost. Its successor never starts earlier.
   */
  recordEnd(
    identity: string,
    now: clock.Milliseconds,
    leaseEnd: clock.Milliseconds = now,
  ): void {
    const state = this.findState(identity);
    if (state === undefined) return;
    this.ownershipKeys.delete(identity);
    if (state.successorIdentity === identity) {
      this.saveState({...state, successorIdentity: '', isMoving: false});
      return;
    }
    const ranMs = now - (state.startedAt ?? now);
    const isStable =
      state.startedAt !== undefined && ranMs >= STABLE_RUN_TIME_MS;
    const backoffMs = isStable ? INITIAL_BACKOFF_MS : state.backoffMs;
    this.saveState({
      ...state,
      identity: state.successorIdentity,
      startedAt: undefined,
      successorIdentity: '',
      isMoving: false,
      nextStartAt: Math.max(leaseEnd, now + backoffMs),
      backoffMs: Math.min(MAXIMUM_BACKOFF_MS, 2 * backoffMs),
    });
  }

  /**
   * Asks for a replica to be replaced elsewhere before it stops. Returns false
   * while another replica of the service moves or does not run.
   */
  requestMove(identity: string): boolean {
    const state = this.findState(identity);
    if (state === undefined || state.identity !== identity) return false;
    const {replica} = state;
    for (const other of this.states.values()) {
      const isSibling =
        other.replica.team === replica.team &&
        other.replica.workload === replica.workload;
      if (!isSibling) continue;
      if (other.isMoving || other.startedAt === undefined) return false;
    }
    this.saveState({...state, isMoving: true});
    return true;
  }

  private desiredReplicas(): ReadonlyMap<string, Replica> {
    const desired = new Map<string, Replica>();
    for (const service of this.services()) {
      for (const number of this.replicaNumbersInZone(service.workload)) {
        const {name} = service.workload;
        const replica = {team: service.team.name, workload: name, number};
        const ownershipKey = ownershipKeyOf(replica);
        if (this.ownership.owns(ownershipKey)) {
          desired.set(ownershipKey, replica);
        }
      }
    }
    return desired;
  }

  private services(): ReadonlyArray<Service> {
    const found: Service[] = [];
    for (const configuredTeam of this.documents.current().teams.values()) {
      for (const item of configuredTeam.workloads) {
        if (item.kind === 'service') {
          found.push({team: configuredTeam, workload: item});
        }
      }
    }
    return found;
  }

  private replicaNumbersInZone(
    service: workload.Workload,
  ): ReadonlyArray<number> {
    const configuredZones = this.documents.current().fleet?.zones ?? [];
    const zoneNames = configuredZones.map(zone => zone.name);
    const zones = [...(service.zones.length > 0 ? service.zones : zoneNames)];
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

  private removeUndesired(
    desired: ReadonlyMap<string, Replica>,
  ): ReplicaAction[] {
    const actions: ReplicaAction[] = [];
    for (const [ownershipKey, state] of this.states) {
      if (desired.has(ownershipKey)) continue;
      this.states.delete(ownershipKey);
      for (const identity of [state.identity, state.successorIdentity]) {
        if (identity === '') continue;
        this.ownershipKeys.delete(identity);
        // Whoever has taken the item over keeps the replica running.
        if (this.isConfigured(state.replica)) continue;
        actions.push({kind: 'stop', identity});
      }
    }
    return actions;
  }

  private isConfigured(replica: Replica): boolean {
    const configuredTeam = this.documents.current().teams.get(replica.team);
    const service = configuredTeam?.workloads.find(
      item => item.name === replica.workload && item.kind === 'service',
    );
    if (service === undefined) return false;
    return this.replicaNumbersInZone(service).includes(replica.number);
  }

  private stateOf(replica: Replica): ReplicaState {
    const existing = this.states.get(ownershipKeyOf(replica));
    if (existing !== undefined) return existing;
    const created: ReplicaState = {
      replica,
      identity: '',
      startedAt: undefined,
      successorIdentity: '',
      isMoving: false,
      nextStartAt: -Infinity,
      backoffMs: INITIAL_BACKOFF_MS,
    };
    this.saveState(created);
    return created;
  }

  private findState(identity: string): ReplicaState | undefined {
    const ownershipKey = this.ownershipKeys.get(identity);
    return ownershipKey === undefined
      ? undefined
      : this.states.get(ownershipKey);
  }

  private saveState(state: ReplicaState): void {
    this.states.set(ownershipKeyOf(state.replica), state);
  }
}

function needsStart(state: ReplicaState, now: clock.Milliseconds): boolean {
  if (state.isMoving) return state.successorIdentity === '';
  return state.identity === '' && now >= state.nextStartAt;
}
