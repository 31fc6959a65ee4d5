import './enable_roarr.js';
import * as roarr from 'roarr';
import type * as sinks from './sinks.js';

/** Log sink that writes each event as one line of key=value pairs. */
export class Logger implements sinks.LogSink {
  constructor(write: (line: string) => void) {
    roarr.ROARR.write = message => write(formatLine(message));
  }

  log(
    level: 'debug' | 'info' | 'warn' | 'error',
    event: string,
    fields: Readonly<Record<string, string | number | boolean>>,
  ): void {
    roarr.Roarr[level]({...fields}, event);
  }
}

interface RoarrMessage {
  readonly context: Readonly<Record<string, unknown>>;
  readonly message: string;
  readonly time: number;
}

function formatLine(serialized: string): string {
  const message = JSON.parse(serialized) as RoarrMessage;
  const {logLevel, ...fields} = message.context;
  const pairs = [
    `time=${new Date(message.time).toISOString()}`,
    `level=${roarr.getLogLevelName(Number(logLevel))}`,
    `event=${message.message}`,
    ...Object.entries(fields).map(([key, value]) => `${key}=${quote(value)}`),
  ];
  return pairs.join(' ');
}

function quote(value: unknown): string {
  const text = String(value);
  return /^[^\s"=\p{Cc}]+$/u.test(text) ? text : JSON.stringify(text);
}
