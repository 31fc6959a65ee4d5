import * as readline from 'node:readline';
import type * as interviewer from './interviewer.js';

/** Says that the input ended before a question was answered. */
export class InputEndedError extends Error {
  constructor() {
    super('the input ended before all questions were answered');
  }
}

/**
 * Asks on a terminal or reads typed lines from a file. Questions go to the
 * error output, so that the documents on the standard output can be redirected.
 */
export class TerminalPrompter implements interviewer.Prompter {
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

  /** Stops reading. */
  close(): void {
    this.terminal.close();
  }
}
