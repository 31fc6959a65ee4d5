import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as configurationCache from '../../src/zones/configuration_cache.js';
import * as configurationFreshness from '../../src/zones/configuration_freshness.js';
import * as scriptedConfigurationSource from '../support/scripted_configuration_source.js';
import * as simulatedClock from '../support/simulated_clock.js';
import type * as cellPeers from '../../src/zones/cell_peers.js';

const {describe, test} = nodeTest;
const {configurationOf} = scriptedConfigurationSource;

/** Time within which a new configuration must be in force. */
const CONFIGURATION_MS = 2_500;

/** Member with one peer and a store, under control of a test. */
class MemberUnderTest {
  readonly clock = new simulatedClock.SimulatedClock();
  readonly source = new scriptedConfigurationSource.ScriptedConfigurationSource(
    this.clock,
  );
  readonly cache = new configurationCache.ConfigurationCache({
    clock: this.clock,
    log: {event: () => undefined},
    counters: {count: () => undefined, observe: () => undefined},
    onUpdated: () => undefined,
  });
  /** What the peer has; it does not answer while undefined. */
  peer: cellPeers.MemberConfiguration | undefined;
  readonly askedAddresses: string[] = [];
  readonly freshness = new configurationFreshness.ConfigurationFreshness(
    this.cache,
    {
      clock: this.clock,
      timer: this.clock,
      counters: {count: () => undefined, observe: () => undefined},
      source: this.source,
      peers: {
        fetchConfiguration: (
          address: string,
          knownVersion: number,
          timeoutMs: number,
        ) => this.askPeer(address, knownVersion, timeoutMs),
      } as unknown as cellPeers.CellPeers,
      peerAddresses: () => ['leader:1'],
      configurationMs: CONFIGURATION_MS,
    },
  );

  constructor() {
    this.source.follow((...read) => this.cache.recordStoreRead(...read));
    this.source.stored = configurationOf(6);
    this.source.deliver();
  }

  /** Returns the basis of a decision that is made now. */
  async decide(): Promise<configurationFreshness.ConfigurationBasis> {
    const basis = this.freshness.basis(600);
    await this.clock.advance(700);
    return basis;
  }

  private async askPeer(
    address: string,
    knownVersion: number,
    timeoutMs: number,
  ): Promise<cellPeers.PeerCallOutcome<cellPeers.MemberConfiguration>> {
    this.askedAddresses.push(address);
    const {peer} = this;
    await this.clock.delay(peer === undefined ? timeoutMs : 2);
    if (peer === undefined) return {kind: 'unanswered', detail: 'timeout'};
    const isNewer = peer.version > knownVersion;
    const configuration = isNewer ? peer.configuration : undefined;
    return {kind: 'answered', value: {...peer, configuration}};
  }
}

describe('freshness of the configuration', () => {
  // Guards against a known queue that is served by a version of any age while
  // the store would have told of a newer one.
  test('a known queue was served by an old version: asks before it decides', async () => {
    const member = new MemberUnderTest();
    assert.equal(member.freshness.standing, 'confirmed');
    await member.clock.advance(2_300);
    member.source.stored = configurationOf(7);
    assert.equal(member.freshness.standing, 'unconfirmed');
    const {standing, configuration} = await member.decide();
    assert.equal(standing, 'confirmed');
    assert.equal(configuration?.version, 7);
  });

  // Guards against a decision by an older version than one that another member
  // has told of, in a ping, a submission or an answer.
  test('a member decided by its old version although it was told of a newer one: has it first', async () => {
    const member = new MemberUnderTest();
    member.peer = {configuration: configurationOf(8), version: 8, ageMs: 40};
    member.source.answers = false;
    member.cache.announce(8, 'other:1');
    assert.equal(member.freshness.isUsable, false);
    const {standing, configuration} = await member.decide();
    assert.equal(standing, 'confirmed');
    assert.equal(configuration?.version, 8);
    assert.ok(member.askedAddresses.includes('other:1'));
  });

  // Guards against a decision by an older version when the newer one that
  // exists can't be had.
  test('a newer version that could not be had was ignored: decides nothing', async () => {
    const member = new MemberUnderTest();
    member.source.answers = false;
    member.cache.announce(8, 'other:1');
    assert.equal((await member.decide()).standing, 'outdated');
    assert.equal(member.freshness.isUsable, false);
  });

  // Guards against an availability zone that is cut off and serves nothing.
  test('goes on by the last version when nobody answers', async () => {
    const member = new MemberUnderTest();
    member.source.answers = false;
    await member.clock.advance(4_000);
    const {standing, configuration} = await member.decide();
    assert.equal(standing, 'cutOff');
    assert.equal(configuration?.version, 6);
    assert.equal(member.freshness.isUsable, true);
    member.source.answers = true;
    member.source.stored = configurationOf(9);
    await member.clock.advance(400);
    assert.equal((await member.decide()).configuration?.version, 9);
  });

  // Guards against a zone that refuses for as long as it is cut off, because
  // it was told of a version just before.
  test('an announcement ends with the contact to who made it', async () => {
    const member = new MemberUnderTest();
    member.source.answers = false;
    member.cache.announce(8, 'other:1');
    await member.clock.advance(2_300);
    assert.equal((await member.decide()).standing, 'cutOff');
  });

  // Guards against a hung read that delays new versions until decisions are due.
  test('asks before the proof is too old', async () => {
    const member = new MemberUnderTest();
    member.source.stored = configurationOf(7);
    member.clock.runEvery(100, () => member.freshness.review());
    await member.clock.advance(1_800);
    assert.equal(member.cache.version, 7);
    assert.equal(member.source.readCount, 1);
  });

  // Guards against a flood of calls while neither store nor members answer.
  test('asks at most once a second while nobody answers', async () => {
    const member = new MemberUnderTest();
    member.source.answers = false;
    member.clock.runEvery(100, () => member.freshness.review());
    await member.clock.advance(11_000);
    assert.ok(member.source.readCount <= 11, `${member.source.readCount}`);
    assert.ok(member.source.readCount >= 8, `${member.source.readCount}`);
  });

  // Guards against a successor that starts tasks by a version older than one
  // that its predecessor has acted on.
  test('a successor acted by an older version than its predecessor: proves its version first', async () => {
    const member = new MemberUnderTest();
    await member.clock.advance(100);
    member.source.stored = configurationOf(7);
    member.freshness.requireProof();
    assert.equal(member.freshness.isUsable, false);
    await member.clock.advance(10);
    assert.equal(member.freshness.isUsable, true);
    assert.equal(member.cache.version, 7);
  });
});
