import type * as tomlSchema from '../../src/links/toml_schema.js';

/** Returns the row that docs/configuration.md holds for a key. */
export function tableRow(path: string, key: tomlSchema.SchemaKey): string {
  const standard =
    key.default === undefined
      ? 'required'
      : `\`${JSON.stringify(key.default)}\``;
  return `| \`${path}\` | ${key.rule.requirement} | ${standard} | ${key.unit ?? ''} | ${key.meaning} |`;
}

/** Returns the rows of a table's keys, those of tables within it as well. */
export function tableRows(
  table: tomlSchema.TableRule,
  prefix = '',
): ReadonlyArray<string> {
  return table.keys.flatMap(key => {
    const path = `${prefix}${key.key}`;
    const {rule} = key;
    const inner = 'item' in rule ? rule.item : rule;
    const suffix = 'item' in rule ? '[]' : '';
    const nested =
      inner !== undefined && isTable(inner)
        ? tableRows(inner, `${path}${suffix}.`)
        : [];
    return [tableRow(path, key), ...nested];
  });
}

function isTable(rule: unknown): rule is tomlSchema.TableRule {
  return typeof rule === 'object' && rule !== null && 'keys' in rule;
}
