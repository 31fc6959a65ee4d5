import * as assert from 'node:assert/strict';
import * as http from 'node:http';
import * as nodeTest from 'node:test';
import * as clock from '../../src/machines/clock.js';
import * as jobApiServer from '../../platform/job_api_server.js';
import * as jobCell from '../support/job_cell.js';
import * as prometheusMetrics from '../../src/operations/prometheus_metrics.js';
import * as scriptedConfigurationSource from '../support/scripted_configuration_source.js';
import type * as cellGateway from '../../src/zones/cell_gateway.js';
import type * as cellNode from '../../src/zones/cell_node.js';
import type * as job from '../../src/jobs/job.js';
import type * as configurationFreshness from '../../src/zones/configuration_freshness.js';

const {describe, test} = nodeTest;

const CONFIGURATION = scriptedConfigurationSource.configurationOf(7, [
  jobCell.QUEUE,
]);

const KNOWN_PATH = jobCell.QUEUE.pathPrefix;
const UNKNOWN_PATH = '/added-lately/';

function get(port: number, path: string): Promise<number | undefined> {
  return new Promise((resolve, reject) => {
    const headers = {host: jobCell.QUEUE.host, connection: 'close'};
    http
      .get({host: '127.0.0.1', port, path, headers}, response => {
        response.resume();
        response.on('end', () => resolve(response.statusCode));
      })
      .on('error', reject);
  });
}

/** Returns the status of a call to a front with a configuration's standing. */
async function statusOf(
  standing: configurationFreshness.ConfigurationStanding,
  path: string,
): Promise<number | undefined> {
  const configuration = standing === 'missing' ? undefined : CONFIGURATION;
  const server = new jobApiServer.JobApiServer({
    node: {
      configuration,
      configurationAgeMs: configuration === undefined ? Infinity : 40,
      hasNewerVersion: () => false,
      configurationBasis: async () => ({standing, configuration}),
    } as unknown as cellNode.CellNode,
    gateway: {
      countPending: async () => ({kind: 'answered', value: 3}),
    } as unknown as cellGateway.CellGateway,
    clock: new clock.SystemClock(),
    log: {event: () => {}},
    counters: new prometheusMetrics.PrometheusMetrics(),
  });
  const port = await server.listen('127.0.0.1', 0);
  const status = await get(port, path);
  server.drain();
  return status;
}

/** Returns the status of a count whose answer tells of a newer version. */
async function statusAfterNews(
  newer: job.OperatorConfiguration,
): Promise<number | undefined> {
  let configuration = CONFIGURATION;
  const server = new jobApiServer.JobApiServer({
    node: {
      configurationAgeMs: 40,
      hasNewerVersion: (version: number) => configuration.version > version,
      configurationBasis: async () => ({standing: 'confirmed', configuration}),
    } as unknown as cellNode.CellNode,
    gateway: {
      countPending: async () => {
        configuration = newer;
        return {kind: 'answered', value: 3};
      },
    } as unknown as cellGateway.CellGateway,
    clock: new clock.SystemClock(),
    log: {event: () => {}},
    counters: new prometheusMetrics.PrometheusMetrics(),
  });
  const port = await server.listen('127.0.0.1', 0);
  const status = await get(port, KNOWN_PATH);
  server.drain();
  return status;
}

describe('job API whose scheduler answers by a newer version', () => {
  // Guards against a count of a dropped queue, answered by the version that
  // routed the request although the answer has told of a newer one.
  test('a dropped queue was still answered: routes the request again', async () => {
    const {configurationOf} = scriptedConfigurationSource;
    assert.equal(await statusAfterNews(configurationOf(8)), 404);
    const kept = configurationOf(8, [jobCell.QUEUE]);
    assert.equal(await statusAfterNews(kept), 200);
  });
});

describe('job API with a configuration of any standing', () => {
  // Guards against a queue that is called unknown, or served, by a version that
  // may be outdated, and against faults while there is no version yet.
  for (const [standing, knownStatus, unknownStatus] of [
    ['confirmed', 200, 404],
    ['cutOff', 200, 503],
    ['outdated', 503, 503],
    ['unconfirmed', 503, 503],
    ['missing', 503, 503],
  ] as const) {
    test(`answers ${knownStatus} and ${unknownStatus} while it is ${standing}`, async () => {
      assert.equal(await statusOf(standing, KNOWN_PATH), knownStatus);
      assert.equal(await statusOf(standing, UNKNOWN_PATH), unknownStatus);
    });
  }
});
