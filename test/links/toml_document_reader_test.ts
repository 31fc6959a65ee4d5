import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as configurationDocuments from '../../src/contracts/configuration_documents.js';
import * as tomlDocumentReader from '../../src/links/toml_document_reader.js';

const reader = new tomlDocumentReader.TomlDocumentReader();

const FLEET = `
zones = [{name = "north-a", region = "north"}]

[[workerShapes]]
capacity = {processors = 16000, memory = 32768, slots = 8}
zones = ["north-a"]
`;

function team(name: string, ...workloads: ReadonlyArray<string>): string {
  return [
    `name = "${name}"`,
    'clients = ["c"]',
    'quota = {processors = 1000, memory = 1000}',
    ...workloads,
  ].join('\n');
}

function workload(name: string, ...lines: ReadonlyArray<string>): string {
  return [
    '[[workloads]]',
    `name = "${name}"`,
    'kind = "batch"',
    'idempotent = true',
    'size = {processors = 1, memory = 1}',
    ...lines,
  ].join('\n');
}

function faultsOfTeam(content: string): ReadonlyArray<string> {
  const read = reader.readTeam(content);
  return read.swap().unsafeCoerce().detail.split('; ');
}

nodeTest.describe('documents', () => {
  nodeTest.test(
    'missing optional keys get their defaults; guards against undefined ' +
      'sizes in a decision',
    () => {
      const fleet = reader.readFleet(FLEET).unsafeCoerce();
      assert.equal(fleet.workerShapes[0].capacity.accelerators, 0);
      assert.equal(fleet.workerShapes[0].connections, 60);
      const read = reader.readTeam(team('a', workload('w'))).unsafeCoerce();
      assert.equal(read.workloads[0].urgency, 'normal');
      assert.deepEqual(read.workloads[0].zones, []);
      assert.equal(read.workloads[0].size.slots, 1);
    },
  );

  nodeTest.test(
    'all faults are reported together with field, value and rule; guards ' +
      'against one publication per corrected fault',
    () => {
      const faults = faultsOfTeam(
        team(
          'A',
          'share = 0',
          'colour = "red"',
          workload('w', 'worth = -1', 'taskCount = 1.5'),
          workload('w'),
        ),
      );
      const fields = faults.map(fault => fault.split(':')[0]);
      for (const field of [
        'name',
        'share',
        'colour',
        'workloads[0].worth',
        'workloads[0].taskCount',
        'workloads[1]',
      ]) {
        assert.ok(fields.includes(field), `${field} in ${fields.join(', ')}`);
      }
      assert.ok(
        faults.includes('share: 0 must be a number from 0.001 to 1000'),
      );
    },
  );

  nodeTest.test(
    'a gang of one task and a service with a run time are refused; guards ' +
      'against workloads that no placement policy supports',
    () => {
      const gang = workload('g').replace('batch', 'gang');
      const service = workload('s', 'runTimeMs = 5').replace(
        'batch',
        'service',
      );
      const fields = faultsOfTeam(team('a', gang, service)).map(
        fault => fault.split(':')[0],
      );
      assert.deepEqual(fields, [
        'workloads[0].taskCount',
        'workloads[1].runTimeMs',
      ]);
    },
  );

  nodeTest.test(
    'a worker shape in an unknown zone and invalid TOML are refused; ' +
      'guards against workers in zones that do not exist',
    () => {
      const fleet = FLEET.replace('["north-a"]', '["south-a"]');
      const {detail} = reader.readFleet(fleet).swap().unsafeCoerce();
      assert.match(detail, /^workerShapes\[0\].zones: "south-a" must be/);
      const broken = reader.readFleet('zones = [').swap().unsafeCoerce();
      assert.match(broken.detail, /^line 1, column \d+/);
    },
  );
});

nodeTest.describe('references between documents', () => {
  function withFleet(): configurationDocuments.ConfigurationDocuments {
    const documents = new configurationDocuments.ConfigurationDocuments(reader);
    const parsed = documents.parseAndCheck('fleet', FLEET).unsafeCoerce();
    documents.put({name: 'fleet', version: 1, content: FLEET}, parsed);
    return documents;
  }

  nodeTest.test(
    'a team with an unknown zone or under another name is refused; guards ' +
      'against workloads that cannot run in any zone',
    () => {
      const documents = withFleet();
      const content = team('a', workload('w', 'zones = ["south-a"]'));
      const zone = documents
        .parseAndCheck('team/a', content)
        .swap()
        .unsafeCoerce();
      assert.match(zone.detail, /^workloads\[0\].zones: "south-a" must be/);
      const other = documents.parseAndCheck('team/b', team('a', workload('w')));
      assert.equal(other.swap().unsafeCoerce().result, 'invalidDocument');
    },
  );

  nodeTest.test(
    'a fleet without a zone that a team refers to is refused; guards ' +
      'against the removal of a zone in use',
    () => {
      const documents = withFleet();
      const content = team('a', workload('w', 'zones = ["north-a"]'));
      const parsed = documents.parseAndCheck('team/a', content).unsafeCoerce();
      documents.put({name: 'team/a', version: 2, content}, parsed);
      const fleet = FLEET.replaceAll('north-a', 'south-a');
      const refused = documents
        .parseAndCheck('fleet', fleet)
        .swap()
        .unsafeCoerce();
      assert.match(refused.detail, /^team\/a: workloads\[0\].zones/);
    },
  );
});
