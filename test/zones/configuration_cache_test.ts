import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as configurationCache from '../../src/zones/configuration_cache.js';
import * as simulatedClock from '../support/simulated_clock.js';
import type * as cellPeers from '../../src/zones/cell_peers.js';
import type * as job from '../../src/jobs/job.js';

const {describe, test} = nodeTest;

function configurationOf(version: number): job.OperatorConfiguration {
  return {
    version,
    queues: [],
    bodyBytes: 1_024,
    headerTimeoutMs: 1_000,
    idleTimeoutMs: 1_000,
  };
}

function replyWith(version: number, ageMs: number): cellPeers.PingReply {
  return {
    newest: undefined,
    incarnation: 'other-1',
    leading: false,
    resigning: false,
    storeSilentMs: 0,
    configurationVersion: version,
    configurationAgeMs: ageMs,
    overloaded: false,
  };
}

/** Creates the cache of a member whose only peer has `peerConfiguration`. */
function cacheWithPeer(
  clock: simulatedClock.SimulatedClock,
  peerConfiguration: job.OperatorConfiguration,
): {cache: configurationCache.ConfigurationCache; updates: number[]} {
  const updates: number[] = [];
  const peers = {
    fetchConfiguration: async () => ({
      kind: 'answered',
      value: peerConfiguration,
    }),
  } as unknown as cellPeers.CellPeers;
  const cache = new configurationCache.ConfigurationCache({
    clock,
    peers,
    log: {event: () => undefined},
    onUpdated: configuration => void updates.push(configuration.version),
  });
  return {cache, updates};
}

describe('configuration cache', () => {
  // Guards against an outdated configuration on a member without access to the
  // store.
  test('fetches a newer configuration from another member', async () => {
    const clock = new simulatedClock.SimulatedClock();
    const {cache, updates} = cacheWithPeer(clock, configurationOf(7));
    cache.recordStoreRead(configurationOf(6));
    cache.compareWithPeer('other:1', replyWith(7, 100));
    await clock.advance(1);
    assert.equal(cache.version, 7);
    assert.deepEqual(updates, [6, 7]);
  });

  // Guards against a late read that restores an older configuration.
  test('keeps the newest configuration', () => {
    const clock = new simulatedClock.SimulatedClock();
    const {cache, updates} = cacheWithPeer(clock, configurationOf(7));
    cache.recordStoreRead(configurationOf(7));
    cache.recordStoreRead(configurationOf(6));
    assert.equal(cache.version, 7);
    assert.deepEqual(updates, [7]);
  });

  // Guards against a 503 from a member that others keep up to date, and against
  // replies based on a configuration that nobody has confirmed for long.
  test('derives its age from the newest confirmation', async () => {
    const clock = new simulatedClock.SimulatedClock();
    const {cache} = cacheWithPeer(clock, configurationOf(6));
    assert.equal(cache.ageMs, Infinity);
    cache.recordStoreRead(configurationOf(6));
    await clock.advance(5_000);
    assert.equal(cache.ageMs, 5_000);
    cache.compareWithPeer('other:1', replyWith(6, 300));
    assert.equal(cache.ageMs, 300);
    cache.compareWithPeer('other:1', replyWith(6, 900));
    assert.equal(cache.ageMs, 300);
    cache.compareWithPeer('other:1', replyWith(5, 0));
    assert.equal(cache.ageMs, 300);
  });
});
