import * as assert from 'node:assert/strict';
import * as dgram from 'node:dgram';
import * as fs from 'node:fs';
import * as nodeTest from 'node:test';
import * as path from 'node:path';
import * as metrics from '../../src/operations/metrics.js';

function sources(folder: string): ReadonlyArray<string> {
  return fs
    .readdirSync(folder, {recursive: true, encoding: 'utf8'})
    .filter(name => name.endsWith('.ts'))
    .map(name => fs.readFileSync(path.join(folder, name), 'utf8'));
}

nodeTest.describe('metrics', () => {
  // Guards against counters that are missing from the operators' page.
  nodeTest.test('docs/metrics.md names each counter in the code', () => {
    const page = fs.readFileSync('docs/metrics.md', 'utf8');
    const named = new Set([...page.matchAll(/`(\w+)`/g)].map(item => item[1]));
    const pattern = /\bcount\(\s*'(\w+)'|metric: '(\w+)'/g;
    const counted = sources('src')
      .flatMap(text => [...text.matchAll(pattern)])
      .map(match => match[1] ?? match[2]);
    assert.ok(counted.length > 10);
    const missing = counted.filter(name => !named.has(name));
    assert.deepEqual([...new Set(missing)], []);
  });

  // Guards against counts that can't be told apart by process or reason.
  nodeTest.test('a count reaches the receiver with its tags', async () => {
    const receiver = dgram.createSocket('udp4');
    await new Promise<void>(resolve =>
      receiver.bind(0, '127.0.0.1', () => resolve()),
    );
    const {port} = receiver.address();
    const received = new Promise<string>(resolve =>
      receiver.once('message', message => resolve(message.toString())),
    );
    const sink = new metrics.StatsdMetrics('127.0.0.1', port, 'entry-1');
    sink.count('refusal', {reason: 'queueFull'}, 3);
    const text = await received;
    assert.match(text, /^parsleyknot\.refusal:3\|c\|#/);
    assert.match(text, /reason:queueFull/);
    assert.match(text, /process:entry-1/);
    await sink.close();
    receiver.close();
  });
});
