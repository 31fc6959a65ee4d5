import * as tomlSchema from '../links/toml_schema.js';

/** Prompts a user and returns the typed line. */
export interface Prompter {
  ask(question: string): Promise<string>;
}

/** Prompts a user for the values of a table, with one question per key. */
export class SchemaPrompter {
  constructor(
    private readonly prompter: Prompter,
    private readonly print: (text: string) => void,
  ) {}

  /** Prompts for all keys of a table; returned values satisfy their rules. */
  async askTable(
    table: tomlSchema.TableRule,
    path: string,
  ): Promise<Readonly<Record<string, unknown>>> {
    const answers: Record<string, unknown> = {};
    for (const key of table.keys) {
      const keyPath = path === '' ? key.key : `${path}.${key.key}`;
      answers[key.key] = await this.askKey(key, keyPath);
    }
    return answers;
  }

  private async askKey(
    key: tomlSchema.SchemaKey,
    path: string,
  ): Promise<unknown> {
    const {rule} = key;
    if (rule instanceof tomlSchema.ListRule) {
      const {item} = rule;
      if (item instanceof tomlSchema.TableRule) {
        this.print(key.meaning);
        return this.askTables(rule, item, path);
      }
    }
    return this.askValue(key, path);
  }

  private async askTables(
    list: tomlSchema.ListRule,
    item: tomlSchema.TableRule,
    path: string,
  ): Promise<ReadonlyArray<unknown>> {
    const items: unknown[] = [];
    for (;;) {
      const next = await this.askTable(item, `${path}[${items.length}]`);
      const faults = list.check([...items, next], path);
      if (faults.length === 0) items.push(next);
      for (const fault of faults) this.print(tomlSchema.formatFault(fault));
      const more = await this.prompter.ask(`${path}: another one? (yes, no) `);
      if (!more.trim().startsWith('y') && items.length > 0) return items;
    }
  }

  private async askValue(
    key: tomlSchema.SchemaKey,
    path: string,
  ): Promise<unknown> {
    for (;;) {
      const text = (await this.prompter.ask(formatQuestion(key, path))).trim();
      if (text === '' && key.default !== undefined) return key.default;
      const value = key.rule.parseInput(text);
      const faults = key.rule.check(value, path);
      if (faults.length === 0) return value;
      for (const fault of faults) this.print(tomlSchema.formatFault(fault));
    }
  }
}

function formatQuestion(key: tomlSchema.SchemaKey, path: string): string {
  const unit = key.unit === undefined ? '' : `, in ${key.unit}`;
  const defaultNote =
    key.default === undefined
      ? ''
      : `; empty means ${JSON.stringify(key.default)}`;
  return `${path}: ${key.meaning} (${key.rule.requirement}${unit}${defaultNote}) `;
}
