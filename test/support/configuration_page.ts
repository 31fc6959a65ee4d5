import type * as tomlSchema from '../../src/links/toml_schema.js';

/** Returns the table row that documents a key in docs/configuration.md. */
export function tableRow(path: string, key: tomlSchema.SchemaKey): string {
  const defaultValue =
    key.default === undefined
      ? 'required'
      : `\`${JSON.stringify(key.default)}\``;
  return `| \`${path}\` | ${key.rule.requirement} | ${defaultValue} | ${key.unit ?? ''} | ${key.meaning} |`;
}

/** Returns the rows of all keys of a table, nested tables included. */
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
