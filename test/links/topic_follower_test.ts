import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as simulatedClock from '../support/simulated_clock.js';
import * as topicFollower from '../../src/links/topic_follower.js';
import type * as keyedTopic from '../../src/links/keyed_topic.js';

const {describe, test} = nodeTest;

function record(key: string, offset: number): keyedTopic.TopicRecord {
  return {key, offset, value: Buffer.from('1')};
}

/** Follows a topic that answers as told; notes what is passed on. */
function following(
  time: simulatedClock.SimulatedClock,
  newest: () => keyedTopic.ReadOutcome,
  read: (from: number) => keyedTopic.ReadOutcome,
): {news: string[]; follower: topicFollower.TopicFollower} {
  const news: string[] = [];
  const topic = {
    append: async () => ({kind: 'refused', detail: ''}) as const,
    readNewest: async () => {
      await time.pause(5);
      return newest();
    },
    read: async (from: number) => {
      await time.pause(50);
      return read(from);
    },
  };
  const follower = new topicFollower.TopicFollower(
    topic,
    {maxWaitMs: 50, minReadIntervalMs: 0},
    {
      received: (changes, end, whole) => {
        const keys = changes.map(({key}) => key).join(',');
        news.push(`${whole ? 'whole' : 'more'} ${keys} to ${end}`);
      },
      interrupted: detail => news.push(`interrupted ${detail}`),
      resumed: () => news.push('resumed'),
    },
    time,
    milliseconds => time.pause(milliseconds),
  );
  void follower.run();
  return {news, follower};
}

describe('a topic that is followed', () => {
  // Guards against changes that are missed between the first look and the rest.
  test('is read on from where the first look ended', async () => {
    const time = new simulatedClock.SimulatedClock();
    const {news, follower} = following(
      time,
      () => ({kind: 'read', records: [record('a', 3)], end: 4}),
      from => ({kind: 'read', records: [record('b', from)], end: from + 1}),
    );
    await time.advance(120);
    follower.close();
    assert.deepEqual(news, ['whole a to 4', 'more b to 5', 'more b to 6']);
  });

  // Guards against a process that lags for good once history was dropped.
  test('is read anew when its history is gone', async () => {
    const time = new simulatedClock.SimulatedClock();
    const {news, follower} = following(
      time,
      () => ({kind: 'read', records: [], end: 9}),
      () => ({kind: 'expired'}),
    );
    await time.advance(130);
    follower.close();
    assert.deepEqual(news.slice(0, 2), ['whole  to 9', 'whole  to 9']);
  });

  // Guards against a loop without a pause while the store turns reads away, and
  // against a line of log for each of them.
  test('is tried again after a pause when it can not be read', async () => {
    const time = new simulatedClock.SimulatedClock();
    let tries = 0;
    const {news, follower} = following(
      time,
      () => {
        tries += 1;
        return time.now() < 1_000
          ? {kind: 'unavailable', detail: 'status 503'}
          : {kind: 'read', records: [], end: 0};
      },
      () => ({kind: 'read', records: [], end: 0}),
    );
    await time.advance(990);
    assert.ok(tries >= 4 && tries <= 6, `${tries} tries`);
    assert.deepEqual(news, ['interrupted status 503']);
    await time.advance(60);
    follower.close();
    assert.deepEqual(news.slice(1), ['whole  to 0', 'resumed']);
  });

  // Guards against a read that hangs for its whole wait in a store which is
  // back already, so that news of the outage comes seconds late.
  test('is read without a wait until the store answers again', async () => {
    const time = new simulatedClock.SimulatedClock();
    const waits: number[] = [];
    const isDown = (): boolean => time.now() > 100 && time.now() < 1_000;
    const topic = {
      append: async () => ({kind: 'refused', detail: ''}) as const,
      readNewest: async () => ({kind: 'read', records: [], end: 0}) as const,
      read: async (_from: number, waitMs: number) => {
        waits.push(waitMs);
        await time.pause(200);
        return isDown()
          ? ({kind: 'unavailable', detail: 'timeout'} as const)
          : ({kind: 'read', records: [], end: 0} as const);
      },
    };
    const follower = new topicFollower.TopicFollower(
      topic,
      {maxWaitMs: 2_500, minReadIntervalMs: 0},
      {received: () => {}, interrupted: () => {}, resumed: () => {}},
      time,
      milliseconds => time.pause(milliseconds),
    );
    void follower.run();
    await time.advance(1_500);
    follower.close();
    assert.deepEqual(waits.slice(0, 4), [2_500, 0, 0, 2_500]);
  });
});
