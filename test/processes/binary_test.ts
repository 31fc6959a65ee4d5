import * as assert from 'node:assert/strict';
import * as childProcess from 'node:child_process';
import * as nodeTest from 'node:test';
import * as processCell from '../support/process_cell.js';

nodeTest.describe('the single executable', () => {
  // Guards against code that works in the source tree only, because it reads
  // files or modules that the executable does not contain.
  nodeTest.test('serves a request among other processes', async () => {
    const built = childProcess.spawnSync(
      process.execPath,
      ['tools/build_binary.mjs'],
      {stdio: ['ignore', 'ignore', 'pipe']},
    );
    assert.equal(built.status, 0, built.stderr.toString());
    const cell = await processCell.ProcessCell.start();
    try {
      await cell.addWorker();
      const entry = await cell.addEntry(['dist/parsleyknot']);
      await cell.waitForOwnership(entry);
      const identity = await cell.reserveIdentity(entry);
      const answer = await cell.repeatUntilFinal(entry, identity, {
        answer: 'cut',
      });
      assert.equal(answer.body['answer'], 'cut', answer.text);
      entry.signal('SIGTERM');
      assert.equal(await entry.waitForExit(), 0);
    } finally {
      await cell.close();
    }
  });
});
