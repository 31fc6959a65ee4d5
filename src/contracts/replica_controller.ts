import type * as clock from '../machines/clock.js';
import type * as configuration from './configuration.js';
import type * as request from './request.js';
import type * as team from './team.js';
import type * as workload from './workload.js';

/** Initial backoff before a replica that ended by itself is restarted. */
const INITIAL_BACKOFF_MS = 1_000;

/** Longest backoff before a replica that keeps ending is restarted. */
const MAXIMUM_BACKOFF_MS = 60_000;

/** Run time after which the backoff of a replica is reset. */
const STABLE_RUN_TIME_MS = 60_000;

/** One of the numbered tasks of a service. */
export interface Replica {
  readonly team: string;
  readonly workload: string;
  readonly number: number;
}

/** Action that the controller requests of its caller. */
export type ReplicaAction =
  | {
      /** Start a replica; report the identity used to `recordRequest`. */
      readonly kind: 'request';
      readonly replica: Replica;
      readonly submission: request.Submission;
      /** Tasks of the request: one replica rather than the whole service. */
      readonly taskCount: 1;
    }
  | {
      /** Stop a replica that was replaced or is no longer configured. */
      readonly kind: 'stop';
      readonly identity: string;
    };

/** Ownership of the replicas in the zone by this process. */
export interface ReplicaOwnership {
  owns(ownershipKey: string): boolean;
}

/** Source of the configuration in force. */
export interface ConfigurationSource {
  current(): configuration.Configuration;
}

interface ReplicaState {
  readonly replica: Replica;
  /** Identity of the running or requested task; empty if there is none. */
  readonly identity: string;
  readonly startedAt: clock.Milliseconds | undefined;
  /** Identity of the replacement during a move; otherwise empty. */
  readonly replacementIdentity: string;
  readonly isMoving: boolean;
  /** Earliest time of the next start. */
  readonly nextStartAt: clock.Milliseconds;
  readonly backoffMs: clock.Milliseconds;
}

interface Service {
  readonly team: team.Team;
  readonly workload: workload.Workload;
}

/** Returns the ownership key of a replica. */
export function ownershipKeyOf(replica: Replica): string {
  return `replica:${replica.team}/${replica.workload}/${replica.number}`;
}

/**
 * Reconciles the services of one availability zone with their configured number
 * of replicas. Replica numbers are assigned to the allowed zones round-robin.
 */
export class ReplicaController {
  private readonly states = new Map<string, ReplicaState>();
  private readonly ownershipKeyByIdentity = new Map<string, string>();

  constructor(
    private readonly zone: string,
    private readonly documents: ConfigurationSource,
    private readonly ownership: ReplicaOwnership,
  ) {}

  /** Returns the starts and stops that are due now. */
  update(now: clock.Milliseconds): ReadonlyArray<ReplicaAction> {
    const desired = this.desiredReplicas();
    const actions = this.removeUndesired(desired);
    for (const replica of desired.values()) {
      const state = this.stateOf(replica);
      if (!needsStart(state, now)) continue;
      const {team: teamName, workload: workloadName} = replica;
      const submission = {team: teamName, workload: workloadName, payload: ''};
      actions.push({kind: 'request', replica, submission, taskCount: 1});
    }
    return actions;
  }

  /** Returns when a replica may be started next; Infinity if none waits. */
  nextDeadline(now: clock.Milliseconds): clock.Milliseconds {
    let deadline = Infinity;
    for (const state of this.states.values()) {
      if (state.identity !== '' || state.nextStartAt <= now) continue;
      deadline = Math.min(deadline, state.nextStartAt);
    }
    return deadline;
  }

  /** Records the identity under which a replica was requested or adopted. */
  recordRequest(replica: Replica, identity: string): void {
    const state = this.stateOf(replica);
    this.ownershipKeyByIdentity.set(identity, ownershipKeyOf(replica));
    if (state.identity === '') this.saveState({...state, identity});
    else this.saveState({...state, replacementIdentity: identity});
  }

  /** Records a start; returns the stop of the replaced task after a move. */
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
    this.ownershipKeyByIdentity.delete(state.identity);
    this.saveState({
      ...state,
      identity,
      startedAt: now,
      replacementIdentity: '',
      isMoving: false,
    });
    return [{kind: 'stop', identity: state.identity}];
  }

  /**
   * Records that a task has ended. A task that is only known to be lost ends by
   * `leaseEnd` at the latest; its replacement never starts earlier.
   */
  recordEnd(
    identity: string,
    now: clock.Milliseconds,
    leaseEnd: clock.Milliseconds = now,
  ): void {
    const state = this.findState(identity);
    if (state === undefined) return;
    this.ownershipKeyByIdentity.delete(identity);
    if (state.replacementIdentity === identity) {
      this.saveState({...state, replacementIdentity: '', isMoving: false});
      return;
    }
    const runTimeMs = now - (state.startedAt ?? now);
    const isStable =
      state.startedAt !== undefined && runTimeMs >= STABLE_RUN_TIME_MS;
    const backoffMs = isStable ? INITIAL_BACKOFF_MS : state.backoffMs;
    this.saveState({
      ...state,
      identity: state.replacementIdentity,
      startedAt: undefined,
      replacementIdentity: '',
      isMoving: false,
      nextStartAt: Math.max(leaseEnd, now + backoffMs),
      backoffMs: Math.min(MAXIMUM_BACKOFF_MS, 2 * backoffMs),
    });
  }

  /**
   * Requests a replacement of a replica elsewhere before it stops. Returns
   * false while another replica of the service is moving or not running.
   */
  requestMove(identity: string): boolean {
    const state = this.findState(identity);
    if (state === undefined || state.identity !== identity) return false;
    const {replica} = state;
    for (const otherState of this.states.values()) {
      const isSibling =
        otherState.replica.team === replica.team &&
        otherState.replica.workload === replica.workload;
      if (!isSibling) continue;
      if (otherState.isMoving || otherState.startedAt === undefined) {
        return false;
      }
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
    const zoneIndex = zones.sort().indexOf(this.zone);
    const numbers: number[] = [];
    if (zoneIndex < 0) return numbers;
    for (
      let number = zoneIndex;
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
      for (const identity of [state.identity, state.replacementIdentity]) {
        if (identity === '') continue;
        this.ownershipKeyByIdentity.delete(identity);
        // The new owner of the replica keeps it running.
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
      replacementIdentity: '',
      isMoving: false,
      nextStartAt: -Infinity,
      backoffMs: INITIAL_BACKOFF_MS,
    };
    this.saveState(created);
    return created;
  }

  private findState(identity: string): ReplicaState | undefined {
    const ownershipKey = this.ownershipKeyByIdentity.get(identity);
    return ownershipKey === undefined
      ? undefined
      : this.states.get(ownershipKey);
  }

  private saveState(state: ReplicaState): void {
    this.states.set(ownershipKeyOf(state.replica), state);
  }
}

function needsStart(state: ReplicaState, now: clock.Milliseconds): boolean {
  if (state.isMoving) return state.replacementIdentity === '';
  return state.identity === '' && now >= state.nextStartAt;
}
