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

/** Longest wait that a summary states; longer ones mean the same. */
const MAXIMUM_REPORTED_WAIT_MS = 60 * 60 * 1_000;

/** Largest number of leaving workers named in one confirmation. */
const MAXIMUM_LEAVING_WORKERS = 64;

/** Who this process is. */
export interface ProcessDescription {
  /** Unique to this incarnation of the process. */
  readonly process: string;
  readonly vm: string;
  readonly zone: string;
  readonly region: string;
  readonly address: string;
}

/** What confirmations are made of. */
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

/** The messages between members, and between one member of each zone. */
export class ConfirmationExchange {
  private nextConfirmAt: clock.Milliseconds = 0;
  private nextSummaryAt: clock.Milliseconds = 0;
  private expectedWaitMs: clock.Milliseconds = 0;
  private leaving = false;
  /** Summaries of own zone's members, of which the zone's is the sum. */
  private readonly memberSummaries = new Map<string, event.ZoneSummary>();
  /** Summaries from other zones that members have yet to hear. */
  private summariesToForward: event.ZoneSummary[] = [];
  /** VMs of other zones that did not answer, by how often. */
  private readonly failureCounts = new Map<string, number>();

  constructor(private readonly dependencies: ConfirmationDependencies) {}

  /** Sets the wait that new work has here, for the zone's summary. */
  setExpectedWait(waitMs: clock.Milliseconds): void {
    this.expectedWaitMs = Math.min(
      Math.max(0, waitMs),
      MAXIMUM_REPORTED_WAIT_MS,
    );
  }

  /** Tells other members from now on that this process leaves. */
  beginLeaving(): void {
    this.leaving = true;
  }

  /** Sends what is due. */
  poll(now: clock.Milliseconds): ReadonlyArray<effect.Effect> {
    const sent: effect.Effect[] = [];
    const isSummaryDue = now >= this.nextSummaryAt;
    if (now >= this.nextConfirmAt || isSummaryDue) {
      this.nextConfirmAt = now + membership.CONFIRM_INTERVAL_MS;
      sent.push(...this.confirmMembers(isSummaryDue));
    }
    if (isSummaryDue) {
      this.nextSummaryAt = now + SUMMARY_INTERVAL_MS;
      sent.push(...this.sendZoneSummary(now));
    }
    return sent;
  }

  /** When `poll` is wanted next. */
  nextDeadline(): clock.Milliseconds {
    return Math.min(this.nextConfirmAt, this.nextSummaryAt);
  }

  /** Answers another process. */
  handleRequest(
    request: Extract<event.Event, {kind: 'confirmArrived'}>,
    now: clock.Milliseconds,
  ): effect.Effect {
    const {self, members, stream, permits} = this.dependencies;
    const {news, call} = request;
    if (news.zone !== self.zone) return this.answerOtherZone(request, now);
    const isForThisProcess = request.to === self.process;
    if (isForThisProcess) members.recordMessage(news, true, now);
    this.applyNews(news, now);
    const zoneRecords = stream.recordsFrom(request.zonePosition);
    // A promise counts only together with every record read here.
    const confirmed =
      isForThisProcess &&
      zoneRecords !== undefined &&
      permits.promise(news.from, now);
    return {
      kind: 'answerConfirm',
      call,
      confirmed,
      zoneRecords: zoneRecords ?? [],
      news: this.memberNews(),
    };
  }

  /** Takes an answer; the records in it have been applied already. */
  handleAnswer(
    answer: Extract<event.Event, {kind: 'confirmAnswered'}>,
    now: clock.Milliseconds,
  ): void {
    const {self, members} = this.dependencies;
    if (answer.news.zone !== self.zone) {
      this.failureCounts.delete(answer.peer);
      this.applySummaries(answer.news, now);
      return;
    }
    if (answer.peer !== answer.news.from) return;
    members.recordMessage(answer.news, false, now);
    this.applyNews(answer.news, now);
    if (answer.confirmed) {
      members.recordConfirmation(answer.peer, answer.sentAt, now);
    }
  }

  /** Notes that a process did not answer, so that another one is tried. */
  handleFailure(peer: string): void {
    if (this.dependencies.table.members().has(peer)) return;
    this.failureCounts.set(peer, (this.failureCounts.get(peer) ?? 0) + 1);
  }

  /** Workers that are known to leave. */
  leavingWorkers(): ReadonlyArray<string> {
    return this.dependencies.workers
      .all()
      .filter(known => known.leaving)
      .map(worker => worker.name);
  }

  /** Members learn each other's part of the summary only when it is due. */
  private confirmMembers(
    includeOwnSummary: boolean,
  ): ReadonlyArray<effect.Effect> {
    const {members, stream} = this.dependencies;
    const summaries = [...this.summariesToForward];
    if (includeOwnSummary) summaries.push(this.ownSummary());
    const news = {...this.memberNews(), summaries};
    this.summariesToForward = [];
    return members
      .others()
      .filter(member => !members.isVmGone(member))
      .map(member => ({
        kind: 'confirmPeer',
        peer: member.process,
        address: member.address,
        zonePosition: stream.position,
        news,
      }));
  }

  private memberNews(): event.PeerNews {
    return {
      ...this.senderFields(),
      documents: this.dependencies.documents(),
      leavingWorkers: this.leavingWorkers().slice(0, MAXIMUM_LEAVING_WORKERS),
      summaries: [],
      leaving: this.leaving,
    };
  }

  private zoneNews(now: clock.Milliseconds): event.PeerNews {
    return {
      ...this.senderFields(),
      documents: [],
      leavingWorkers: [],
      summaries: [this.zoneSummary(now)],
      leaving: this.leaving,
    };
  }

  private senderFields(): Pick<event.PeerNews, 'from' | 'zone' | 'address'> {
    const {process, zone, address} = this.dependencies.self;
    return {from: process, zone, address};
  }

  private applyNews(news: event.PeerNews, now: clock.Milliseconds): void {
    for (const name of news.leavingWorkers) {
      this.dependencies.workers.get(name)?.markLeaving();
    }
    for (const summary of news.summaries) {
      if (summary.zone !== this.dependencies.self.zone) {
        this.dependencies.regions.update(summary, now);
      } else this.memberSummaries.set(news.from, summary);
    }
  }

  private applySummaries(news: event.PeerNews, now: clock.Milliseconds): void {
    for (const summary of news.summaries) {
      if (summary.zone === this.dependencies.self.zone) continue;
      this.dependencies.regions.update(summary, now);
      this.summariesToForward = this.summariesToForward.filter(
        known => known.zone !== summary.zone,
      );
      this.summariesToForward.push(summary);
    }
  }

  private answerOtherZone(
    request: Extract<event.Event, {kind: 'confirmArrived'}>,
    now: clock.Milliseconds,
  ): effect.Effect {
    this.applySummaries(request.news, now);
    return {
      kind: 'answerConfirm',
      call: request.call,
      confirmed: false,
      zoneRecords: [],
      news: this.zoneNews(now),
    };
  }

  /** Sends the zone's summary if this process represents the zone. */
  private sendZoneSummary(
    now: clock.Milliseconds,
  ): ReadonlyArray<effect.Effect> {
    const {self, members} = this.dependencies;
    if (members.liveMembers(now)[0] !== self.process) return [];
    const news = this.zoneNews(now);
    this.dependencies.regions.update(news.summaries[0], now);
    return this.otherZoneEntryVms().map(listed => ({
      kind: 'confirmPeer',
      peer: peerNameOf(listed),
      address: listed.address,
      zonePosition: 0,
      news,
    }));
  }

  /**
   * One entry VM of each other zone with a greater name, so that each pair of
   * zones exchanges summaries once; the answer brings the other's summary.
   */
  private otherZoneEntryVms(): ReadonlyArray<event.ListedVm> {
    const {self, presence} = this.dependencies;
    const chosen = new Map<string, event.ListedVm>();
    for (const listed of presence.listed()) {
      if (listed.role !== 'entry' || listed.zone <= self.zone) continue;
      if (listed.state === 'leaving') continue;
      const current = chosen.get(listed.zone);
      if (current === undefined || this.precedes(listed, current)) {
        chosen.set(listed.zone, listed);
      }
    }
    return [...chosen.values()];
  }

  private precedes(first: event.ListedVm, second: event.ListedVm): boolean {
    const firstFailures = this.failureCounts.get(peerNameOf(first)) ?? 0;
    const secondFailures = this.failureCounts.get(peerNameOf(second)) ?? 0;
    if (firstFailures !== secondFailures) return firstFailures < secondFailures;
    return first.vm < second.vm;
  }

  private ownSummary(): event.ZoneSummary {
    const {table, workers, self} = this.dependencies;
    let free = resources.NONE;
    let workerCount = 0;
    for (const known of workers.all()) {
      if (table.ownership(known.name)?.owner !== self.process) continue;
      workerCount += 1;
      if (!known.leaving) free = resources.add(free, known.free);
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
    let sum = this.ownSummary();
    for (const [process, part] of this.memberSummaries) {
      const state = this.dependencies.members.state(process, now);
      if (state === 'dead') this.memberSummaries.delete(process);
      else sum = addSummaries(sum, part);
    }
    return sum;
  }
}

/** Name that any incarnation of the process on a VM of a zone answers to. */
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
