import * as assert from 'node:assert/strict';
import * as fs from 'node:fs';
import * as nodeTest from 'node:test';
import * as configurationPage from '../support/configuration_page.js';
import * as documentSchema from '../../src/links/document_schema.js';
import * as settings from '../../src/operations/settings.js';
import type * as tomlSchema from '../../src/links/toml_schema.js';

const PAGE = 'docs/configuration.md';

function section(heading: string): ReadonlyArray<string> {
  const text = fs.readFileSync(PAGE, 'utf8');
  const [, after] = text.split(`\n## ${heading}\n`);
  return after
    .split('\n## ')[0]
    .split('\n')
    .filter(line => line.startsWith('| `'));
}

const SECTIONS: ReadonlyArray<readonly [string, tomlSchema.TableRule]> = [
  ['Settings', settings.SETTINGS_SCHEMA],
  ['Document `fleet`', documentSchema.FLEET_SCHEMA],
  ['Documents `team/<name>`', documentSchema.TEAM_SCHEMA],
];

nodeTest.describe('configuration page', () => {
  for (const [heading, schema] of SECTIONS) {
    nodeTest.test(
      `${heading} lists exactly the keys of the schema; guards against a ` +
        'page whose rules or defaults differ from the program',
      () => {
        const expected = configurationPage.tableRows(schema);
        assert.deepEqual(section(heading), expected);
      },
    );
  }
});
