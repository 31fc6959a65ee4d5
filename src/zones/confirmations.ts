import * as membership from './membership.js';
import * as resources from '../machines/resources.js';
import type * as authority from './authority.js';
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
const MAXIMUM_WAIT_MS = 60 * 60 * 1_000;

/** Largest number of leaving workers named in one confirmation. */
const LEAVING_LIMIT = 64;

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
export interface ConfirmationSources {
  readonly self: ProcessDescription;
  readonly table: ownership.OwnershipTable;
  readonly members: membership.Membership;
  readonly presence: vmPresence.VmPresence;
  readonly stream: zoneStream.ZoneStream;
  readonly authority: authority.Authority;
  readonly workers: fleet.Fleet;
  readonly regions: region.RegionMap;
  readonly documents: () => ReadonlyArray<event.DocumentVersion>;
}

/** The messages between members, and between one member of each zone. */
export class Confirmations {
  private nextConfirm: clock.Milliseconds = 0;
  private nextSummary: clock.Milliseconds = 0;
  private expectedWait: clock.Milliseconds = 0;
  private leaving = false;
  /** Summaries of own zone's members, of which the zone's is the sum. */
  private readonly parts = new Map<string, event.ZoneSummary>();
  /** Summaries from other zones that members have yet to hear. */
  private fresh: event.ZoneSummary[] = [];
  /** VMs of other zones that did not answer, by how often. */
  private readonly failures = new Map<string, number>();

  constructor(private readonly sources: ConfirmationSources) {}

  /** Sets the wait that new work has here, for the zone's summary. */
  setExpectedWait(wait: clock.Milliseconds): void {
    this.expectedWait = Math.min(Math.max(0, wait), MAXIMUM_WAIT_MS);
  }

  /** Tells other members from now on that this process leaves. */
  beginLeaving(): void {
    this.leaving = true;
  }

  /** Sends what is due. */
  poll(now: clock.Milliseconds): ReadonlyArray<effect.Effect> {
    const sent: effect.Effect[] = [];
    const due = now >= this.nextSummary;
    if (now >= this.nextConfirm || due) {
      this.nextConfirm = now + membership.CONFIRM_INTERVAL_MS;
      sent.push(...this.confirmMembers(due));
    }
    if (due) {
      this.nextSummary = now + SUMMARY_INTERVAL_MS;
      sent.push(...this.summarise(now));
    }
    return sent;
  }

  /** When `poll` is wanted next. */
  nextDeadline(): clock.Milliseconds {
    return Math.min(this.nextConfirm, this.nextSummary);
  }

  /** Answers another process. */
  answer(
    asked: Extract<event.Event, {kind: 'confirmArrived'}>,
    now: clock.Milliseconds,
  ): effect.Effect {
    const {self, members, stream, authority: own} = this.sources;
    const {status: news, call} = asked;
    if (news.zone !== self.zone) return this.answerZone(asked, now);
    const meant = asked.to === self.process;
    if (meant) members.heard(news, true, now);
    this.takeNews(news, now);
    const zoneRecords = stream.recordsFrom(asked.zonePosition);
    // A promise counts only together with every record read here.
    const confirmed =
      meant && zoneRecords !== undefined && own.promise(news.from, now);
    return {
      kind: 'answerConfirm',
      call,
      confirmed,
      zoneRecords: zoneRecords ?? [],
      status: this.memberNews(),
    };
  }

  /** Takes an answer; the records in it have been applied already. */
  answered(
    answer: Extract<event.Event, {kind: 'confirmAnswered'}>,
    now: clock.Milliseconds,
  ): void {
    const {self, members} = this.sources;
    if (answer.status.zone !== self.zone) {
      this.failures.delete(answer.peer);
      this.takeSummaries(answer.status, now);
      return;
    }
    if (answer.peer !== answer.status.from) return;
    members.heard(answer.status, false, now);
    this.takeNews(answer.status, now);
    if (answer.confirmed) members.confirmed(answer.peer, answer.sentAt, now);
  }

  /** Notes that a process did not answer, so that another one is tried. */
  failed(peer: string): void {
    if (this.sources.table.members().has(peer)) return;
    this.failures.set(peer, (this.failures.get(peer) ?? 0) + 1);
  }

  /** Workers that are known to leave. */
  leavingWorkers(): ReadonlyArray<string> {
    return this.sources.workers
      .all()
      .filter(known => known.leaving)
      .map(known => known.name);
  }

  /** Members learn each other's part of the summary only when it is due. */
  private confirmMembers(summarise: boolean): ReadonlyArray<effect.Effect> {
    const {members, stream} = this.sources;
    const summaries = [...this.fresh];
    if (summarise) summaries.push(this.ownPart());
    const news = {...this.memberNews(), summaries};
    this.fresh = [];
    return members
      .others()
      .filter(member => !members.isGone(member))
      .map(member => ({
        kind: 'confirmPeer',
        peer: member.process,
        address: member.address,
        zonePosition: stream.position,
        status: news,
      }));
  }

  private memberNews(): event.PeerStatus {
    return {
      ...this.sender(),
      documents: this.sources.documents(),
      leavingWorkers: this.leavingWorkers().slice(0, LEAVING_LIMIT),
      summaries: [],
      leaving: this.leaving,
    };
  }

  private zoneNews(now: clock.Milliseconds): event.PeerStatus {
    return {
      ...this.sender(),
      documents: [],
      leavingWorkers: [],
      summaries: [this.zoneSummary(now)],
      leaving: this.leaving,
    };
  }

  private sender(): Pick<event.PeerStatus, 'from' | 'zone' | 'address'> {
    const {process, zone, address} = this.sources.self;
    return {from: process, zone, address};
  }

  private takeNews(news: event.PeerStatus, now: clock.Milliseconds): void {
    for (const name of news.leavingWorkers) {
      this.sources.workers.get(name)?.markLeaving();
    }
    for (const summary of news.summaries) {
      if (summary.zone !== this.sources.self.zone) {
        this.sources.regions.update(summary, now);
      } else this.parts.set(news.from, summary);
    }
  }

  private takeSummaries(news: event.PeerStatus, now: clock.Milliseconds): void {
    for (const summary of news.summaries) {
      if (summary.zone === this.sources.self.zone) continue;
      this.sources.regions.update(summary, now);
      this.fresh = this.fresh.filter(known => known.zone !== summary.zone);
      this.fresh.push(summary);
    }
  }

  private answerZone(
    asked: Extract<event.Event, {kind: 'confirmArrived'}>,
    now: clock.Milliseconds,
  ): effect.Effect {
    this.takeSummaries(asked.status, now);
    return {
      kind: 'answerConfirm',
      call: asked.call,
      confirmed: false,
      zoneRecords: [],
      status: this.zoneNews(now),
    };
  }

  /** Sends the zone's summary if this process represents the zone. */
  private summarise(now: clock.Milliseconds): ReadonlyArray<effect.Effect> {
    const {self, members} = this.sources;
    if (members.live(now)[0] !== self.process) return [];
    const news = this.zoneNews(now);
    this.sources.regions.update(news.summaries[0], now);
    return this.representatives().map(listed => ({
      kind: 'confirmPeer',
      peer: zoneMember(listed),
      address: listed.address,
      zonePosition: 0,
      status: news,
    }));
  }

  /**
   * One entry VM of each other zone with a greater name, so that each pair of
   * zones exchanges summaries once; the answer brings the other's summary.
   */
  private representatives(): ReadonlyArray<event.ListedVm> {
    const {self, presence} = this.sources;
    const chosen = new Map<string, event.ListedVm>();
    for (const listed of presence.listed()) {
      if (listed.role !== 'entry' || listed.zone <= self.zone) continue;
      if (listed.state === 'leaving') continue;
      const known = chosen.get(listed.zone);
      if (known === undefined || this.precedes(listed, known)) {
        chosen.set(listed.zone, listed);
      }
    }
    return [...chosen.values()];
  }

  private precedes(first: event.ListedVm, second: event.ListedVm): boolean {
    const firstFailures = this.failures.get(zoneMember(first)) ?? 0;
    const secondFailures = this.failures.get(zoneMember(second)) ?? 0;
    if (firstFailures !== secondFailures) return firstFailures < secondFailures;
    return first.vm < second.vm;
  }

  private ownPart(): event.ZoneSummary {
    const {table, workers, self} = this.sources;
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
      expectedWaitMs: Math.round(this.expectedWait),
      workerCount,
    };
  }

  private zoneSummary(now: clock.Milliseconds): event.ZoneSummary {
    let sum = this.ownPart();
    for (const [process, part] of this.parts) {
      const state = this.sources.members.state(process, now);
      if (state === 'dead') this.parts.delete(process);
      else sum = addSummaries(sum, part);
    }
    return sum;
  }
}

/** Name that any incarnation of the process on a VM of a zone answers to. */
function zoneMember(listed: event.ListedVm): string {
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
