import * as assert from 'node:assert/strict';
import * as fs from 'node:fs';
import * as nodeTest from 'node:test';
import * as result from '../src/result.js';

function readTable(page: string): ReadonlyArray<ReadonlyArray<string>> {
  return fs
    .readFileSync(page, 'utf8')
    .split('\n')
    .filter(line => /^\| \d/.test(line))
    .map(line => line.split('|').map(cell => cell.trim()))
    .map(cells => cells.slice(1, -1));
}

nodeTest.describe('result codes', () => {
  // Guards against a documentation page that differs from the code.
  nodeTest.test('docs/errors.md has the same table', () => {
    const rows = Object.values(result.RESULT_CODES).map(row => [
      String(row.code),
      row.name,
      String(row.httpStatus),
      row.execution,
      row.retry,
      row.meaning,
    ]);
    assert.deepEqual(readTable('docs/errors.md'), rows);
  });

  nodeTest.test('each name and each number is used once', () => {
    const rows = Object.entries(result.RESULT_CODES);
    assert.equal(new Set(rows.map(([, row]) => row.code)).size, rows.length);
    for (const [name, row] of rows) assert.equal(name, row.name);
  });
});
