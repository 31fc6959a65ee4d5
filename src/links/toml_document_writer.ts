import type * as questionnaireAnswers from '../contracts/questionnaire_answers.js';

/**
 * Returns a derived document in TOML, with a comment beside each value that
 * names the answer behind it; `isGiven` is false for defaults.
 */
export function writeDocument(
  document: questionnaireAnswers.DerivedDocument,
  operator: string,
  isGiven: (answer: string) => boolean,
): string {
  const title = `# Document ${document.name} of ${operator}.\n`;
  const note = '# Generated from the answers named beside each value.\n';
  const tables = document.tables.map(table => writeTable(table, isGiven));
  return `${title}${note}\n${tables.join('\n')}`;
}

function writeTable(
  table: questionnaireAnswers.DerivedTable,
  isGiven: (answer: string) => boolean,
): string {
  const lines = table.values.map(derived => {
    const {key, value, answer, note} = derived;
    const leftOut = answer !== '' && !isGiven(answer) ? '(left out)' : '';
    const origin = [answer, leftOut, note].filter(part => part !== '');
    return `${key} = ${writeValue(value)} # ${origin.join(' ')}\n`;
  });
  return [writeTableHeader(table), ...lines].join('');
}

function writeTableHeader(table: questionnaireAnswers.DerivedTable): string {
  if (table.path === '') return '';
  return table.repeated ? `[[${table.path}]]\n` : `[${table.path}]\n`;
}

function writeValue(value: questionnaireAnswers.DerivedValue['value']): string {
  if (typeof value === 'object') {
    return `[${value.map(item => JSON.stringify(item)).join(', ')}]`;
  }
  return JSON.stringify(value);
}
