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

function answerWith(version: number, ageMs: number): cellPeers.PingReply {
  return {
    newest: undefined,
    incarnation: 'other-1',
    leading: false,
    resigning: false,
    storeSilentMs: 0,
    configurationVersion: version,
    configurationAgeMs: ageMs,
  };
}

/** A holder whose only other member holds `others`. */
function holderBeside(
  time: simulatedClock.SimulatedClock,
  others: job.OperatorConfiguration,
): {holder: configurationCache.ConfigurationCache; taken: number[]} {
  const taken: number[] = [];
  const peers = {
    fetchConfiguration: async () => ({kind: 'answered', value: others}),
  } as unknown as cellPeers.CellPeers;
  const holder = new configurationCache.ConfigurationCache({
    clock: time,
    peers,
    log: {event: () => undefined},
    onUpdated: configuration => void taken.push(configuration.version),
  });
  return {holder, taken};
}

describe('the configuration of a member', () => {
  // Guards against an old configuration in force behind a cut from the store.
  test('is fetched from another member that holds a newer one', async () => {
    const time = new simulatedClock.SimulatedClock();
    const {holder, taken} = holderBeside(time, configurationOf(7));
    holder.recordStoreRead(configurationOf(6));
    holder.compareWithPeer('other:1', answerWith(7, 100));
    await time.advance(1);
    assert.equal(holder.version, 7);
    assert.deepEqual(taken, [6, 7]);
  });

  // Guards against a return to an older configuration by a late read.
  test('never goes back', () => {
    const time = new simulatedClock.SimulatedClock();
    const {holder, taken} = holderBeside(time, configurationOf(7));
    holder.recordStoreRead(configurationOf(7));
    holder.recordStoreRead(configurationOf(6));
    assert.equal(holder.version, 7);
    assert.deepEqual(taken, [7]);
  });

  // Guards against 503 from a member that others keep up to date, and against
  // answers by a configuration of which nobody has heard for long.
  test('is as old as the newest confirmation', async () => {
    const time = new simulatedClock.SimulatedClock();
    const {holder} = holderBeside(time, configurationOf(6));
    assert.equal(holder.ageMs, Infinity);
    holder.recordStoreRead(configurationOf(6));
    await time.advance(5_000);
    assert.equal(holder.ageMs, 5_000);
    holder.compareWithPeer('other:1', answerWith(6, 300));
    assert.equal(holder.ageMs, 300);
    holder.compareWithPeer('other:1', answerWith(6, 900));
    assert.equal(holder.ageMs, 300);
    holder.compareWithPeer('other:1', answerWith(5, 0));
    assert.equal(holder.ageMs, 300);
  });
});
