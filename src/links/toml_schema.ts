import * as net from 'node:net';
import * as toml from 'smol-toml';
import * as configurationDocuments from '../contracts/configuration_documents.js';

/** Violation of a rule by one value. */
export interface Fault {
  /** Path of the key, such as `workloads[0].size.memory`. */
  readonly field: string;
  /** The value as JSON, or `missing`. */
  readonly value: string;
  readonly rule: string;
}

/** Rule that decides which values are allowed. */
export interface ValueRule {
  /** Completes the sentence "The value must be ...". */
  readonly requirement: string;
  /** Returns all faults of the value at the path `field`. */
  check(value: unknown, field: string): ReadonlyArray<Fault>;
  /** Parses an answer typed by a user; the result is not checked yet. */
  parseInput(text: string): unknown;
  /** Returns a checked value with defaults filled in for missing keys. */
  applyDefaults(value: unknown): unknown;
}

/** Key of a table with its rule and documentation. */
export interface SchemaKey {
  readonly key: string;
  readonly rule: ValueRule;
  /** Value of a missing key; a key without a default is required. */
  readonly default?: unknown;
  readonly unit?: string;
  readonly meaning: string;
}

/** Returns position and message of a syntax error, without quoted lines. */
export function describeSyntaxError(error: Error): string {
  const [first] = error.message.split('\n');
  if (!(error instanceof toml.TomlError)) return first;
  return `line ${error.line}, column ${error.column}: ${first}`;
}

/** Formats a fault as "field: value must be rule". */
export function formatFault(fault: Fault): string {
  return `${fault.field}: ${fault.value} must be ${fault.rule}`;
}

/** Maximum characters of a value that a fault shows in full. */
const MAXIMUM_SHOWN_LENGTH = 120;

/** Returns the fault of a value that violates `rule`. */
export function toFault(field: string, value: unknown, rule: string): Fault {
  const text = value === undefined ? 'missing' : JSON.stringify(value);
  const shown =
    text.length > MAXIMUM_SHOWN_LENGTH
      ? `${text.slice(0, MAXIMUM_SHOWN_LENGTH)}...`
      : text;
  return {field, value: shown, rule};
}

abstract class ScalarRule implements ValueRule {
  abstract readonly requirement: string;

  check(value: unknown, field: string): ReadonlyArray<Fault> {
    return this.allows(value) ? [] : [toFault(field, value, this.requirement)];
  }

  parseInput(text: string): unknown {
    return text;
  }

  applyDefaults(value: unknown): unknown {
    return value;
  }

  protected abstract allows(value: unknown): boolean;
}

/** Accepts text of limited length without control characters. */
export class TextRule extends ScalarRule {
  readonly requirement: string;

  constructor(private readonly maximumLength: number) {
    super();
    this.requirement = `text of 1 to ${maximumLength} printable characters`;
  }

  protected allows(value: unknown): boolean {
    if (typeof value !== 'string') return false;
    if (value.length === 0 || value.length > this.maximumLength) return false;
    return /^[^\p{Cc}]+$/u.test(value);
  }
}

/** Accepts names, such as those of zones, teams and workloads. */
export class NameRule extends ScalarRule {
  readonly requirement =
    'a name of at most 32 lower-case letters, digits and hyphens that ' +
    'starts with a letter';

  protected allows(value: unknown): boolean {
    if (typeof value !== 'string') return false;
    return configurationDocuments.NAME_PATTERN.test(value);
  }
}

/** Accepts IP addresses. */
export class IpAddressRule extends ScalarRule {
  readonly requirement = 'an IP address';

  protected allows(value: unknown): boolean {
    return typeof value === 'string' && net.isIP(value) !== 0;
  }
}

/** Accepts IP addresses with a port from 1 to 65535. */
export class AddressRule extends ScalarRule {
  readonly requirement = 'an IP address and a port, as in 10.0.0.5:7000';

  protected allows(value: unknown): boolean {
    if (typeof value !== 'string') return false;
    const match = /^(?:\[(.+)\]|([^:]+)):([0-9]{1,5})$/.exec(value);
    if (match === null) return false;
    const port = Number(match[3]);
    return net.isIP(match[1] ?? match[2]) !== 0 && port > 0 && port < 65_536;
  }
}

/** Accepts whole numbers in an inclusive range. */
export class IntegerRule extends ScalarRule {
  readonly requirement: string;

  constructor(
    private readonly minimum: number,
    private readonly maximum: number,
  ) {
    super();
    this.requirement = `a whole number from ${minimum} to ${maximum}`;
  }

  override parseInput(text: string): unknown {
    return text === '' ? undefined : Number(text);
  }

  protected allows(value: unknown): boolean {
    if (!Number.isInteger(value)) return false;
    return Number(value) >= this.minimum && Number(value) <= this.maximum;
  }
}

/** Accepts finite numbers in an inclusive range. */
export class NumberRule extends ScalarRule {
  readonly requirement: string;

  constructor(
    private readonly minimum: number,
    private readonly maximum: number,
  ) {
    super();
    this.requirement = `a number from ${minimum} to ${maximum}`;
  }

  override parseInput(text: string): unknown {
    return text === '' ? undefined : Number(text);
  }

  protected allows(value: unknown): boolean {
    if (typeof value !== 'number' || !Number.isFinite(value)) return false;
    return value >= this.minimum && value <= this.maximum;
  }
}

/** Accepts booleans; answers of users may also be yes or no. */
export class BooleanRule extends ScalarRule {
  readonly requirement = 'true or false';

  override parseInput(text: string): unknown {
    if (['true', 'yes', 'y'].includes(text)) return true;
    return ['false', 'no', 'n'].includes(text) ? false : text;
  }

  protected allows(value: unknown): boolean {
    return typeof value === 'boolean';
  }
}

/** Accepts a fixed set of strings. */
export class ChoiceRule extends ScalarRule {
  readonly requirement: string;

  constructor(private readonly choices: ReadonlyArray<string>) {
    super();
    this.requirement = `one of ${choices.join(', ')}`;
  }

  protected allows(value: unknown): boolean {
    return typeof value === 'string' && this.choices.includes(value);
  }
}

/** Accepts lists of limited length whose items satisfy one rule and differ. */
export class ListRule implements ValueRule {
  readonly requirement: string;

  /** `identify` returns the part of an item that must be unique. */
  constructor(
    readonly item: ValueRule,
    private readonly minimum: number,
    private readonly maximum: number,
    private readonly identify: (value: unknown) => unknown = value => value,
  ) {
    this.requirement =
      `a list of ${minimum} to ${maximum} different items, ` +
      `each ${item.requirement}`;
  }

  check(value: unknown, field: string): ReadonlyArray<Fault> {
    if (!Array.isArray(value)) return [toFault(field, value, this.requirement)];
    const items = value as ReadonlyArray<unknown>;
    const faults = items.flatMap((item, position) =>
      this.item.check(item, `${field}[${position}]`),
    );
    if (items.length < this.minimum || items.length > this.maximum) {
      const counted = `${items.length} items`;
      const rule = `a list of ${this.minimum} to ${this.maximum} items`;
      faults.unshift({field, value: counted, rule});
    }
    return [...faults, ...this.findRepeated(items, field)];
  }

  parseInput(text: string): unknown {
    if (text === '') return [];
    return text.split(',').map(item => this.item.parseInput(item.trim()));
  }

  applyDefaults(value: unknown): unknown {
    const items = value as ReadonlyArray<unknown>;
    return items.map(item => this.item.applyDefaults(item));
  }

  private findRepeated(
    items: ReadonlyArray<unknown>,
    field: string,
  ): ReadonlyArray<Fault> {
    const seen = new Set<unknown>();
    return items.flatMap((item, position) => {
      const identity = this.identify(item);
      if (identity === undefined) return [];
      if (!seen.has(identity)) {
        seen.add(identity);
        return [];
      }
      const rule = 'different from the items before it';
      return [toFault(`${field}[${position}]`, identity, rule)];
    });
  }
}

/** Accepts tables whose keys are all known and valid. */
export class TableRule implements ValueRule {
  readonly requirement: string;

  constructor(readonly keys: ReadonlyArray<SchemaKey>) {
    this.requirement = `a table with ${keys.map(item => item.key).join(', ')}`;
  }

  check(value: unknown, field: string): ReadonlyArray<Fault> {
    if (!isTable(value)) return [toFault(field, value, this.requirement)];
    const prefix = field === '' ? '' : `${field}.`;
    const known = this.keys.flatMap(item => {
      const present = value[item.key];
      if (present === undefined && item.default !== undefined) return [];
      return item.rule.check(present, `${prefix}${item.key}`);
    });
    const names = this.keys.map(item => item.key);
    const unknown = Object.keys(value)
      .filter(key => !names.includes(key))
      .map(key =>
        toFault(`${prefix}${key}`, value[key], unknownKeyRule(names)),
      );
    return [...known, ...unknown];
  }

  parseInput(text: string): unknown {
    return text;
  }

  applyDefaults(value: unknown): unknown {
    const table = value as Readonly<Record<string, unknown>>;
    return Object.fromEntries(
      this.keys.map(item => {
        const present = table[item.key];
        if (present === undefined) return [item.key, item.default];
        return [item.key, item.rule.applyDefaults(present)];
      }),
    );
  }
}

function unknownKeyRule(names: ReadonlyArray<string>): string {
  return `left out; the keys here are ${names.join(', ')}`;
}

function isTable(value: unknown): value is Readonly<Record<string, unknown>> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}
