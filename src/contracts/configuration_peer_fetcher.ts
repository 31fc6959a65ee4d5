import * as effects from './effect.js';
import type * as clock from '../machines/clock.js';
import type * as configurationDocuments from './configuration_documents.js';
import type * as event from './event.js';

/**
 * Time for which the log may show a version that a peer already has. It
 * exceeds the read interval, so a healthy log causes no fetches from peers.
 */
export const LOG_GRACE_PERIOD_MS = 2_000;

/** Time between fetches of documents from peers. */
const FETCH_INTERVAL_MS = 1_000;

/** Where this process is, by which it chooses whom to ask first. */
export interface ProcessLocation {
  readonly vm: string;
  readonly zone: string;
}

/** Fetches from other processes what the log does not show in time. */
export class ConfigurationPeerFetcher {
  /** Entry VMs of the VM list, those of this zone first. */
  private entryVms: ReadonlyArray<event.ListedVm> = [];
  private nextEntryVmIndex = 0;
  private nextFetchAt = 0;
  private logCurrentAt: clock.Milliseconds | undefined;
  /** Newest version that a peer has shown and that was missing here. */
  private missingVersion = 0;
  private missingSince = -Infinity;

  constructor(private readonly location: ProcessLocation | undefined) {}

  /** Takes note of when the log last showed everything, or of the start. */
  recordLogProgress(currentAt: clock.Milliseconds): void {
    this.logCurrentAt = Math.max(this.logCurrentAt ?? currentAt, currentAt);
  }

  /** Takes note of the entry VMs that can be asked. */
  updateEntryVms(vms: ReadonlyArray<event.ListedVm>): void {
    const others = vms.filter(
      listed =>
        listed.role === 'entry' &&
        listed.state === 'live' &&
        listed.vm !== this.location?.vm,
    );
    const isInOwnZone = (listed: event.ListedVm): boolean =>
      listed.zone === this.location?.zone;
    this.entryVms = [
      ...others.filter(isInOwnZone),
      ...others.filter(listed => !isInOwnZone(listed)),
    ];
  }

  /** Compares what a peer has with the documents in force. */
  fetchIfBehind(
    news: event.PeerNews,
    inForce: configurationDocuments.ConfigurationDocuments,
    now: clock.Milliseconds,
  ): ReadonlyArray<effects.Effect> {
    const missing = news.documents.filter(
      known => known.version > inForce.version(known.name),
    );
    if (missing.length === 0) return [];
    this.recordMissing(Math.max(...missing.map(item => item.version)), now);
    const logIsLate = now - this.missingSince >= LOG_GRACE_PERIOD_MS;
    const reason = this.logIsSilent(now) ? 'logSilent' : 'logLate';
    if (reason === 'logLate' && !logIsLate) return [];
    return this.fetch(news.from, news.address, inForce, reason, now);
  }

  /**
   * Asks the listed entry VMs in turn. A process that starts during an outage
   * of the log knows no members whose confirmations could tell it more.
   */
  fetchFromEntryVm(
    inForce: configurationDocuments.ConfigurationDocuments,
    now: clock.Milliseconds,
  ): ReadonlyArray<effects.Effect> {
    if (this.entryVms.length === 0 || !this.logIsSilent(now)) return [];
    const {vm, address} =
      this.entryVms[this.nextEntryVmIndex % this.entryVms.length];
    const fetched = this.fetch(vm, address, inForce, 'start', now);
    if (fetched.length > 0) this.nextEntryVmIndex += 1;
    return fetched;
  }

  private fetch(
    peer: string,
    address: string,
    inForce: configurationDocuments.ConfigurationDocuments,
    reason: 'logSilent' | 'logLate' | 'start',
    now: clock.Milliseconds,
  ): ReadonlyArray<effects.Effect> {
    if (now < this.nextFetchAt) return [];
    this.nextFetchAt = now + FETCH_INTERVAL_MS;
    const have = inForce.all().map(({name, version}) => ({name, version}));
    return [
      effects.count('documents_fetched', {reason}),
      {kind: 'fetchDocuments', peer, address, have},
    ];
  }

  private logIsSilent(now: clock.Milliseconds): boolean {
    if (this.logCurrentAt === undefined) return false;
    return now - this.logCurrentAt >= LOG_GRACE_PERIOD_MS;
  }

  private recordMissing(version: number, now: clock.Milliseconds): void {
    if (version <= this.missingVersion) return;
    this.missingVersion = version;
    this.missingSince = now;
  }
}
