import * as assert from 'node:assert/strict';
import * as childProcess from 'node:child_process';
import * as nodeTest from 'node:test';

const {describe, test} = nodeTest;

function outputOf(file: string): Promise<string> {
  return new Promise((resolve, reject) => {
    childProcess.execFile(process.execPath, [file], (fault, output) => {
      if (fault === null) resolve(output);
      else reject(fault);
    });
  });
}

describe('platform demonstration', () => {
  // Guards against lost or repeated tasks in the demonstration of the README.
  test('completes all jobs although the scheduler is killed', async () => {
    const output = await outputOf('build/stand_ins/platform_try.js');
    assert.match(output, /calm +jobs 24 +completed 24 /);
    assert.match(output, /scheduler killed +jobs 24 +completed 24 /);
    assert.match(output, /tasks that were started +240\n/);
  });
});
