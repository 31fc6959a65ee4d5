import * as either from 'purify-ts/Either';
import * as toml from 'smol-toml';
import * as questionnaireSchema from './questionnaire_schema.js';
import * as configurationDocuments from '../contracts/configuration_documents.js';
import * as questionnaireAnswers from '../contracts/questionnaire_answers.js';
import * as tomlDocumentReader from './toml_document_reader.js';
import * as tomlDocumentWriter from './toml_document_writer.js';
import * as tomlSchema from './toml_schema.js';

/** A generated configuration document, ready to be published. */
export interface GeneratedDocument {
  readonly name: string;
  readonly content: string;
}

type GenerationResult = either.Either<
  ReadonlyArray<string>,
  ReadonlyArray<GeneratedDocument>
>;

/** Generates documents from answers in TOML, or returns all faults. */
export function generateDocuments(text: string): GenerationResult {
  return either.Either.encase(() => toml.parse(text))
    .mapLeft(error => [tomlSchema.describeSyntaxError(error)])
    .chain(generateFromAnswers);
}

/** Generates documents from unchecked answers, or returns all faults. */
export function generateFromAnswers(raw: unknown): GenerationResult {
  const faults = questionnaireSchema.QUESTIONNAIRE_SCHEMA.check(raw, '');
  if (faults.length > 0) return either.Left(faults.map(tomlSchema.formatFault));
  const completed = questionnaireSchema.QUESTIONNAIRE_SCHEMA.applyDefaults(raw);
  const answers = completed as questionnaireAnswers.QuestionnaireAnswers;
  const contradictions = questionnaireAnswers.findContradictions(answers);
  if (contradictions.length > 0) return either.Left(contradictions);
  const documents = questionnaireAnswers
    .deriveDocuments(answers)
    .map(document => ({
      name: document.name,
      content: tomlDocumentWriter.writeDocument(
        document,
        answers.operator,
        answer => readValueAt(raw, answer) !== undefined,
      ),
    }));
  return checkGenerated(documents);
}

/** Returns the value at a path such as `teams[0].work[1].minutes`. */
function readValueAt(raw: unknown, path: string): unknown {
  let value = raw;
  for (const part of path.split(/[.[\]]+/)) {
    value = (value as Readonly<Record<string, unknown>> | undefined)?.[part];
  }
  return value;
}

/** Checks documents in their order, as a publication would. */
function checkGenerated(
  documents: ReadonlyArray<GeneratedDocument>,
): GenerationResult {
  const checkedDocuments = new configurationDocuments.ConfigurationDocuments(
    new tomlDocumentReader.TomlDocumentReader(),
  );
  const faults: string[] = [];
  documents.forEach(({name, content}, position) => {
    checkedDocuments
      .parseAndCheck(name, content)
      .ifLeft(fault => faults.push(`${name}: ${fault.detail}`))
      .ifRight(parsed => {
        checkedDocuments.put({name, version: position + 1, content}, parsed);
      });
  });
  return faults.length > 0 ? either.Left(faults) : either.Right(documents);
}
