import * as effects from './effect.js';
import type * as clock from '../machines/clock.js';
import type * as configurationDocuments from './configuration_documents.js';
import type * as event from './event.js';

/**
 * Time for which the log may show a version that a peer already has. It
 * exceeds the read interval, so a healthy log causes no fetches from peers.
 */
export const LOG_HEAD_START_MS = 2_000;

/** Time between fetches of documents from peers. */
const FETCH_INTERVAL_MS = 1_000;

/** Fetches from a peer what the log does not show in time. */
export class ConfigurationPeers {
  private nextFetch = 0;
  /** Newest version that a peer has shown and that was missing here. */
  private missingVersion = 0;
  private missingSince = -Infinity;

  /** Compares what a peer has with the documents in force. */
  compare(
    news: event.PeerNews,
    inForce: configurationDocuments.DocumentSet,
    caughtUpAt: clock.Milliseconds,
    now: clock.Milliseconds,
  ): ReadonlyArray<effects.Effect> {
    const missing = news.documents.filter(
      known => known.version > inForce.version(known.name),
    );
    if (missing.length === 0) return [];
    this.noteMissing(Math.max(...missing.map(item => item.version)), now);
    const logIsSilent = now - caughtUpAt >= LOG_HEAD_START_MS;
    const logIsLate = now - this.missingSince >= LOG_HEAD_START_MS;
    if (!logIsSilent && !logIsLate) return [];
    if (now < this.nextFetch) return [];
    this.nextFetch = now + FETCH_INTERVAL_MS;
    return [
      effects.count('documents_fetched', {
        reason: logIsSilent ? 'logSilent' : 'logLate',
      }),
      {
        kind: 'fetchDocuments',
        peer: news.from,
        address: news.address,
        have: inForce.all().map(({name, version}) => ({name, version})),
      },
    ];
  }

  private noteMissing(version: number, now: clock.Milliseconds): void {
    if (version <= this.missingVersion) return;
    this.missingVersion = version;
    this.missingSince = now;
  }
}
