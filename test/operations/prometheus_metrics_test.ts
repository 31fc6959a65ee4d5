import * as assert from 'node:assert/strict';
import * as net from 'node:net';
import * as nodeTest from 'node:test';
import * as eventLogWriter from '../../src/operations/event_log_writer.js';
import * as prometheusMetrics from '../../src/operations/prometheus_metrics.js';

const {describe, test} = nodeTest;

async function freePort(): Promise<number> {
  const server = net.createServer();
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as net.AddressInfo;
  await new Promise(resolve => server.close(resolve));
  return port;
}

describe('metrics of a process', () => {
  // Guards against refusals and delays that do not show in the metrics.
  test('are served as text with their reasons', async () => {
    const metrics = new prometheusMetrics.PrometheusMetrics();
    const port = await freePort();
    await metrics.listen('127.0.0.1', port);
    metrics.count('jobs_refused', 'storeSilent');
    metrics.count('jobs_refused', 'storeSilent');
    metrics.observe('step_wait', 120);
    const answer = await fetch(`http://127.0.0.1:${port}/metrics`);
    const text = await answer.text();
    assert.match(
      text,
      /parsleyknot_jobs_refused_total\{reason="storeSilent"\} 2/,
    );
    assert.match(text, /parsleyknot_step_wait_milliseconds_count 1/);
  });
});

describe('event log lines', () => {
  // Guards against a process that blocks on a slow reader of its output.
  test('are dropped and counted while the reader lags', () => {
    const written: string[] = [];
    const output = {
      writableLength: 0,
      write: (text: string) => written.push(text),
    };
    const lines = new eventLogWriter.EventLogWriter(output);
    lines.event('info', 'first', {job: 'a', missing: undefined});
    output.writableLength = 1_000_000;
    lines.event('info', 'second', {});
    output.writableLength = 0;
    lines.event('info', 'third', {});
    assert.equal(written.length, 3);
    assert.match(written[0], /event=first job=a\n$/);
    assert.match(written[1], /event=linesDropped count=1/);
    assert.match(written[2], /event=third/);
  });
});
