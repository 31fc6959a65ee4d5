import * as assert from 'node:assert/strict';
import * as fs from 'node:fs';
import * as nodeTest from 'node:test';
import * as os from 'node:os';
import * as path from 'node:path';
import * as command from '../support/command.js';
import * as questionnaireSchema from '../../src/links/questionnaire_schema.js';
import * as documentGenerator from '../../src/links/document_generator.js';
import * as schemaPrompter from '../../src/commands/schema_prompter.js';
import * as tomlSchema from '../../src/links/toml_schema.js';

const COMMANDS = [
  'check',
  'questionnaire',
  'publish',
  'status',
  'workloads',
  'submit',
  'explain',
  'cancel',
  'drain',
];

nodeTest.describe('check', () => {
  nodeTest.test(
    'each fault is printed with line, field, value and rule, and the exit ' +
      'code is that for bad input; guards against faults found only at start',
    async () => {
      const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'check-'));
      const file = path.join(folder, 'settings.toml');
      fs.writeFileSync(file, 'vm = "entry-1"\ncallerPort = -1\n');
      const result = await command.runCommand('', 'check', '--config', file);
      fs.rmSync(folder, {recursive: true});
      assert.equal(result.exitCode, 2);
      assert.ok(
        result.output.includes(
          `${file}: line 2: callerPort: -1 must be a whole number from 0 to 65535`,
        ),
      );
      assert.ok(result.output.includes('zone: missing must be'));
    },
  );

  nodeTest.test(
    'the documents of both deployments have no faults, and a fleet passed as ' +
      'a team has; guards against faults found only by a publication',
    async () => {
      const stones = 'deployments/go_stones';
      const shred = 'deployments/secure_shred';
      const right = await command.runCommand(
        '',
        'check',
        `--fleet=${shred}/fleet.toml`,
        `--team=${shred}/team/day-team.toml`,
        `--team=${stones}/team/dispatch.toml`,
      );
      assert.equal(right.exitCode, 0);
      const wrong = ['check', `--team=${stones}/fleet.toml`, '--json'];
      const result = await command.runCommand('', ...wrong);
      assert.equal(result.exitCode, 2);
      assert.ok(JSON.parse(result.output).faults.length > 1);
    },
  );
});

nodeTest.describe('help', () => {
  nodeTest.test(
    'every command shows an example and --json; guards against commands ' +
      'that scripts cannot use',
    async () => {
      const results = await Promise.all(
        COMMANDS.map(name => command.runCommand('', name, '--help')),
      );
      results.forEach(({output}, position) => {
        const name = COMMANDS[position];
        assert.match(output, /--json/, name);
        assert.ok(output.includes(`parsleyknot ${name} --`), name);
      });
    },
  );
});

nodeTest.describe('questionnaire', () => {
  for (const deployment of ['go_stones', 'secure_shred']) {
    nodeTest.test(
      `the documents of ${deployment} match its answers; guards against ` +
        'documents edited by hand',
      () => {
        const folder = path.join('deployments', deployment);
        const answers = fs.readFileSync(
          path.join(folder, 'answers.toml'),
          'utf8',
        );
        const documents = documentGenerator
          .generateDocuments(answers)
          .unsafeCoerce();
        for (const {name, content} of documents) {
          const file = path.join(folder, `${name}.toml`);
          assert.equal(fs.readFileSync(file, 'utf8'), content, file);
        }
        const kinds = documents.map(({content}) => content).join('');
        for (const kind of ['service', 'batch', 'gang']) {
          assert.ok(kinds.includes(`kind = "${kind}"`), kind);
        }
      },
    );
  }

  nodeTest.test(
    'contradictory answers are reported by field; guards against generated ' +
      'workloads that can never run',
    () => {
      const answers = fs
        .readFileSync('deployments/go_stones/answers.toml', 'utf8')
        .replace('processors = 2\n', 'processors = 17\n')
        .replace('minutes = 10\n', '')
        .replace(
          'endsByItself = false\nmayRunTwice = true',
          'endsByItself = false\nmayRunTwice = false',
        );
      const faults = documentGenerator
        .generateDocuments(answers)
        .swap()
        .unsafeCoerce()
        .map(fault => fault.split(':')[0]);
      assert.deepEqual(faults, [
        'teams[0].work[0]',
        'teams[0].work[1].minutes',
        'teams[0].work[2].mayRunTwice',
      ]);
    },
  );

  nodeTest.test(
    'an input that ends early is a fault; guards against reporting success ' +
      'without documents',
    async () => {
      const result = await command.runCommand('Stones\n', 'questionnaire');
      assert.equal(result.exitCode, 2);
      assert.match(result.output, /the input ended/);
    },
  );

  nodeTest.test(
    'each typed answer is checked at once and asked again when faulty; ' +
      'guards against faults that are reported only at the end',
    async () => {
      const printed: string[] = [];
      const typed = new Map([
        ['operator', 'Stones'],
        ['zones[0].name', 'North'],
        ['zones[0].region', 'north'],
        ['workers[0].zones', 'north-a'],
        ['workers[0].countPerZone', '2'],
        ['workers[0].processors', '8'],
        ['workers[0].memoryGiB', '16'],
        ['workers[0].slots', '4'],
        ['teams[0].name', 'team'],
        ['teams[0].clients', 'one, two'],
        ['teams[0].fleetPercent', '50'],
        ['teams[0].backlogMinutes', '5'],
        ['teams[0].work[0].name', 'order'],
        ['teams[0].work[0].endsByItself', 'yes'],
        ['teams[0].work[0].mayRunTwice', 'no'],
        ['teams[0].work[0].whenLate', 'work piles up'],
        ['teams[0].work[0].processors', '1'],
        ['teams[0].work[0].memoryGiB', '1'],
        ['teams[0].work[0].minutes', '2'],
        ['teams[0].work[0].perBusyHour', '60'],
      ]);
      const prompter = {
        ask: async (question: string) => {
          if (question.includes('another one?')) return 'no';
          const key = question.split(': ')[0];
          const text = typed.get(key) ?? '';
          if (text === 'North') typed.set(key, 'north-a');
          return text;
        },
      };
      const raw = await new schemaPrompter.SchemaPrompter(prompter, text =>
        printed.push(text),
      ).askTable(questionnaireSchema.QUESTIONNAIRE_SCHEMA, '');
      const rule = new tomlSchema.NameRule().requirement;
      const fault = `zones[0].name: "North" must be ${rule}`;
      assert.ok(printed.includes(fault));
      const documents = documentGenerator
        .generateFromAnswers(raw)
        .unsafeCoerce();
      assert.deepEqual(
        documents.map(({name}) => name),
        ['fleet', 'team/team'],
      );
      assert.match(documents[1].content, /clients = \["one", "two"\]/);
    },
  );
});
