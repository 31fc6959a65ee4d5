import type * as questionnaire from '../contracts/questionnaire.js';

/** Writes a derived document with the origin of each value beside it. */
export function writeDocument(
  document: questionnaire.DerivedDocument,
  operator: string,
): string {
  const title = `# Document ${document.name} of ${operator}.\n`;
  const note = '# Generated from the answers named beside each value.\n';
  return `${title}${note}\n${document.tables.map(writeTable).join('\n')}`;
}

function writeTable(table: questionnaire.DerivedTable): string {
  const lines = table.values.map(
    ({key, value, origin}) => `${key} = ${writeValue(value)} # ${origin}\n`,
  );
  return [header(table), ...lines].join('');
}

function header(table: questionnaire.DerivedTable): string {
  if (table.path === '') return '';
  return table.repeated ? `[[${table.path}]]\n` : `[${table.path}]\n`;
}

function writeValue(value: questionnaire.DerivedValue['value']): string {
  if (typeof value === 'object') {
    return `[${value.map(item => JSON.stringify(item)).join(', ')}]`;
  }
  return JSON.stringify(value);
}
