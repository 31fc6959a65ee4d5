import * as fs from 'node:fs';
import * as commandTypes from 'cmd-ts';
import * as settings from '../operations/settings.js';

/** Exit code for faulty settings. */
const INVALID_SETTINGS_EXIT_CODE = 2;

/** The command `serve`: runs one entry process until SIGTERM or SIGINT. */
export const serve = commandTypes.command({
  name: 'serve',
  description: 'Runs the entry process of one VM',
  args: {
    config: commandTypes.option({long: 'config', type: commandTypes.string}),
  },
  handler: async ({config}) => {
    const text = fs.readFileSync(config, 'utf8');
    await settings.parseSettings(text).caseOf({
      Left: async faults => {
        for (const fault of faults) {
          console.error(`${config}: ${fault.key}: ${fault.rule}`);
        }
        process.exitCode = INVALID_SETTINGS_EXIT_CODE;
      },
      Right: run,
    });
  },
});

async function run(loadedSettings: settings.Settings): Promise<void> {
  // Imported lazily, so that other commands do not load the servers.
  const entryProcess = await import('./entry_process.js');
  let entry: InstanceType<typeof entryProcess.EntryProcess>;
  const shutDownAndExit = (): void =>
    void entry.shutDown().then(() => process.exit(0));
  process.on('SIGTERM', shutDownAndExit);
  process.on('SIGINT', shutDownAndExit);
  // A superseded process has permanently lost its identities and workers, so a
  // new incarnation replaces it on this VM.
  for (;;) {
    entry = new entryProcess.EntryProcess(loadedSettings);
    await entry.start();
    await entry.waitUntilSuperseded();
    await entry.closeNow();
  }
}
