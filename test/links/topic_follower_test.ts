import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as simulatedClock from '../support/simulated_clock.js';
import * as topicFollower from '../../src/links/topic_follower.js';
import type * as keyedTopic from '../../src/links/keyed_topic.js';

const {describe, test} = nodeTest;

function record(key: string, offset: number): keyedTopic.TopicRecord {
  return {key, offset, value: Buffer.from('1')};
}

/** Follows a topic with scripted answers; records the listener's calls. */
function startFollower(
  clock: simulatedClock.SimulatedClock,
  newest: () => keyedTopic.ReadOutcome,
  read: (from: number) => keyedTopic.ReadOutcome,
  onReceived: () => void = () => {},
): {notifications: string[]; follower: topicFollower.TopicFollower} {
  const notifications: string[] = [];
  const topic = {
    append: async () => ({kind: 'refused', detail: ''}) as const,
    readNewest: async () => {
      await clock.delay(5);
      return newest();
    },
    read: async (from: number) => {
      await clock.delay(50);
      return read(from);
    },
  };
  const follower = new topicFollower.TopicFollower(
    topic,
    {maximumWaitMs: 50, minimumReadIntervalMs: 0, trustsWait: true},
    {
      received: (changes, end, isSnapshot) => {
        const keys = changes.map(({key}) => key).join(',');
        notifications.push(
          `${isSnapshot ? 'whole' : 'more'} ${keys} to ${end}`,
        );
        onReceived();
      },
      interrupted: detail => notifications.push(`interrupted ${detail}`),
      resumed: () => notifications.push('resumed'),
      failed: error => notifications.push(`failed ${String(error)}`),
    },
    clock,
    milliseconds => clock.delay(milliseconds),
  );
  void follower.run();
  return {notifications, follower};
}

describe('a followed topic', () => {
  // Guards against changes that are missed between the snapshot and the first
  // read of changes.
  test('is read from the end of the snapshot', async () => {
    const clock = new simulatedClock.SimulatedClock();
    const {notifications, follower} = startFollower(
      clock,
      () => ({kind: 'read', records: [record('a', 3)], end: 4, topicEnd: 4}),
      from => ({
        kind: 'read',
        records: [record('b', from)],
        end: from + 1,
        topicEnd: from + 1,
      }),
    );
    await clock.advance(120);
    follower.close();
    assert.deepEqual(notifications, [
      'whole a to 4',
      'more b to 5',
      'more b to 6',
    ]);
  });

  // Guards against a process that stops following once the records at its
  // offset have expired.
  test('is read from a new snapshot after its records expired', async () => {
    const clock = new simulatedClock.SimulatedClock();
    const {notifications, follower} = startFollower(
      clock,
      () => ({kind: 'read', records: [], end: 9, topicEnd: 9}),
      () => ({kind: 'expired'}),
    );
    await clock.advance(130);
    follower.close();
    assert.deepEqual(notifications.slice(0, 2), ['whole  to 9', 'whole  to 9']);
  });

  // Guards against a busy loop while the store rejects reads, and against one
  // log line per rejected read.
  test('is retried with a delay while it is unavailable', async () => {
    const clock = new simulatedClock.SimulatedClock();
    let tries = 0;
    const {notifications, follower} = startFollower(
      clock,
      () => {
        tries += 1;
        return clock.now() < 1_000
          ? {kind: 'unavailable', detail: 'status 503'}
          : {kind: 'read', records: [], end: 0, topicEnd: 0};
      },
      () => ({kind: 'read', records: [], end: 0, topicEnd: 0}),
    );
    await clock.advance(990);
    assert.ok(tries >= 4 && tries <= 6, `${tries} tries`);
    assert.deepEqual(notifications, ['interrupted status 503']);
    await clock.advance(60);
    follower.close();
    assert.deepEqual(notifications.slice(1), ['whole  to 0', 'resumed']);
  });

  // Guards against a read that blocks for its whole wait although the store has
  // recovered, which delays changes by seconds.
  test('is read without a wait until the store answers again', async () => {
    const clock = new simulatedClock.SimulatedClock();
    const waits: number[] = [];
    const isDown = (): boolean => clock.now() > 100 && clock.now() < 1_000;
    const topic = {
      append: async () => ({kind: 'refused', detail: ''}) as const,
      readNewest: async () =>
        ({kind: 'read', records: [], end: 0, topicEnd: 0}) as const,
      read: async (_from: number, waitMs: number) => {
        waits.push(waitMs);
        await clock.delay(200);
        return isDown()
          ? ({kind: 'unavailable', detail: 'timeout'} as const)
          : ({kind: 'read', records: [], end: 0, topicEnd: 0} as const);
      },
    };
    const follower = new topicFollower.TopicFollower(
      topic,
      {maximumWaitMs: 2_500, minimumReadIntervalMs: 0, trustsWait: true},
      {
        received: () => {},
        interrupted: () => {},
        resumed: () => {},
        failed: assert.fail,
      },
      clock,
      milliseconds => clock.delay(milliseconds),
    );
    void follower.run();
    await clock.advance(1_500);
    follower.close();
    assert.deepEqual(waits.slice(0, 4), [2_500, 0, 0, 2_500]);
  });

  /** Follows a topic whose reads a test answers; records what they prove. */
  function followProofs(
    clock: simulatedClock.SimulatedClock,
    read: (waitMs: number) => Promise<keyedTopic.ReadOutcome>,
    trustsWait = true,
  ): {
    readonly follower: topicFollower.TopicFollower;
    readonly proofs: Array<number | undefined>;
  } {
    const proofs: Array<number | undefined> = [];
    const follower = new topicFollower.TopicFollower(
      {
        append: async () => ({kind: 'refused', detail: ''}),
        readNewest: async () => ({
          kind: 'read',
          records: [],
          end: 5,
          topicEnd: 5,
        }),
        read: (_from, waitMs) => read(waitMs),
      },
      {maximumWaitMs: 600, minimumReadIntervalMs: 0, trustsWait},
      {
        received: (_changes, _end, _isSnapshot, provenAt) =>
          void proofs.push(provenAt),
        interrupted: () => {},
        resumed: () => {},
        failed: assert.fail,
      },
      clock,
      milliseconds => clock.delay(milliseconds),
    );
    void follower.run();
    return {follower, proofs};
  }

  // Guards against an old answer that makes a version count as just confirmed.
  test('an answer that was under way for seconds proves the time of its request', async () => {
    const clock = new simulatedClock.SimulatedClock();
    const {follower, proofs} = followProofs(clock, async () => {
      await clock.delay(3_600);
      return {kind: 'read', records: [record('a', 5)], end: 6, topicEnd: 6};
    });
    await clock.advance(3_700);
    follower.close();
    assert.deepEqual(proofs, [0, 0]);
  });

  // Guards against an age that grows with the wait for a change on a calm day.
  test('an answer without records proves the end of its wait', async () => {
    const clock = new simulatedClock.SimulatedClock();
    const {follower, proofs} = followProofs(clock, async waitMs => {
      await clock.delay(waitMs + 20);
      return {kind: 'read', records: [], end: 5, topicEnd: 5};
    });
    await clock.advance(1_300);
    follower.close();
    assert.deepEqual(proofs, [0, 600, 1_220]);
  });

  // Guards against a proof of leadership that is dated too new: the store answers
  // early, and the answer is held up until after the wait.
  test('an answer without records proves no wait that is not trusted', async () => {
    const clock = new simulatedClock.SimulatedClock();
    const read = async (): Promise<keyedTopic.ReadOutcome> => {
      await clock.delay(900);
      return {kind: 'read', records: [], end: 5, topicEnd: 5};
    };
    const {follower, proofs} = followProofs(clock, read, false);
    await clock.advance(1_900);
    follower.close();
    assert.deepEqual(proofs, [0, 0, 900]);
  });

  // Guards against an answer that confirms a version although the topic has a
  // later record, which was deleted while the read waited.
  test('an answer that lacks records proves nothing and leads to a snapshot', async () => {
    const clock = new simulatedClock.SimulatedClock();
    const {follower, proofs} = followProofs(clock, async () => {
      await clock.delay(100);
      return {kind: 'read', records: [], end: 5, topicEnd: 9};
    });
    await clock.advance(150);
    follower.close();
    assert.deepEqual(proofs.slice(0, 3), [0, undefined, 100]);
  });

  // Guards against a store that has lost its latest state and confirms it.
  test('an answer that is behind earlier reads proves nothing', async () => {
    const clock = new simulatedClock.SimulatedClock();
    const {follower, proofs} = followProofs(clock, async () => {
      await clock.delay(100);
      return {kind: 'read', records: [], end: 5, topicEnd: 3};
    });
    await clock.advance(150);
    follower.close();
    assert.deepEqual(proofs.slice(0, 2), [0, undefined]);
  });

  // Guards against a version that is learned only after the timeout of a read
  // that waits on a silent connection.
  test('a hung read delayed a new version: reads beside it', async () => {
    const clock = new simulatedClock.SimulatedClock();
    const {follower, proofs} = followProofs(clock, async waitMs => {
      await clock.delay(waitMs > 0 ? 60_000 : 5);
      return {kind: 'read', records: [record('a', 5)], end: 6, topicEnd: 6};
    });
    await clock.advance(100);
    const answered = follower.readNow(500);
    await clock.advance(10);
    follower.close();
    assert.equal(await answered, true);
    assert.deepEqual(proofs, [0, 100]);
  });

  // Guards against a feed that is never read again after one unexpected error,
  // and against a loop of errors without a pause.
  test('an error of its listener ended the feed for good', async () => {
    const clock = new simulatedClock.SimulatedClock();
    let faultCount = 0;
    const {notifications, follower} = startFollower(
      clock,
      () => ({kind: 'read', records: [record('a', 3)], end: 4, topicEnd: 4}),
      from => ({kind: 'read', records: [], end: from, topicEnd: from}),
      () => {
        faultCount += 1;
        if (faultCount <= 3) throw new Error('odd record');
      },
    );
    await clock.advance(1_000);
    const fault = ['whole a to 4', 'failed Error: odd record'];
    assert.deepEqual(notifications, fault);
    await clock.advance(9_000);
    follower.close();
    const delivered = notifications.slice(0, 7);
    assert.deepEqual(delivered, [...fault, ...fault, ...fault, 'whole a to 4']);
  });

  // Guards against a caller that waits for a read and gets the listener's error.
  test('an error of its listener does not reach who asks for a read', async () => {
    const clock = new simulatedClock.SimulatedClock();
    const {follower} = startFollower(
      clock,
      () => ({kind: 'read', records: [record('a', 3)], end: 4, topicEnd: 4}),
      from => ({kind: 'read', records: [], end: from, topicEnd: from}),
      () => {
        throw new Error('odd record');
      },
    );
    const read = follower.readNow(50);
    await clock.advance(100);
    assert.equal(await read, false);
    follower.close();
  });
});
