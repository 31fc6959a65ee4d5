import * as membership from './membership.js';
import * as resources from '../machines/resources.js';
import type * as permitTracker from './permit_tracker.js';
import type * as clock from '../machines/clock.js';
import type * as effect from '../contracts/effect.js';
import type * as event from '../contracts/event.js';
import type * as fleet from '../machines/fleet.js';
import type * as ownership from './ownership.js';
import type * as region from './region.js';
import type * as vmPresence from './vm_presence.js';
import type * as zoneStream from './zone_stream.js';

/** Time between summaries of one zone to each other zone. */
export const SUMMARY_INTERVAL_MS = 5_000;

/** Longest wait that a summary reports; longer waits make no difference. */
const MAXIMUM_REPORTED_WAIT_MS = 60 * 60 * 1_000;

/** Maximum number of leaving workers in one confirmation. */
const MAXIMUM_LEAVING_WORKERS = 64;

/** Identity and location of this process. */
export interface ProcessDescription {
  /** Unique to this incarnation of the process. */
  readonly process: string;
  readonly vm: string;
  readonly zone: string;
  readonly region: string;
  readonly address: string;
}

/** State that confirmations report and update. */
export interface ConfirmationDependencies {
  readonly self: ProcessDescription;
  readonly table: ownership.OwnershipTable;
  readonly members: membership.Membership;
  readonly presence: vmPresence.VmPresence;
  readonly stream: zoneStream.ZoneStream;
  readonly permits: permitTracker.PermitTracker;
  readonly workers: fleet.Fleet;
  readonly regions: region.RegionMap;
  readonly documents: () => ReadonlyArray<event.DocumentVersion>;
}

/**
 * Exchanges confirmations with the other members of the zone, and summaries
 * with one member of each other zone.
 */
export class ConfirmationExchange {
  private nextConfirmAt: clock.Milliseconds = 0;
  private nextSummaryAt: clock.Milliseconds = 0;
  private expectedWaitMs: clock.Milliseconds = 0;
  private leaving = false;
  /** Last summary of each other member; the zone's summary is their sum. */
  private readonly memberSummaries = new Map<string, event.ZoneSummary>();
  /** Summaries of other zones that are still to be sent to the members. */
  private summariesToForward: event.ZoneSummary[] = [];
  /** Number of unanswered calls by process of another zone. */
  private readonly failureCounts = new Map<string, number>();

  constructor(private readonly dependencies: ConfirmationDependencies) {}

  /** Sets the expected wait of new work here, for the zone's summary. */
  setExpectedWait(waitMs: clock.Milliseconds): void {
    this.expectedWaitMs = Math.min(
      Math.max(0, waitMs),
      MAXIMUM_REPORTED_WAIT_MS,
    );
  }

  /** Reports from now on to other members that this process is leaving. */
  beginLeaving(): void {
    this.leaving = true;
  }

  /** Returns the confirmations and summaries that are due. */
  poll(now: clock.Milliseconds): ReadonlyArray<effect.Effect> {
    const effects: effect.Effect[] = [];
    const isSummaryDue = now >= this.nextSummaryAt;
    if (now >= this.nextConfirmAt || isSummaryDue) {
      this.nextConfirmAt = now + membership.CONFIRM_INTERVAL_MS;
      effects.push(...this.confirmMembers(isSummaryDue));
    }
    if (isSummaryDue) {
      this.nextSummaryAt = now + SUMMARY_INTERVAL_MS;
      effects.push(...this.sendZoneSummary(now));
    }
    return effects;
  }

  /** Returns when `poll` has to be called next. */
  nextDeadline(): clock.Milliseconds {
    return Math.min(this.nextConfirmAt, this.nextSummaryAt);
  }

  /** Returns the answer to the confirmation request of another process. */
  handleRequest(
    request: Extract<event.Event, {kind: 'confirmArrived'}>,
    now: clock.Milliseconds,
  ): effect.Effect {
    const {self, members, stream, permits} = this.dependencies;
    const {status, call} = request;
    if (status.zone !== self.zone) return this.answerOtherZone(request, now);
    const isForThisProcess = request.to === self.process;
    if (isForThisProcess) members.recordMessage(status, true, now);
    this.applyStatus(status, now);
    const zoneRecords = stream.recordsFrom(request.zonePosition);
    // A promise is valid only together with every record read here.
    const confirmed =
      isForThisProcess &&
      zoneRecords !== undefined &&
      permits.promise(status.from, now);
    return {
      kind: 'answerConfirm',
      call,
      confirmed,
      zoneRecords: zoneRecords ?? [],
      status: this.memberStatus(),
    };
  }

  /** Handles an answer, whose records have been applied already. */
  handleAnswer(
    answer: Extract<event.Event, {kind: 'confirmAnswered'}>,
    now: clock.Milliseconds,
  ): void {
    const {self, members} = this.dependencies;
    if (answer.status.zone !== self.zone) {
      this.failureCounts.delete(answer.peer);
      this.applySummaries(answer.status, now);
      return;
    }
    if (answer.peer !== answer.status.from) return;
    members.recordMessage(answer.status, false, now);
    this.applyStatus(answer.status, now);
    if (answer.confirmed) {
      members.recordConfirmation(answer.peer, answer.sentAt, now);
    }
  }

  /** Counts an unanswered call, so that another VM of the zone is tried. */
  handleFailure(peer: string): void {
    if (this.dependencies.table.members().has(peer)) return;
    this.failureCounts.set(peer, (this.failureCounts.get(peer) ?? 0) + 1);
  }

  /** Returns the workers that are known to be leaving. */
  leavingWorkers(): ReadonlyArray<string> {
    return this.dependencies.workers
      .all()
      .filter(worker => worker.leaving)
      .map(worker => worker.name);
  }

  /** Sends confirmations, with the own summary only when one is due. */
  private confirmMembers(
    includeOwnSummary: boolean,
  ): ReadonlyArray<effect.Effect> {
    const {members, stream} = this.dependencies;
    const summaries = [...this.summariesToForward];
    if (includeOwnSummary) summaries.push(this.ownSummary());
    const status = {...this.memberStatus(), summaries};
    this.summariesToForward = [];
    return members
      .others()
      .filter(member => !members.isVmGone(member))
      .map(member => ({
        kind: 'confirmPeer',
        peer: member.process,
        address: member.address,
        zonePosition: stream.position,
        status,
      }));
  }

  private memberStatus(): event.PeerStatus {
    return {
      ...this.senderFields(),
      documents: this.dependencies.documents(),
      leavingWorkers: this.leavingWorkers().slice(0, MAXIMUM_LEAVING_WORKERS),
      summaries: [],
      leaving: this.leaving,
    };
  }

  private zoneStatus(now: clock.Milliseconds): event.PeerStatus {
    return {
      ...this.senderFields(),
      documents: [],
      leavingWorkers: [],
      summaries: [this.zoneSummary(now)],
      leaving: this.leaving,
    };
  }

  private senderFields(): Pick<event.PeerStatus, 'from' | 'zone' | 'address'> {
    const {process, zone, address} = this.dependencies.self;
    return {from: process, zone, address};
  }

  private applyStatus(status: event.PeerStatus, now: clock.Milliseconds): void {
    for (const name of status.leavingWorkers) {
      this.dependencies.workers.get(name)?.markLeaving();
    }
    for (const summary of status.summaries) {
      if (summary.zone !== this.dependencies.self.zone) {
        this.dependencies.regions.update(summary, now);
      } else this.memberSummaries.set(status.from, summary);
    }
  }

  private applySummaries(
    status: event.PeerStatus,
    now: clock.Milliseconds,
  ): void {
    for (const summary of status.summaries) {
      if (summary.zone === this.dependencies.self.zone) continue;
      this.dependencies.regions.update(summary, now);
      this.summariesToForward = this.summariesToForward.filter(
        forwarded => forwarded.zone !== summary.zone,
      );
      this.summariesToForward.push(summary);
    }
  }

  private answerOtherZone(
    request: Extract<event.Event, {kind: 'confirmArrived'}>,
    now: clock.Milliseconds,
  ): effect.Effect {
    this.applySummaries(request.status, now);
    return {
      kind: 'answerConfirm',
      call: request.call,
      confirmed: false,
      zoneRecords: [],
      status: this.zoneStatus(now),
    };
  }

  /** Sends the zone's summary if this process is the first live member. */
  private sendZoneSummary(
    now: clock.Milliseconds,
  ): ReadonlyArray<effect.Effect> {
    const {self, members} = this.dependencies;
    if (members.liveMembers(now)[0] !== self.process) return [];
    const status = this.zoneStatus(now);
    this.dependencies.regions.update(status.summaries[0], now);
    return this.otherZoneEntryVms().map(listed => ({
      kind: 'confirmPeer',
      peer: peerNameOf(listed),
      address: listed.address,
      zonePosition: 0,
      status,
    }));
  }

  /**
   * Returns one entry VM of each other zone with a greater name, so that each
   * pair of zones exchanges summaries once. The answer carries the summary of
   * the other zone.
   */
  private otherZoneEntryVms(): ReadonlyArray<event.ListedVm> {
    const {self, presence} = this.dependencies;
    const chosen = new Map<string, event.ListedVm>();
    for (const listed of presence.listed()) {
      if (listed.role !== 'entry' || listed.zone <= self.zone) continue;
      if (listed.state === 'leaving') continue;
      const current = chosen.get(listed.zone);
      if (current === undefined || this.isPreferredOver(listed, current)) {
        chosen.set(listed.zone, listed);
      }
    }
    return [...chosen.values()];
  }

  private isPreferredOver(
    first: event.ListedVm,
    second: event.ListedVm,
  ): boolean {
    const firstFailures = this.failureCounts.get(peerNameOf(first)) ?? 0;
    const secondFailures = this.failureCounts.get(peerNameOf(second)) ?? 0;
    if (firstFailures !== secondFailures) return firstFailures < secondFailures;
    return first.vm < second.vm;
  }

  private ownSummary(): event.ZoneSummary {
    const {table, workers, self} = this.dependencies;
    let free = resources.NONE;
    let workerCount = 0;
    for (const worker of workers.all()) {
      if (table.ownership(worker.name)?.owner !== self.process) continue;
      workerCount += 1;
      if (!worker.leaving) free = resources.add(free, worker.free);
    }
    return {
      zone: self.zone,
      freeProcessors: Math.max(0, free.processors),
      freeMemory: Math.max(0, free.memory),
      freeAccelerators: Math.max(0, free.accelerators),
      expectedWaitMs: Math.round(this.expectedWaitMs),
      workerCount,
    };
  }

  private zoneSummary(now: clock.Milliseconds): event.ZoneSummary {
    let total = this.ownSummary();
    for (const [process, summary] of this.memberSummaries) {
      const state = this.dependencies.members.state(process, now);
      if (state === 'dead') this.memberSummaries.delete(process);
      else total = addSummaries(total, summary);
    }
    return total;
  }
}

/** Returns the name to which every incarnation of a VM's process answers. */
function peerNameOf(listed: event.ListedVm): string {
  return `${listed.zone}.${listed.vm}`;
}

function addSummaries(
  first: event.ZoneSummary,
  second: event.ZoneSummary,
): event.ZoneSummary {
  return {
    zone: first.zone,
    freeProcessors: first.freeProcessors + second.freeProcessors,
    freeMemory: first.freeMemory + second.freeMemory,
    freeAccelerators: first.freeAccelerators + second.freeAccelerators,
    expectedWaitMs: Math.min(first.expectedWaitMs, second.expectedWaitMs),
    workerCount: first.workerCount + second.workerCount,
  };
}
