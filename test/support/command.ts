import * as childProcess from 'node:child_process';
import * as http from 'node:http';
import * as listen from '../../src/links/listen.js';

/** What a command printed and how it ended. */
export interface CommandResult {
  readonly exitCode: number | null;
  readonly output: string;
}

/** Runs the program with arguments and a text as its input. */
export function runCommand(
  input: string,
  ...given: ReadonlyArray<string>
): Promise<CommandResult> {
  return new Promise(resolve => {
    const child = childProcess.spawn(
      process.execPath,
      ['build/src/main.js', ...given],
      {stdio: ['pipe', 'pipe', 'ignore']},
    );
    let output = '';
    child.stdout.on('data', (chunk: Buffer) => (output += chunk.toString()));
    child.on('close', exitCode => resolve({exitCode, output}));
    child.stdin.end(input);
  });
}

/** A call that a command made. */
export interface RecordedCall {
  readonly route: string;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
}

/** Answers calls in the place of an entry process. */
export class StubEntryServer {
  readonly calls: RecordedCall[] = [];
  private readonly server: http.Server;

  /** `answer` returns the reply, or undefined to close the connection. */
  constructor(answer: (call: RecordedCall, earlier: number) => unknown) {
    this.server = http.createServer((incoming, response) => {
      let body = '';
      incoming.on('data', (chunk: Buffer) => (body += chunk.toString()));
      incoming.on('end', () => {
        const route = `${incoming.method} ${incoming.url?.split('?')[0]}`;
        const call = {route, headers: incoming.headers, body};
        const earlier = this.countCalls(route);
        this.calls.push(call);
        const reply = answer(call, earlier);
        if (reply === undefined) response.destroy();
        else response.end(JSON.stringify(reply));
      });
    });
  }

  async listen(): Promise<string> {
    const port = await listen.listen(this.server, '127.0.0.1', 0);
    return `127.0.0.1:${port}`;
  }

  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private countCalls(route: string): number {
    return this.calls.filter(call => call.route === route).length;
  }
}
