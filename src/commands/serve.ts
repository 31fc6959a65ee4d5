import * as fs from 'node:fs';
import * as callerServer from '../links/caller_server.js';
import * as clock from '../machines/clock.js';
import * as commandTypes from 'cmd-ts';
import * as entryLinks from '../links/entry_links.js';
import * as entryVm from '../machines/entry_vm.js';
import * as httpCaller from '../links/http_caller.js';
import * as logger from '../operations/logger.js';
import * as loop from '../loop.js';
import * as metrics from '../operations/metrics.js';
import * as platformLink from '../links/platform_link.js';
import * as randomSource from '../machines/random_source.js';
import * as settings from '../operations/settings.js';
import * as tomlDocumentReader from '../links/toml_document_reader.js';
import * as workerLink from '../links/worker_link.js';
import type * as event from '../contracts/event.js';

/** Connections to one worker; about 60 are available there. */
const CONNECTIONS_PER_WORKER = 20;

/** Exit code when the settings are wrong. */
const EXIT_SETTINGS = 2;

/** The command `serve`: runs one entry process until it is told to stop. */
export const serve = commandTypes.command({
  name: 'serve',
  description: 'Runs the entry process of one VM',
  args: {
    config: commandTypes.option({long: 'config', type: commandTypes.string}),
  },
  handler: async ({config}) => {
    const text = fs.readFileSync(config, 'utf8');
    await settings.readSettings(text).caseOf({
      Left: async faults => {
        for (const fault of faults) {
          console.error(`${config}: ${fault.key}: ${fault.rule}`);
        }
        process.exitCode = EXIT_SETTINGS;
      },
      Right: run,
    });
  },
});

async function run(read: settings.Settings): Promise<void> {
  const random = new randomSource.UnpredictableRandom();
  const incarnation = `${read.zone}.${read.vm}.${random.hexadecimal(8)}`;
  const time = new clock.SystemClock();
  const post = (posted: event.Event): void => running.post(posted);
  const now = (): number => time.now();
  const caller = new httpCaller.HttpCaller(CONNECTIONS_PER_WORKER);
  const callers = new callerServer.CallerServer(post);
  const logs = new logger.Logger(line => process.stdout.write(`${line}\n`));
  const links = new entryLinks.EntryLinks({
    callers,
    workers: new workerLink.WorkerLink(caller, post, now),
    platform: new platformLink.PlatformLink(read, caller, post, now),
    metrics: new metrics.Metrics('127.0.0.1', 0, incarnation),
    logs,
  });
  const core = new entryVm.EntryVm({
    self: {
      process: incarnation,
      vm: read.vm,
      zone: read.zone,
      region: read.region,
      address: `${read.host}:${read.peerPort}`,
    },
    reader: new tomlDocumentReader.TomlDocumentReader(),
    random,
  });
  const running = new loop.Loop(core, links, time);
  const port = await callers.listen(read.host, read.callerPort);
  logs.log('info', 'serving', {process: incarnation, host: read.host, port});
  running.post({kind: 'timePassed'});
  process.once('SIGTERM', () => {
    void callers.close().then(async () => {
      running.stop();
      await caller.close();
    });
  });
}
