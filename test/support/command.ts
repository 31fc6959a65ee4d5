import * as childProcess from 'node:child_process';
import * as http from 'node:http';
import * as listen from '../../src/links/listen.js';

/** Standard output and exit code of a command. */
export interface CompletedCommand {
  readonly exitCode: number | null;
  readonly output: string;
}

/** Runs the compiled program with the given standard input and arguments. */
export function runCommand(
  input: string,
  ...commandArguments: ReadonlyArray<string>
): Promise<CompletedCommand> {
  return new Promise(resolve => {
    const child = childProcess.spawn(
      process.execPath,
      ['build/src/main.js', ...commandArguments],
      {stdio: ['pipe', 'pipe', 'ignore']},
    );
    let output = '';
    child.stdout.on('data', (chunk: Buffer) => (output += chunk.toString()));
    child.on('close', exitCode => resolve({exitCode, output}));
    child.stdin.end(input);
  });
}

/** HTTP call that a command has made. */
export interface RecordedCall {
  readonly route: string;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
}

/** HTTP server that replaces an entry process and records the calls to it. */
export class StubEntryServer {
  readonly calls: RecordedCall[] = [];
  private readonly server: http.Server;

  /**
   * Creates a server. `answer` receives a call and the number of earlier calls
   * on its route, and returns the reply or undefined to close the connection.
   */
  constructor(answer: (call: RecordedCall, earlierCount: number) => unknown) {
    this.server = http.createServer((incoming, response) => {
      let body = '';
      incoming.on('data', (chunk: Buffer) => (body += chunk.toString()));
      incoming.on('end', () => {
        const route = `${incoming.method} ${incoming.url?.split('?')[0]}`;
        const call = {route, headers: incoming.headers, body};
        const earlierCount = this.countCalls(route);
        this.calls.push(call);
        const reply = answer(call, earlierCount);
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
