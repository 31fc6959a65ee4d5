import * as effect from './effect.js';
import type * as clock from '../machines/clock.js';
import type * as configurationDocuments from './configuration_documents.js';
import type * as event from './event.js';

/**
 * Time for which the log may lag behind a version that a peer already has. It
 * exceeds the read interval, so a healthy log causes no fetches from peers.
 */
export const LOG_GRACE_PERIOD_MS = 2_000;

/** Time between fetches of documents from peers. */
const FETCH_INTERVAL_MS = 1_000;

/** VM and zone of this process; peers of the same zone are asked first. */
export interface ProcessLocation {
  readonly vm: string;
  readonly zone: string;
}

/** Fetches documents from peers when the log does not deliver them in time. */
export class ConfigurationPeerFetcher {
  /** Entry VMs of the VM list, those of this zone first. */
  private entryVms: ReadonlyArray<event.ListedVm> = [];
  private nextEntryVmIndex = 0;
  private nextFetchAt = 0;
  private logCurrentAt: clock.Milliseconds | undefined;
  /** Newest version that a peer reported and that was missing here. */
  private missingVersion = 0;
  private missingSince = -Infinity;

  constructor(private readonly location: ProcessLocation | undefined) {}

  /** Records when the log was last read to its end, or the start time. */
  recordLogProgress(currentAt: clock.Milliseconds): void {
    this.logCurrentAt = Math.max(this.logCurrentAt ?? currentAt, currentAt);
  }

  /** Updates the entry VMs from which documents can be fetched. */
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

  /** Fetches documents from a peer that has newer versions than are in force. */
  fetchIfBehind(
    status: event.PeerStatus,
    inForce: configurationDocuments.ConfigurationDocuments,
    now: clock.Milliseconds,
  ): ReadonlyArray<effect.Effect> {
    const missing = status.documents.filter(
      reported => reported.version > inForce.version(reported.name),
    );
    if (missing.length === 0) return [];
    this.recordMissing(Math.max(...missing.map(item => item.version)), now);
    const isLogLate = now - this.missingSince >= LOG_GRACE_PERIOD_MS;
    const reason = this.isLogSilent(now) ? 'logSilent' : 'logLate';
    if (reason === 'logLate' && !isLogLate) return [];
    return this.fetch(status.from, status.address, inForce, reason, now);
  }

  /**
   * Fetches from the listed entry VMs in turn. A process that starts during an
   * outage of the log knows no members whose confirmations report versions.
   */
  fetchFromEntryVm(
    inForce: configurationDocuments.ConfigurationDocuments,
    now: clock.Milliseconds,
  ): ReadonlyArray<effect.Effect> {
    if (this.entryVms.length === 0 || !this.isLogSilent(now)) return [];
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
  ): ReadonlyArray<effect.Effect> {
    if (now < this.nextFetchAt) return [];
    this.nextFetchAt = now + FETCH_INTERVAL_MS;
    const have = inForce.all().map(({name, version}) => ({name, version}));
    return [
      effect.count('documents_fetched', {reason}),
      {kind: 'fetchDocuments', peer, address, have},
    ];
  }

  private isLogSilent(now: clock.Milliseconds): boolean {
    if (this.logCurrentAt === undefined) return false;
    return now - this.logCurrentAt >= LOG_GRACE_PERIOD_MS;
  }

  private recordMissing(version: number, now: clock.Milliseconds): void {
    if (version <= this.missingVersion) return;
    this.missingVersion = version;
    this.missingSince = now;
  }
}
