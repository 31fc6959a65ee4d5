import * as logger from './logger.js';
import type * as schedulerOptions from '../jobs/scheduler_options.js';

/** Maximum size of the unread output; above it, lines are dropped. */
const MAXIMUM_UNREAD_BYTES = 262_144;

/** Writable stream that exposes its number of buffered bytes. */
export interface LineOutput {
  readonly writableLength: number;
  write(text: string): unknown;
}

/** Writes one line per event; drops lines when the reader is too slow. */
export class EventLogWriter implements schedulerOptions.EventLog {
  private readonly logger: logger.Logger;
  private droppedLineCount = 0;

  constructor(private readonly output: LineOutput) {
    this.logger = new logger.Logger(line => this.write(line));
  }

  event(
    level: 'info' | 'warn' | 'error',
    name: string,
    fields: Readonly<Record<string, string | number | boolean | undefined>>,
  ): void {
    const presentFields = Object.entries(fields).filter(
      (pair): pair is [string, string | number | boolean] =>
        pair[1] !== undefined,
    );
    this.logger.log(level, name, Object.fromEntries(presentFields));
  }

  private write(line: string): void {
    if (this.output.writableLength > MAXIMUM_UNREAD_BYTES) {
      this.droppedLineCount += 1;
      return;
    }
    if (this.droppedLineCount > 0) {
      this.output.write(`event=linesDropped count=${this.droppedLineCount}\n`);
      this.droppedLineCount = 0;
    }
    this.output.write(`${line}\n`);
  }
}
