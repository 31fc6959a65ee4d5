import * as result from '../result.js';
import type * as effect from '../contracts/effect.js';

/** Exit codes of the commands, by category of the result. */
export const EXIT_CODES = {
  done: 0,
  badInput: 2,
  refused: 3,
  unavailable: 4,
  unknown: 5,
  failed: 6,
  configuration: 7,
  pending: 8,
} as const;

/** Category of a result that determines the exit code. */
export type ExitKind = keyof typeof EXIT_CODES;

/** Exit kinds, indexed by the thousands digit of a result code. */
const EXIT_KINDS: ReadonlyArray<ExitKind> = [
  'done',
  'badInput',
  'refused',
  'unavailable',
  'unknown',
  'failed',
  'configuration',
];

/** Returns the exit code for a reply; a missing reply means unavailable. */
export function exitCodeOf(reply: effect.Reply | undefined): number {
  if (reply === undefined) return EXIT_CODES.unavailable;
  if (reply.code === result.RESULT_CODES.accepted.code) {
    return EXIT_CODES.pending;
  }
  const kind = EXIT_KINDS[Math.floor(reply.code / 1_000)] ?? 'failed';
  return EXIT_CODES[kind];
}

/** Returns the entry of `RESULT_CODES` with a numeric code, if there is one. */
export function findResultCode(code: number): result.ResultCode | undefined {
  const rows: ReadonlyArray<result.ResultCode> = Object.values(
    result.RESULT_CODES,
  );
  return rows.find(row => row.code === code);
}

/** Destination of a command's output lines and exit code. */
export interface Output {
  printLine(text: string): void;
  setExitCode(code: number): void;
}

/** Output to the standard output and the exit code of this process. */
export class ProcessOutput implements Output {
  printLine(text: string): void {
    process.stdout.write(`${text}\n`);
  }

  setExitCode(code: number): void {
    process.exitCode = code;
  }
}

/** Prints a reply with additional fields and sets the exit code. */
export function reportReply(
  output: Output,
  reply: effect.Reply | undefined,
  json: boolean,
  additionalFields: Readonly<Record<string, string | number>> = {},
): void {
  output.setExitCode(exitCodeOf(reply));
  const shownReply = reply ?? {
    detail: 'no entry process answered within --timeout',
  };
  const fields = {...additionalFields, ...shownReply};
  if (json) output.printLine(JSON.stringify(fields));
  else for (const text of describe(fields)) output.printLine(text);
}

/** Prints the faults of a file; sets the exit code if there are any. */
export function reportFaults(
  output: Output,
  file: string,
  faults: ReadonlyArray<string>,
  json: boolean,
): void {
  if (faults.length > 0) output.setExitCode(EXIT_CODES.badInput);
  if (json) {
    output.printLine(JSON.stringify({file, faults}));
    return;
  }
  if (faults.length === 0) output.printLine(`${file}: no faults`);
  for (const fault of faults) output.printLine(`${file}: ${fault}`);
}

function describe(
  fields: Readonly<Record<string, unknown>>,
): ReadonlyArray<string> {
  return Object.entries(fields).flatMap(([name, value]) => {
    if (value === undefined || value === '') return [];
    if (name === 'code') return [describeCode(Number(value))];
    if (name === 'content') return [describeContent(value)];
    const text = typeof value === 'string' ? value : JSON.stringify(value);
    return [`${name}: ${text}`];
  });
}

function describeCode(code: number): string {
  const resultCode = findResultCode(code);
  if (resultCode === undefined) return `result: ${code}`;
  return `result: ${code} ${resultCode.name}: ${resultCode.meaning}`;
}

function describeContent(content: unknown): string {
  if (typeof content === 'string') return content;
  return JSON.stringify(content, undefined, 2);
}
