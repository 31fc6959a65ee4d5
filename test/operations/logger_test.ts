import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as logger from '../../src/operations/logger.js';

nodeTest.describe('log lines', () => {
  // Guards against a value with a line break or quotes that splits the line or
  // injects a key.
  nodeTest.test('an event is one line of key=value pairs', () => {
    const lines: string[] = [];
    const logs = new logger.Logger(line => lines.push(line));
    logs.log('warn', 'silentConnection', {
      link: 'worker',
      count: 3,
      empty: '',
      detail: 'two words\nlevel=error "quoted"',
    });
    assert.equal(lines.length, 1);
    assert.match(
      lines[0],
      /^time=\d{4}-\d\d-\d\dT[\d:.]+Z level=warn event=silentConnection /,
    );
    assert.ok(
      lines[0].endsWith(
        'link=worker count=3 empty="" ' +
          'detail="two words\\nlevel=error \\"quoted\\""',
      ),
    );
  });
});
