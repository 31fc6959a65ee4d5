import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as configurationCache from '../../src/zones/configuration_cache.js';
import * as scriptedConfigurationSource from '../support/scripted_configuration_source.js';
import * as simulatedClock from '../support/simulated_clock.js';

const {describe, test} = nodeTest;
const {configurationOf} = scriptedConfigurationSource;

interface CacheUnderTest {
  readonly clock: simulatedClock.SimulatedClock;
  readonly cache: configurationCache.ConfigurationCache;
  readonly updates: number[];
}

function createCache(): CacheUnderTest {
  const clock = new simulatedClock.SimulatedClock();
  const updates: number[] = [];
  const cache = new configurationCache.ConfigurationCache({
    clock,
    log: {event: () => undefined},
    counters: {count: () => undefined, observe: () => undefined},
    onUpdated: configuration => void updates.push(configuration.version),
  });
  return {clock, cache, updates};
}

describe('configuration cache', () => {
  // Guards against a late read that restores an older configuration.
  test('keeps the newest configuration', () => {
    const {cache, updates} = createCache();
    cache.recordStoreRead(configurationOf(7), 0);
    cache.recordStoreRead(configurationOf(6), 0);
    cache.takeOver(configurationOf(5), 0, 0);
    assert.equal(cache.version, 7);
    assert.deepEqual(updates, [7]);
  });

  // Guards against a 503 from a member that others keep up to date, and against
  // replies based on a configuration that nobody has confirmed for long.
  test('derives its age from the newest confirmation', async () => {
    const {cache, clock} = createCache();
    assert.equal(cache.ageMs, Infinity);
    cache.recordStoreRead(configurationOf(6), 0);
    await clock.advance(5_000);
    assert.equal(cache.ageMs, 5_000);
    cache.recordPeer('other:1', 6, 300, 5_000);
    assert.equal(cache.ageMs, 300);
    cache.recordPeer('other:1', 6, 900, 5_000);
    assert.equal(cache.ageMs, 300);
    cache.recordPeer('other:1', 5, 0, 5_000);
    assert.equal(cache.ageMs, 300);
  });

  // Guards against a version that counts as just confirmed because an answer
  // that was under way for seconds has been read just now.
  test('an answer that arrived late made an old version fresh: counts from the request', async () => {
    const {cache, clock} = createCache();
    cache.recordStoreRead(configurationOf(6), 0);
    await clock.advance(9_000);
    cache.recordStoreRead(undefined, 100);
    assert.equal(cache.ageMs, 8_900);
    cache.recordPeer('other:1', 6, 50, 200);
    assert.equal(cache.ageMs, 8_850);
    cache.recordStoreRead(undefined, undefined);
    assert.equal(cache.ageMs, 8_850);
  });

  // Guards against a fetched version whose age stays that of the version before.
  test('takes over the proof of a member with its configuration', async () => {
    const {cache, clock} = createCache();
    cache.recordStoreRead(configurationOf(6), 0);
    await clock.advance(9_000);
    cache.takeOver(configurationOf(7), 400, 8_950);
    assert.equal(cache.version, 7);
    assert.equal(cache.ageMs, 450);
  });

  // Guards against a member that forgets that a newer version exists.
  test('remembers an announced version until it has that or a later one', () => {
    const {cache} = createCache();
    cache.recordStoreRead(configurationOf(6), 0);
    cache.recordPeer('other:1', 9, 0, 0);
    cache.announce(8, 'third:1');
    assert.equal(cache.announced?.version, 9);
    assert.equal(cache.announced?.address, 'other:1');
    cache.takeOver(configurationOf(8), 0, 0);
    assert.equal(cache.announced?.version, 9);
    cache.recordStoreRead(configurationOf(10), 0);
    assert.equal(cache.announced, undefined);
  });
});
