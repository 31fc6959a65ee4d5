import * as readline from 'node:readline';
import type * as schemaPrompter from './schema_prompter.js';

/** Error thrown when the input ends before a question is answered. */
export class InputEndedError extends Error {
  constructor() {
    super('the input ended before all questions were answered');
  }
}

/**
 * Prompts on a terminal or reads prepared lines from a file. Questions go to
 * the standard error, so that the standard output can be redirected.
 */
export class TerminalPrompter implements schemaPrompter.Prompter {
  private readonly lines: AsyncIterator<string>;
  private readonly terminal: readline.Interface;

  constructor(
    input: NodeJS.ReadableStream,
    private readonly output: NodeJS.WritableStream,
  ) {
    this.terminal = readline.createInterface({input});
    this.lines = this.terminal[Symbol.asyncIterator]();
  }

  async ask(question: string): Promise<string> {
    this.output.write(question);
    const line = await this.lines.next();
    if (line.done === true) throw new InputEndedError();
    return line.value;
  }

  /** Stops reading and closes the terminal interface. */
  close(): void {
    this.terminal.close();
  }
}
