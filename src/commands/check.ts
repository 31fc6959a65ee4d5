import * as commandTypes from 'cmd-ts';
import * as callArguments from './call_arguments.js';
import * as commandReport from './command_report.js';
import * as configurationDocuments from '../contracts/configuration_documents.js';
import * as inputFile from './input_file.js';
import * as settings from '../operations/settings.js';
import * as tomlDocumentReader from '../links/toml_document_reader.js';

interface CheckedFile {
  readonly file: string;
  readonly faults: ReadonlyArray<string>;
}

const fileOption = commandTypes.optional(commandTypes.string);

/** The command `check`: validates settings and documents offline. */
export const check = commandTypes.command({
  name: 'check',
  description: 'Prints all faults in a settings file and in documents',
  args: {
    config: commandTypes.option({
      long: 'config',
      type: fileOption,
      description: 'Settings file of an entry process',
    }),
    fleet: commandTypes.option({
      long: 'fleet',
      type: fileOption,
      description: 'File with the document fleet',
    }),
    teams: commandTypes.multioption({
      long: 'team',
      type: commandTypes.array(commandTypes.string),
      description:
        'File with the document of a team, named after it; its zones are ' +
        'checked against --fleet',
    }),
    json: callArguments.json,
  },
  examples: [
    {
      description: 'Check the settings of an entry VM',
      command: 'parsleyknot check --config /etc/parsleyknot/settings.toml',
    },
    {
      description: 'Check documents before they are published',
      command: 'parsleyknot check --fleet fleet.toml --team team/dispatch.toml',
    },
  ],
  handler: async ({config, fleet, teams, json}) => {
    const output = new commandReport.ProcessOutput();
    const checked = [
      ...(config === undefined ? [] : [checkSettings(config)]),
      ...checkDocuments(fleet, teams),
    ];
    if (checked.length === 0) {
      const fault = 'no file given; use --config, --fleet or --team';
      commandReport.reportFaults(output, 'arguments', [fault], json);
    }
    for (const {file, faults} of checked) {
      commandReport.reportFaults(output, file, faults, json);
    }
  },
});

function checkSettings(file: string): CheckedFile {
  const faults = inputFile
    .read(file)
    .mapLeft(fault => [fault])
    .chain(text =>
      settings.parseSettings(text).mapLeft(found => found.map(describe)),
    )
    .swap()
    .orDefault([]);
  return {file, faults};
}

function describe(fault: settings.SettingsFault): string {
  if (fault.key === '') return fault.rule;
  const line = fault.line > 0 ? `line ${fault.line}: ` : '';
  return `${line}${fault.key}: ${fault.value} ${fault.rule}`;
}

function checkDocuments(
  fleet: string | undefined,
  teams: ReadonlyArray<string>,
): ReadonlyArray<CheckedFile> {
  const documents = new configurationDocuments.ConfigurationDocuments(
    new tomlDocumentReader.TomlDocumentReader(),
  );
  const namedFiles = [
    ...(fleet === undefined ? [] : [{file: fleet, name: 'fleet'}]),
    ...teams.map(file => ({file, name: teamDocumentOf(file)})),
  ];
  return namedFiles.map(({file, name}) => {
    const faults = inputFile
      .read(file)
      .chain(content =>
        documents
          .parseAndCheck(name, content)
          .map(parsed => documents.put({name, version: 1, content}, parsed))
          .mapLeft(fault => fault.detail),
      )
      .swap()
      .map(detail => detail.split('; '))
      .orDefault([]);
    return {file, faults};
  });
}

/** Returns the name of a team's document from the name of its file. */
function teamDocumentOf(file: string): string {
  const base = file.split('/').at(-1) ?? '';
  return `${configurationDocuments.TEAM_DOCUMENT_PREFIX}${base.replace(/\.toml$/, '')}`;
}
