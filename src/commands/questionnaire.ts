import * as commandTypes from 'cmd-ts';
import * as either from 'purify-ts/Either';
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as toml from 'smol-toml';
import * as questionnaireSchema from '../links/questionnaire_schema.js';
import * as callArguments from './call_arguments.js';
import * as commandReport from './command_report.js';
import * as documentGenerator from '../links/document_generator.js';
import * as inputFile from './input_file.js';
import * as schemaPrompter from './schema_prompter.js';
import * as terminalPrompter from './terminal_prompter.js';

type GenerationOutcome = either.Either<
  ReadonlyArray<string>,
  ReadonlyArray<documentGenerator.GeneratedDocument>
>;

const optionalText = commandTypes.optional(commandTypes.string);

/** The command `questionnaire`: generates configuration documents. */
export const questionnaire = commandTypes.command({
  name: 'questionnaire',
  description:
    'Generates the documents fleet and team/NAME from answers; prompts for ' +
    'the answers when no file is given',
  args: {
    answers: commandTypes.option({
      long: 'answers',
      type: optionalText,
      description: 'TOML file with the answers',
    }),
    save: commandTypes.option({
      long: 'save',
      type: optionalText,
      description: 'File to which typed answers are written',
    }),
    out: commandTypes.option({
      long: 'out',
      type: optionalText,
      description:
        'Folder for one file per document; without it they are printed',
    }),
    json: callArguments.json,
  },
  examples: [
    {
      description: 'Generate the documents of a deployment',
      command:
        'parsleyknot questionnaire --answers deployments/go_stones/answers.toml ' +
        '--out deployments/go_stones',
    },
  ],
  handler: async ({answers, save, out, json}) => {
    const output = new commandReport.ProcessOutput();
    const generated =
      answers === undefined
        ? await generateFromPrompts(save)
        : generateFromFile(answers);
    generated.caseOf({
      Left: faults =>
        commandReport.reportFaults(output, answers ?? 'answers', faults, json),
      Right: documents => outputDocuments(output, documents, out, json),
    });
  },
});

function generateFromFile(file: string): GenerationOutcome {
  return inputFile
    .read(file)
    .mapLeft(fault => [fault])
    .chain(documentGenerator.generateDocuments);
}

async function generateFromPrompts(
  save: string | undefined,
): Promise<GenerationOutcome> {
  const prompter = new terminalPrompter.TerminalPrompter(
    process.stdin,
    process.stderr,
  );
  const print = (text: string): void => {
    process.stderr.write(`${text}\n`);
  };
  const schemaPrompt = new schemaPrompter.SchemaPrompter(prompter, print);
  try {
    const raw = await schemaPrompt.askTable(
      questionnaireSchema.QUESTIONNAIRE_SCHEMA,
      '',
    );
    if (save !== undefined) fs.writeFileSync(save, toml.stringify(raw));
    return documentGenerator.generateFromAnswers(raw);
  } catch (fault) {
    if (!(fault instanceof terminalPrompter.InputEndedError)) throw fault;
    return either.Left([fault.message]);
  } finally {
    prompter.close();
  }
}

function outputDocuments(
  output: commandReport.Output,
  documents: ReadonlyArray<documentGenerator.GeneratedDocument>,
  folder: string | undefined,
  json: boolean,
): void {
  for (const document of documents) {
    const file = folder === undefined ? undefined : writeFile(folder, document);
    if (json) output.printLine(JSON.stringify({...document, file}));
    else output.printLine(file ?? document.content);
  }
}

/** Writes a document to a file of its name below the folder. */
function writeFile(
  folder: string,
  document: documentGenerator.GeneratedDocument,
): string {
  const file = path.join(folder, `${document.name}.toml`);
  fs.mkdirSync(path.dirname(file), {recursive: true});
  fs.writeFileSync(file, document.content);
  return file;
}
