import * as assert from 'node:assert/strict';
import * as fs from 'node:fs';
import * as net from 'node:net';
import * as nodeTest from 'node:test';
import * as os from 'node:os';
import * as path from 'node:path';
import * as listen from '../../src/links/listen.js';
import * as loopbackAddress from '../../stand_ins/loopback_address.js';
import * as spawnedProcess from '../../stand_ins/spawned_process.js';

const {describe, test} = nodeTest;

describe('process that cannot open a port', () => {
  // Guards against a stack trace in place of the line that names the cause.
  test('ends with a line that names the address', async () => {
    const host = loopbackAddress.randomLoopbackAddress();
    const blocker = net.createServer();
    const takenPort = await listen.listen(blocker, host, 0);
    const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'start-'));
    const settingsFile = path.join(folder, 'settings.json');
    const settings = {
      node_name: 'node-0',
      ip: host,
      zone: 'zone-a',
      listen: {front: `${host}:${takenPort}`, ready: `${host}:${takenPort}`},
      port_range: [takenPort, takenPort + 1],
      platform: {address: `${host}:${takenPort}`},
    };
    fs.writeFileSync(settingsFile, JSON.stringify(settings));
    const child = new spawnedProcess.SpawnedProcess(
      process.execPath,
      ['build/platform/main.js'],
      {PARSLEYKNOT_SETTINGS: settingsFile},
    );
    assert.equal(await child.waitForExit(), 4);
    const line = await child.waitForLine(/event=startFailed/);
    assert.ok(line.includes(`${host}:${takenPort}`), line);
    blocker.close();
    fs.rmSync(folder, {recursive: true});
  });
});
